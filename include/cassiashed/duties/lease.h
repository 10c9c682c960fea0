#pragma once

#include "cassiashed/base/boot_clock.h"
#include "cassiashed/base/clock.h"
#include <cstdint>
#include <optional>
#include <string>

/// Duties that one node at a time carries out for the whole deployment.
/// Decisions only: calls and time are injected.
namespace cassiashed::duties {

/// The lease as a row of the store.
struct LeaseRow {
  std::string Holder;  ///< name of the node
  std::string Address; ///< of the node; names may move to another machine
  std::uint64_t Incarnation = 0; ///< random, of the holder's process
  /// Increases with every change of holder. 0 in the write that takes the
  /// lease: its fence is the version that the store gives to this write.
  std::uint64_t Fence = 0;
  std::uint64_t Era = 0; ///< of the store when the holder took it
};

/// The lease's row as a response of the store shows it.
struct StoredLease {
  std::optional<LeaseRow> Row;
  std::uint64_t Version = 0; ///< 0: the row does not exist
  std::uint64_t Era = 0;     ///< changes when the store lost acknowledged rows
};

enum class WriteOutcome {
  Done,
  Conflict, ///< the row had another version; nothing was written
  Refused,  ///< nothing was written
  Unclear,  ///< may have been written, or may be written later
};

struct LeaseTimes {
  /// A row that did not change for this long may be taken over. Longer than the
  /// bound in which a previous holder must not act again, so that holders never
  /// act in the order A, B, A within it.
  Duration Term{4500};
  /// The holder acts for this long after it sent its last confirmed renewal.
  Duration ActFor{3000};
  Duration RenewEvery{1500};
};
/// Times for a deployment in which holders must not alternate within `Bound`.
LeaseTimes leaseTimesFor(Duration Bound);

/// Whether this node holds the lease. All times are of one boot clock, which
/// counts suspension, so a process that was frozen finds its lease lapsed.
///
/// A holder acts only for `ActFor` after the moment at which it *sent* the last
/// renewal that the store confirmed; another node takes over only after it saw
/// the same version of the row for `Term`. So two holders never act at once,
/// whatever is slow, lost or frozen.
///
/// The fence is the version that the store gave to the write that took the
/// lease, with the store's era in the bits above. A counter in the row would
/// not do: a node that has not heard of a new era may overwrite the row with a
/// lower one. Not thread-safe.
class Lease {
public:
  Lease(LeaseTimes Times, LeaseRow Self);

  /// The call to the store that is due.
  enum class Step { None, Read, Write };
  /// `IsCandidate`: this node may take the lease, or renew it. `ExtraWait`: by
  /// which this node lets better-ranked candidates go first.
  Step nextStep(BootTime Now, bool IsCandidate, Duration ExtraWait);

  /// The row to write and the version that it must replace.
  LeaseRow beginWrite(BootTime Now);
  std::uint64_t expectedVersion() const { return Known_.Version; }
  void beginRead() { CallOpen_ = true; }

  void recordRead(const StoredLease &Found, BootTime Now);
  void recordReadFailure(BootTime Now);
  /// `Version`, `Era`: of the row that was written, if Done.
  void recordWrite(WriteOutcome Outcome, std::uint64_t Version,
                   std::uint64_t Era, BootTime Now);

  /// Another node says that it holds the lease and that this version of its row
  /// is the newest. Counts as a read: who watches the holder's messages needs
  /// no call to the store.
  void recordPeerHolder(const StoredLease &Stated, BootTime Now);

  /// Whether this node may act now, and for how much longer.
  bool mayAct(BootTime Now) const { return remaining(Now) > Duration(0); }
  Duration remaining(BootTime Now) const;
  /// Its row names this process, though it may not act at the moment.
  bool isHolder() const { return Holds_; }
  std::uint64_t fence() const { return Fence_; }
  /// The row as this node knows it, to be stated to other nodes.
  const StoredLease &known() const { return Known_; }

private:
  bool isOwn(const LeaseRow &Row) const {
    return Row.Incarnation == Self_.Incarnation && Row.Holder == Self_.Holder &&
           Row.Era == Era_;
  }
  void noteRow(const StoredLease &Found, BootTime Now);
  /// Everything known about the row belongs to another state of the store.
  void enterEra(std::uint64_t Era);
  static std::uint64_t fenceOf(const StoredLease &Stored);
  void loseLease();

  LeaseTimes Times_;
  LeaseRow Self_;
  StoredLease Known_;
  bool KnowsRow_ = false;
  bool NeedsRead_ = true; ///< the row may have changed since
  std::uint64_t Era_ = 0;
  bool KnowsEra_ = false;
  BootTime UnchangedSince_; ///< when this version was first seen
  BootTime WriteSentAt_;
  BootTime RefusedUntil_;
  BootTime ActUntil_;
  bool CallOpen_ = false;
  bool Holds_ = false;
  std::uint64_t Fence_ = 0;
  LeaseRow Written_; ///< by the open or last write
  std::uint64_t HighestFence_ = 0;
};

} // namespace cassiashed::duties
