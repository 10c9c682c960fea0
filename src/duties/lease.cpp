#include "cassiashed/duties/lease.h"

#include <algorithm>

namespace cassiashed::duties {
namespace {

/// Versions of one era of the store; the era is in the bits above. Fences stay
/// below 2^53, which JSON numbers hold exactly, for eras below 2^13.
constexpr int EraShift = 40;
/// Time before the next call after the store refused one.
constexpr Duration RefusalPause{500};

Duration between(BootTime From, BootTime To) {
  return std::chrono::duration_cast<Duration>(To - From);
}

} // namespace

LeaseTimes leaseTimesFor(Duration Bound) {
  return {.Term = Bound * 3 / 2, .ActFor = Bound, .RenewEvery = Bound / 2};
}

Lease::Lease(LeaseTimes Times, LeaseRow Self)
    : Times_(Times), Self_(std::move(Self)) {}

std::uint64_t Lease::fenceOf(const StoredLease &Stored) {
  if (!Stored.Row)
    return 0;
  return Stored.Row->Fence != 0 ? Stored.Row->Fence
                                : (Stored.Era << EraShift) + Stored.Version;
}

void Lease::loseLease() {
  Holds_ = false;
  ActUntil_ = {};
}

void Lease::enterEra(std::uint64_t Era) {
  KnowsRow_ = false;
  NeedsRead_ = true;
  Era_ = Era;
  KnowsEra_ = true;
  loseLease();
}

Lease::Step Lease::nextStep(BootTime Now, bool IsCandidate,
                            Duration ExtraWait) {
  // A holder that is no candidate any more lets the lease lapse: it stops, or
  // others do not tell it counts and load any more.
  if (!IsCandidate) {
    NeedsRead_ = true; // what is known gets old
    return Step::None;
  }
  if (CallOpen_ || Now < RefusedUntil_)
    return Step::None;
  if (NeedsRead_ || !KnowsRow_)
    return Step::Read;
  if (Holds_)
    return Now - WriteSentAt_ >= Times_.RenewEvery ? Step::Write : Step::None;
  // A missing row waits as well: the store may have lost it while its holder
  // still acts.
  return Now - UnchangedSince_ > Times_.Term + ExtraWait ? Step::Write
                                                         : Step::None;
}

LeaseRow Lease::beginWrite(BootTime Now) {
  CallOpen_ = true;
  WriteSentAt_ = Now;
  Written_ = Self_;
  Written_.Fence = Holds_ ? Fence_ : 0;
  Written_.Era = Era_;
  return Written_;
}

void Lease::noteRow(const StoredLease &Found, BootTime Now) {
  if (!KnowsRow_ || Found.Version != Known_.Version)
    UnchangedSince_ = Now;
  Known_ = Found;
  KnowsRow_ = true;
  NeedsRead_ = false;
  // An own row with a fence below one that was heard of comes from an older
  // copy of the store.
  const bool Own =
      Known_.Row && isOwn(*Known_.Row) &&
      (Known_.Row->Fence == 0 || Known_.Row->Fence >= HighestFence_);
  if (Own && !Holds_)
    // Above the fences of earlier holders, also if the store's versions went
    // back without a new era.
    Fence_ = Known_.Row->Fence != 0
                 ? Known_.Row->Fence
                 : std::max(fenceOf(Known_), HighestFence_ + 1);
  HighestFence_ = std::max(HighestFence_, Own ? Fence_ : fenceOf(Known_));
  if (!Own)
    loseLease();
  Holds_ = Own;
}

void Lease::recordRead(const StoredLease &Found, BootTime Now) {
  CallOpen_ = false;
  if (!KnowsEra_ || Found.Era != Era_)
    enterEra(Found.Era);
  // An own write whose answer was lost makes this node the holder, but gives no
  // right to act before the next renewal is confirmed.
  noteRow(Found, Now);
}

void Lease::recordReadFailure(BootTime Now) {
  CallOpen_ = false;
  RefusedUntil_ = Now + RefusalPause;
}

void Lease::recordWrite(WriteOutcome Outcome, std::uint64_t Version,
                        std::uint64_t Era, BootTime Now) {
  CallOpen_ = false;
  if (Outcome == WriteOutcome::Refused) {
    RefusedUntil_ = Now + RefusalPause;
    return;
  }
  if (Outcome != WriteOutcome::Done) {
    NeedsRead_ = true;
    return;
  }
  if (Era != Era_) {
    // The condition held by chance: the store is an older copy, in which other
    // nodes count the term from another version.
    enterEra(Era);
    return;
  }
  noteRow({Written_, Version, Era}, Now);
  ActUntil_ = WriteSentAt_ + Times_.ActFor;
}

void Lease::recordPeerHolder(const StoredLease &Stated, BootTime Now) {
  const std::uint64_t Fence = fenceOf(Stated);
  if (Fence < HighestFence_ || (Holds_ && Fence == Fence_))
    return; // an earlier holder that does not know that it lost the lease
  HighestFence_ = Fence;
  loseLease();
  if (!KnowsEra_ || Stated.Era != Era_) {
    // Only the store itself proves in which era it is.
    NeedsRead_ = true;
    return;
  }
  if (!CallOpen_ && (!KnowsRow_ || Stated.Version >= Known_.Version))
    noteRow(Stated, Now);
}

Duration Lease::remaining(BootTime Now) const {
  return Holds_ && Now < ActUntil_ ? between(Now, ActUntil_) : Duration(0);
}

} // namespace cassiashed::duties
