#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Rows of the table service that membership reads and writes, as JSON.
namespace cassiashed {

/// Row `node/<name>`.
struct LeaseRow {
  std::uint64_t Incarnation = 0;
  std::string Address;
  std::string Zone;
  std::uint64_t Renewal = 0; ///< increased by each renewal
  std::string LapsedBy;      ///< set by a node that took endpoints over
  bool HasLeft = false;      ///< the node stopped and holds nothing
};

/// The two halves of a budget.
enum class Half { Lower, Upper };

struct EarlierHolder {
  std::string Node;
  std::uint64_t Incarnation = 0;
  Half Part = Half::Lower;
};

/// Row `owner/<endpoint>`.
struct OwnerRow {
  std::string Owner;
  std::uint64_t OwnerIncarnation = 0;
  std::uint64_t Epoch = 0;
  std::string Standby;
  std::uint64_t StandbyIncarnation = 0;
  std::vector<EarlierHolder> Earlier;

  /// Whether an earlier holder may use this half.
  bool isTaken(Half Part) const;
};

inline const std::string LeasePrefix = "node/";
inline const std::string OwnerPrefix = "owner/";

std::string formatRow(const LeaseRow &Row);
std::string formatRow(const OwnerRow &Row);

/// Return nothing if the text is not such a row.
std::optional<LeaseRow> parseLeaseRow(const std::string &Text);
std::optional<OwnerRow> parseOwnerRow(const std::string &Text);

} // namespace cassiashed
