#pragma once

#include "cassiashed/base/boot_clock.h"
#include "cassiashed/base/clock.h"
#include "cassiashed/catalog/store_clock.h"
#include <optional>

/// Freshness of a node's replica of a store table.
namespace cassiashed::catalog {

/// Tracks the time up to which this node's replica of a table is known to be
/// complete. A node must not act on a stale replica, for example accept an API
/// key that was revoked while the node was suspended or cut off from the store
/// or from other nodes.
///
/// The tracked time is a lower bound by this node's boot clock: late responses,
/// suspended nodes and slow links make a replica look older, never newer.
///
/// ```cpp
/// Freshness.recordStoreAnswer(SentAt, BootClock::now(), Answer.StoreTime);
/// if (!Freshness.isWithin(Bound, BootClock::now()))
///   refuse();
/// ```
class TableFreshness {
public:
  /// Records a store read that brought the replica up to date. `StoreTime` is
  /// the store's steady clock at its response, if stated. It matters for long
  /// polls, which are answered long after they were sent.
  void recordStoreAnswer(BootTime SentAt, BootTime ReceivedAt,
                         std::optional<Duration> StoreTime);
  /// Records the response of a node that holds no newer row. The node was asked
  /// at `AskedAt` and responded later, when its own replica was `Age` old.
  void recordPeerAnswer(BootTime AskedAt, Duration Age);
  /// Records that a node whose rows this replica all holds was complete when
  /// the store's clock showed `StoreTime`. A delay of the message is harmless,
  /// since only that time is used.
  void recordPeerSnapshot(Duration StoreTime, BootTime Now);
  /// The store came back from an older copy: its clock may differ, so it counts
  /// as unknown until the store's next answer. The time up to which the replica
  /// was complete remains true.
  void beginEra() { Clock_ = StoreClock(); }
  /// Whether `recordPeerSnapshot` would make this replica fresher.
  bool wouldImprove(Duration StoreTime, BootTime Now) const;

  /// Whether a replica that was complete at `StoreTime` is at most `Bound` old.
  bool isSnapshotWithin(Duration StoreTime, Duration Bound, BootTime Now) const;

  /// Nothing if the replica was never confirmed to be complete.
  std::optional<Duration> age(BootTime Now) const;
  bool isWithin(Duration Bound, BootTime Now) const;

private:
  std::optional<BootTime> CompleteAt_;
  StoreClock Clock_;
};

/// All values are fractions of the freshness bound.
struct RefreshOptions {
  /// Ages from which other nodes are asked and the store is read. They leave
  /// time to ask another node after a lost datagram.
  double AskAgeFraction = 0.2;
  double ReadAgeFraction = 0.35;
  /// Minimum time between two queries to nodes and between two store reads.
  double AskPeriodFraction = 0.06;
  double ReadPeriodFraction = 0.12;
};

enum class Refresh {
  Nothing,
  AskNodes,
  ReadStore, ///< and ask other nodes as well
};

/// Decides what a node does next to keep a replica within `Bound`. `Age` is
/// empty for a replica that was never confirmed to be complete.
Refresh nextRefresh(std::optional<Duration> Age, Duration Bound,
                    Duration SinceAsked, Duration SinceRead,
                    const RefreshOptions &Options = {});

/// Probability that a node reads the store when its replica is due. It is 1 if
/// other nodes have up-to-date replicas that this node cannot use. Otherwise
/// the store may be unreachable for all nodes, and a few attempts suffice.
double storeReadProbability(int Nodes, bool OthersAreCurrent);

} // namespace cassiashed::catalog
