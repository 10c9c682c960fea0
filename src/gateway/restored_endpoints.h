#pragma once

#include "cassiashed/catalog/endpoint_directory.h"
#include "cassiashed/catalog/table_replica.h"
#include <map>
#include <string>
#include <vector>

namespace cassiashed::gateway {

/// Why an endpoint's row of an older copy of the store is not applied.
enum class HeldReason {
  None,
  Draining, ///< it reported that it leaves; the copy has its row of before
  Removed,  ///< its row was removed; the copy has it again
  Replaced, ///< it is of an earlier incarnation than the known one
};
std::string_view nameOf(HeldReason Reason);

/// Decides which endpoint rows of a store that came back from an older copy are
/// used. What an endpoint reported later than the copy holds until a row
/// arrives that was written in the new era. A row of a removed endpoint is used
/// after `RemovedHold` if it is still there: then it was written again before
/// this node read the table.
class RestoredEndpoints {
public:
  /// Remembers an endpoint that was removed from the directory.
  void recordRemoval(const catalog::Endpoint &Removed, TimePoint Now);
  /// Whether to hold a row back. `Known`: the endpoint in the directory, if
  /// any. `IsLeaving`: its row was removed and the removal is pending.
  HeldReason hold(const catalog::Row &Listed, const catalog::Endpoint &Decoded,
                  const catalog::EndpointRef &Known, bool IsLeaving,
                  TimePoint Now);
  /// The store came back again: its rows are held anew from now on.
  void beginEra(TimePoint Now);
  /// To be called for each row before it is used. An earlier row of the
  /// endpoint is held no longer. `BeginsEra`: as for `CatalogUpdater::apply`;
  /// otherwise the row was written in this era, which ends the memory of a
  /// removal or, if it is removed once more, begins it anew.
  void recordRow(const catalog::Row &Arrived, bool BeginsEra, TimePoint Now);
  /// Returns rows that are held no longer and forgets old removals.
  std::vector<catalog::Row> takeDue(TimePoint Now);

private:
  struct Removal {
    catalog::Endpoint Entry;
    TimePoint At;
  };
  struct HeldRow {
    catalog::Row Listed;
    TimePoint Until;
  };

  std::map<std::string, Removal> Removals_;
  std::map<std::string, HeldRow> Held_;
};

} // namespace cassiashed::gateway
