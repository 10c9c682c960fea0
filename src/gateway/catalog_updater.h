#pragma once

#include "cassiashed/catalog/table_replica.h"
#include "gateway/gateway_state.h"
#include "gateway/restored_endpoints.h"
#include <map>
#include <string>
#include <vector>

namespace cassiashed::gateway {

/// Applies rows of the store to the configuration, the endpoints and the list
/// of nodes of a gateway.
class CatalogUpdater {
public:
  explicit CatalogUpdater(GatewayState &State) : State_(State) {}

  /// `StoreRegainedAt`: when the store last answered again after an outage.
  /// `BeginsEra`: the rows differ because the store came back from an older
  /// copy, or were changed since.
  void apply(catalog::Table TableId, const std::vector<catalog::Row> &Rows,
             TimePoint StoreRegainedAt, bool BeginsEra);
  /// Carries out delayed removals that are due. To be called periodically.
  void tick(TimePoint Now);

private:
  void applyOperatorRow(const catalog::Row &RowChange, bool BeginsEra);
  void returnZone(const std::string &Zone, std::uint64_t Version);
  void applyEndpointRow(const catalog::Row &RowChange,
                        TimePoint StoreRegainedAt, bool BeginsEra);
  void applyNodeRow(const catalog::Row &RowChange);
  void removeEndpoint(const std::string &Id, std::string_view Reason);
  void carryOutRemovals(TimePoint Now);
  void prepareTimelines();

  GatewayState &State_;
  struct PendingRemoval {
    TimePoint Due;
    /// Only a restore of the store lost the row, which does not show that the
    /// endpoint left.
    bool WasLost = false;
  };
  /// Endpoints whose registration expired during an outage of the store or was
  /// lost by a restore. They are removed unless they register again.
  std::map<std::string, PendingRemoval> PendingRemovals_;
  /// Zones out of service whose order the store lost, and until when they stay
  /// so unless the operator writes the order again.
  std::map<std::string, TimePoint> LostZoneOrders_;
  RestoredEndpoints Restored_;
};

/// Value of a node's own row.
std::string encodeNodeRow(const std::string &Host, double CpuShare);

} // namespace cassiashed::gateway
