#pragma once

#include "cassiashed/catalog/table_replica.h"
#include "gateway/gateway_state.h"
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
  void apply(catalog::Table TableId, const std::vector<catalog::Row> &Rows,
             TimePoint StoreRegainedAt);
  /// Carries out delayed removals that are due. To be called periodically.
  void tick(TimePoint Now);

private:
  void applyOperatorRow(const catalog::Row &RowChange);
  void applyEndpointRow(const catalog::Row &RowChange,
                        TimePoint StoreRegainedAt);
  void applyNodeRow(const catalog::Row &RowChange);
  void removeEndpoint(const std::string &Id, std::string_view Reason);
  void prepareTimelines();

  GatewayState &State_;
  /// Endpoints whose registration expired during an outage of the store, and
  /// when they are removed unless they register again.
  std::map<std::string, TimePoint> PendingRemovals_;
};

/// Value of a node's own row.
std::string encodeNodeRow(const std::string &Host, double CpuShare);

} // namespace cassiashed::gateway
