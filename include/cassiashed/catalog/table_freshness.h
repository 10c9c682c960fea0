#pragma once

#include "cassiashed/base/boot_clock.h"
#include "cassiashed/base/clock.h"
#include "cassiashed/catalog/store_clock.h"
#include <optional>

/// How current a copy of a table of the store is.
namespace cassiashed::catalog {

/// The time up to which this node's copy of one table is known to be complete.
/// Load: nodes that lose the store, other nodes or both, freeze, or are
/// suspended, while keys are taken away.
///
/// Every claim is a lower bound by this node's own boot clock, so late
/// answers, frozen nodes and slow links make a copy look older, never newer.
///
/// ```cpp
/// Freshness.recordStoreAnswer(SentAt, BootClock::now(), Answer.StoreTime);
/// if (!Freshness.isWithin(Bound, BootClock::now()))
///   refuse();
/// ```
class TableFreshness {
public:
  /// The store answered a read that brought the copy up to date. `StoreTime`
  /// is the store's own steady clock at the answer, if it said so: a call that
  /// waits for changes is answered long after it was sent.
  void recordStoreAnswer(BootTime SentAt, BootTime ReceivedAt,
                         std::optional<Duration> StoreTime);
  /// A node that holds no newer row answered a question of `AskedAt`: its own
  /// copy was `Age` old at its answer, which is later than the question.
  void recordPeerAnswer(BootTime AskedAt, Duration Age);
  /// A node whose rows are all held here was complete when the store's clock
  /// showed `StoreTime`. Its message may be late: only that time counts.
  void recordPeerSnapshot(Duration StoreTime, BootTime Now);
  /// Whether such a claim would make this copy more current.
  bool wouldImprove(Duration StoreTime, BootTime Now) const;

  /// Whether a copy that was complete at `StoreTime` is within the bound.
  bool isSnapshotWithin(Duration StoreTime, Duration Bound, BootTime Now) const;

  /// Nothing if the copy was never confirmed.
  std::optional<Duration> age(BootTime Now) const;
  bool isWithin(Duration Bound, BootTime Now) const;

private:
  std::optional<BootTime> CompleteAt_;
  StoreClock Clock_;
};

struct RefreshOptions {
  /// Parts of the bound after which other nodes are asked, and after which the
  /// store is read: enough is left for a lost datagram and another node.
  double AskFrom = 0.2;
  double ReadFrom = 0.35;
  /// Parts of the bound between two questions and between two reads.
  double AskPeriod = 0.06;
  double ReadPeriod = 0.12;
};

enum class Refresh {
  Nothing,
  AskNodes,
  ReadStore, ///< and ask nodes as well
};

/// What a node does to keep a copy within `Bound`. `Age` is empty for a copy
/// that was never confirmed.
Refresh nextRefresh(std::optional<Duration> Age, Duration Bound,
                    Duration SinceAsked, Duration SinceRead,
                    const RefreshOptions &Options = {});

/// Part of the nodes that read the store when their copies are due, as the
/// chance of each. If others hold current copies that this node cannot use,
/// it has to read; otherwise the store may be away for all, and a few reads
/// find out.
double storeReadProbability(int Nodes, bool OthersAreCurrent);

} // namespace cassiashed::catalog
