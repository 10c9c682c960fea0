#pragma once

#include "cassiashed/duties/lease.h"
#include "cassiashed/duties/usage.h"
#include "gateway/store_client.h"
#include <optional>
#include <string>
#include <vector>

/// Rows of the duties' table, which only gateways write.
namespace cassiashed::gateway {

inline constexpr char LeaseKey[] = "lease";
inline constexpr char UsageKey[] = "usage";

/// Reports that were decided, and the era of the store in which they were.
struct UsageRecord {
  std::uint64_t Era = 0;
  std::vector<duties::UsageReport> Reports;
};

std::string encodeLease(const duties::LeaseRow &Row);
/// The lease as a read of the table shows it. A row that cannot be decoded
/// counts as held by an unknown node; `Reason` is then set.
duties::StoredLease readLease(const StoreRows &Table, std::string &Reason);

std::string encodeUsage(const UsageRecord &Record);
/// Nothing if there is no record, or it cannot be decoded; `Reason` is set in
/// the latter case.
std::optional<UsageRecord> readUsage(const StoreRows &Table,
                                     std::string &Reason);

} // namespace cassiashed::gateway
