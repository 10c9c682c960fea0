#pragma once

#include "cassiashed/catalog/table_freshness.h"
#include "cassiashed/catalog/table_replica.h"

namespace cassiashed::catalog {

/// How a node took rows in.
enum class RowsTaken {
  Merged,
  /// The whole table of a later era replaced rows of an earlier one.
  EraBegun,
  /// The rows are of another era than the replica; nothing was taken.
  OtherEra,
};

/// What another node's report of its replica showed.
enum class PeerProof {
  None,      ///< of another era, or no later than what was known
  Fresher,   ///< this replica is as complete as the other one was
  LacksRows, ///< the other node holds rows that this replica lacks
};

struct TableUpdate {
  RowsTaken Taken = RowsTaken::Merged;
  std::vector<Row> Changes;
};

/// A node's replica of one table with its freshness, across restores of the
/// store from an older copy. Rows of a later era are taken only as a whole
/// table; until then the replica stays as it is and needs a whole read. Proofs
/// of freshness count only within the replica's era.
class TableCopy {
public:
  explicit TableCopy(TableFreshness &Freshness) : Freshness_(Freshness) {}

  /// Merges an answer of the store: a whole table, or the changes after
  /// `Answer.After`. `StoreTime` as for `TableFreshness::recordStoreAnswer`.
  TableUpdate mergeFromStore(RowBatch Answer, BootTime SentAt,
                             BootTime ReceivedAt,
                             std::optional<Duration> StoreTime);
  TableUpdate mergeFromPeer(RowBatch Batch);

  /// Records the coverage of another node's replica when the store's clock
  /// showed `StoreTime`.
  PeerProof recordPeerCoverage(const RowCoverage &Other, Duration StoreTime,
                               BootTime Now);

  /// Records an era of the store, as stated in any answer or by another node.
  void noteEra(std::uint64_t Era, BootTime Now);
  /// Whether the store is in a later era than the replica.
  bool needsWholeRead() const { return NotedEra_ > Replica_.era(); }

  const TableReplica &replica() const { return Replica_; }
  /// Whether rows were ever known.
  bool hasRead() const { return HasRead_; }
  /// The store's steady clock at its last answer in this era.
  std::optional<Duration> lastStoreTime() const { return LastStoreTime_; }

private:
  TableUpdate merge(RowBatch Batch);

  TableFreshness &Freshness_;
  TableReplica Replica_;
  std::optional<Duration> LastStoreTime_;
  std::uint64_t NotedEra_ = 0;
  BootTime NotedAt_;
  bool HasRead_ = false;
};

} // namespace cassiashed::catalog
