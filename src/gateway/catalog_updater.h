#pragma once

#include "cassiashed/catalog/table_replica.h"
#include "gateway/gateway_state.h"
#include <map>
#include <string>
#include <vector>

namespace cassiashed::gateway {

/// Applies rows of the store to the configuration, the endpoints and the list
/// of nodes.
class CatalogUpdater {
public:
  explicit CatalogUpdater(GatewayState &State) : State_(State) {}

  /// `StoreRegainedAt`: when the store last answered again.
  void apply(catalog::Table Which, const std::vector<catalog::Row> &Rows,
             TimePoint StoreRegainedAt);
  /// Carries out removals that were put off.
  void tick(TimePoint Now);

private:
  void applyOperatorRow(const catalog::Row &Entry);
  void applyEndpointRow(const catalog::Row &Entry, TimePoint StoreRegainedAt);
  void applyNodeRow(const catalog::Row &Entry);
  void removeEndpoint(const std::string &Id, std::string_view Reason);
  void prepareTimelines();

  GatewayState &State_;
  /// Endpoints whose entry lapsed while the store was away, until when they
  /// may still come back.
  std::map<std::string, TimePoint> Lapsed_;
};

/// Value of a node's own row.
std::string encodeNodeRow(const std::string &Host, double CpuShare);

} // namespace cassiashed::gateway
