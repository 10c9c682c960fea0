#pragma once

#include "cassiashed/catalog/table_replica.h"
#include "gateway/gateway_state.h"
#include <optional>

namespace cassiashed::gateway {

/// Which tables a node follows at the store, and how long its calls there wait.
class FollowPolicy {
public:
  explicit FollowPolicy(GatewayState &State) : State_(State) {}

  /// Longest allowed time from the acknowledgement of a change until all nodes
  /// act on it.
  Duration boundOf(catalog::Table TableId) const;
  /// How long this node's calls wait for changes, as a fraction of the bound;
  /// nothing if it is no confirmer.
  std::optional<double> confirmerWaitFraction() const;
  /// Whether a few nodes follow the operator's table for all.
  bool hasOperatorFollowers() const;
  Duration longPollWait(catalog::Table TableId) const;
  /// Returns whether this node is to follow the table at the store. The
  /// endpoints' table changes often: a few nodes follow it and forward the
  /// changes. In a large fleet the same holds for the operator's table, which
  /// otherwise all nodes would read at the same time.
  bool updateFollowing(catalog::Table TableId);

private:
  GatewayState &State_;
};

} // namespace cassiashed::gateway
