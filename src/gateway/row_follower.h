#pragma once

#include "gateway/gateway_state.h"
#include "gateway/row_messages.h"
#include "gateway/store_client.h"
#include <functional>
#include <memory>

namespace cassiashed::gateway {

/// Keeps copies of the operator's and the endpoints' table up to date: from the
/// store while it answers, and from other nodes that hold newer rows.
class RowFollower {
public:
  /// `BeginsEra`: the rows are what differs after the store came back from an
  /// older copy.
  using OnRows = std::function<void(
      catalog::Table, const std::vector<catalog::Row> &, bool BeginsEra)>;

  virtual ~RowFollower() = default;
  /// Reads changes of the operator's table from the store at once, unless a
  /// refresh is in progress.
  virtual void refreshOperatorTable() = 0;
  /// How complete this node's copies are of the tables that it follows.
  virtual std::vector<CoverageReport> ownCoverage() const = 0;
  /// Records how complete another node's copy is.
  virtual void recordPeerCoverage(const CoverageReport &Report,
                                  const http::Address &Peer) = 0;
  /// Reads changes of each table whose copy has not been confirmed as up to
  /// date for too long. To be called periodically.
  virtual void refreshIfStale() = 0;
  /// Reads rows of a table from another node that holds newer ones.
  virtual void fetchFrom(catalog::Table TableId, http::Address Peer) = 0;
  /// Merges rows that another node has sent.
  virtual void mergeFromPeer(catalog::Table TableId, RowBatch Rows) = 0;
  /// Returns rows of a table newer than `After`, for other nodes.
  virtual RowBatch rowsAfter(catalog::Table TableId,
                             catalog::StoreVersion After) const = 0;
  /// Era of the store from which the rows of the table are.
  virtual std::uint64_t era(catalog::Table TableId) const = 0;
  /// Whether the store is known to be in a later era than the rows.
  virtual bool isDoubtful(catalog::Table TableId) const = 0;
  /// Whether rows of the table are known.
  virtual bool hasRead(catalog::Table TableId) const = 0;
  /// Whether the store answered the last call.
  virtual bool storeAnswers() const = 0;
  /// When the store last answered again after an outage.
  virtual TimePoint storeRegainedAt() const = 0;
};

std::unique_ptr<RowFollower> startRowFollower(GatewayState &State,
                                              StoreClient &Store,
                                              RowFollower::OnRows Notify);

} // namespace cassiashed::gateway
