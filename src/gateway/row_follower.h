#pragma once

#include "gateway/gateway_state.h"
#include "gateway/row_messages.h"
#include "gateway/store_client.h"
#include <functional>
#include <memory>

namespace cassiashed::gateway {

/// Path at which a node serves its rows of a table to other nodes.
std::string rowsPath(catalog::Table Which);

/// Keeps copies of the operator's and the endpoints' table up to date: from the
/// store while it answers, from other nodes when they hold newer rows.
class RowFollower {
public:
  using OnRows =
      std::function<void(catalog::Table, const std::vector<catalog::Row> &)>;

  virtual ~RowFollower() = default;
  /// Reads the operator's changes at once, unless a read is under way.
  virtual void confirmOperatorRows() = 0;
  /// How complete this node's copies are of the tables that it follows.
  virtual std::vector<CoverageReport> ownCoverage() const = 0;
  /// What another node says of its copy.
  virtual void recordPeerCoverage(const CoverageReport &Claim,
                                  const http::Address &Peer) = 0;
  /// Reads the changes of a table if too long nobody has vouched for this
  /// node's copy. Called in short intervals.
  virtual void keepCurrent() = 0;
  /// Reads the newer rows of a table from another node.
  virtual void fetchFrom(catalog::Table Which, http::Address Peer) = 0;
  /// Rows that another node has read from the store.
  virtual void takeFromPeer(catalog::Table Which, RowBatch Rows) = 0;
  /// Rows of a table newer than `After`, for other nodes.
  virtual RowBatch rowsAfter(catalog::Table Which,
                             std::uint64_t After) const = 0;
  /// Whether the table was read at least once.
  virtual bool hasRead(catalog::Table Which) const = 0;
  /// Whether the store answered the last call for the table.
  virtual bool storeAnswers() const = 0;
  /// When the store last answered after a time without answers.
  virtual TimePoint storeRegainedAt() const = 0;
};

std::unique_ptr<RowFollower> startRowFollower(GatewayState &State,
                                              StoreClient &Store,
                                              RowFollower::OnRows Notify);

} // namespace cassiashed::gateway
