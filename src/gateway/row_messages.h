#pragma once

#include "cassiashed/base/clock.h"
#include "cassiashed/catalog/table_replica.h"
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Rows of a table as one node sends them to another.
namespace cassiashed::gateway {

using catalog::RowBatch;

/// A node's copy of a table was complete so far when the store's steady clock
/// showed `StoreTime`.
struct CoverageReport {
  catalog::Table Which = catalog::Table::Endpoints;
  catalog::RowCoverage Coverage;
  Duration StoreTime{0};
};

std::string packRows(const RowBatch &Batch);
/// Nothing and a reason for bytes that hold no rows.
std::optional<RowBatch> unpackRows(std::string_view Bytes, std::string &Reason);

} // namespace cassiashed::gateway
