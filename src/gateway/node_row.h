#pragma once

#include "gateway/gateway_state.h"
#include "gateway/store_client.h"
#include <functional>
#include <memory>

namespace cassiashed::gateway {

/// Keeps this node's row in the nodes' table: written at the start, and again
/// when the store lost it because it came back from an older copy.
class NodeRow {
public:
  using OnRows = std::function<void(const std::vector<catalog::Row> &)>;

  virtual ~NodeRow() = default;
  /// Writes the row, then reads those of the other nodes. In this order, of two
  /// nodes that start at once, the later writer finds the other.
  virtual void start() = 0;
  /// The store is in this era.
  virtual void noteEra(std::uint64_t Era) = 0;
};

std::unique_ptr<NodeRow> makeNodeRow(GatewayState &State, StoreClient &Store,
                                     NodeRow::OnRows Notify);

} // namespace cassiashed::gateway
