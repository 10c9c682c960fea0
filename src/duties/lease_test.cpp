#include "cassiashed/duties/lease.h"

#include <doctest/doctest.h>
#include <limits>
#include <map>
#include <rapidcheck.h>

using namespace cassiashed;
using namespace cassiashed::duties;

namespace {

constexpr Duration Bound{3000};
const BootTime Start{std::chrono::hours(1)};

BootTime at(Duration Elapsed) { return Start + Elapsed; }

LeaseRow makeSelf(const std::string &Name, std::uint64_t Incarnation) {
  return {Name, "10.0.0.1", Incarnation, 0, 0};
}

/// The store's row, with writes that are carried out late.
struct FakeStore {
  struct LateWrite {
    LeaseRow Row;
    std::uint64_t Expected = 0;
  };
  std::optional<LeaseRow> Row;
  std::uint64_t RowVersion = 0;
  std::uint64_t Version = 10;
  std::uint64_t Era = 0;
  std::vector<LateWrite> Late;

  bool write(const LeaseRow &New, std::uint64_t Expected) {
    if (Expected != RowVersion)
      return false;
    Row = New;
    RowVersion = ++Version;
    return true;
  }
  StoredLease read() const { return {Row, RowVersion, Era}; }
  void carryOutLate() {
    for (const LateWrite &Write : Late)
      (void)write(Write.Row, Write.Expected);
    Late.clear();
  }
};

/// Acquires the lease and returns the time at which the write was sent.
Duration acquire(Lease &Node, FakeStore &Store, Duration From) {
  for (Duration Now = From; Now < From + Duration(60000); Now += Duration(100))
    switch (Node.nextStep(at(Now), true, Duration(0))) {
    case Lease::Step::None:
      break;
    case Lease::Step::Read:
      Node.beginRead();
      Node.recordRead(Store.read(), at(Now));
      break;
    case Lease::Step::Write: {
      const std::uint64_t Expected = Node.expectedVersion();
      const bool Done = Store.write(Node.beginWrite(at(Now)), Expected);
      Node.recordWrite(Done ? WriteOutcome::Done : WriteOutcome::Conflict,
                       Store.RowVersion, Store.Era, at(Now));
      if (Done)
        return Now;
    }
    }
  return Duration(-1);
}

} // namespace

// Guards against a holder that still acts after its process was frozen, or
// after the store stopped answering.
TEST_CASE("a holder stops acting a bounded time after it sent a renewal") {
  FakeStore Store;
  Lease Node(leaseTimesFor(Bound), makeSelf("a", 1));
  const Duration Sent = acquire(Node, Store, Duration(0));
  REQUIRE(Sent > Duration(4000));
  CHECK(Node.fence() == Store.RowVersion);
  CHECK(Node.mayAct(at(Sent + Duration(2999))));
  CHECK_FALSE(Node.mayAct(at(Sent + Duration(3000))));
  // The answer to a renewal arrives late: the time counts from its sending.
  REQUIRE(Node.nextStep(at(Sent + Duration(1500)), true, Duration(0)) ==
          Lease::Step::Write);
  const std::uint64_t Expected = Node.expectedVersion();
  REQUIRE(Store.write(Node.beginWrite(at(Sent + Duration(1500))), Expected));
  Node.recordWrite(WriteOutcome::Done, Store.RowVersion, 0,
                   at(Sent + Duration(4400)));
  CHECK(Node.mayAct(at(Sent + Duration(4450))));
  CHECK_FALSE(Node.mayAct(at(Sent + Duration(4500))));
}

// Guards against a holder that takes a lost answer as a renewal.
TEST_CASE("an unclear renewal gives no right to act") {
  FakeStore Store;
  Lease Node(leaseTimesFor(Bound), makeSelf("a", 1));
  const Duration Sent = acquire(Node, Store, Duration(0));
  const Duration Renewal = Sent + Duration(1500);
  const std::uint64_t Expected = Node.expectedVersion();
  Store.write(Node.beginWrite(at(Renewal)), Expected);
  Node.recordWrite(WriteOutcome::Unclear, 0, 0, at(Renewal + Duration(100)));
  CHECK_FALSE(Node.mayAct(at(Sent + Duration(3000))));
  REQUIRE(Node.nextStep(at(Sent + Duration(3100)), true, Duration(0)) ==
          Lease::Step::Read);
  Node.beginRead();
  Node.recordRead(Store.read(), at(Sent + Duration(3100)));
  CHECK(Node.isHolder());
  CHECK_FALSE(Node.mayAct(at(Sent + Duration(3100))));
  CHECK(Node.nextStep(at(Sent + Duration(3100)), true, Duration(0)) ==
        Lease::Step::Write);
}

// Guards against a fence that was given out before the store came back from an
// older copy.
TEST_CASE("the era of the store is the high part of the fence") {
  FakeStore Store;
  Lease First(leaseTimesFor(Bound), makeSelf("a", 1));
  const Duration Sent = acquire(First, Store, Duration(0));
  const std::uint64_t Before = First.fence();
  Store = FakeStore();
  Store.Era = 1;
  // A renewal whose condition holds by chance gives nothing.
  Store.RowVersion = First.expectedVersion();
  const std::uint64_t Expected = First.expectedVersion();
  REQUIRE(Store.write(First.beginWrite(at(Sent + Duration(1500))), Expected));
  First.recordWrite(WriteOutcome::Done, Store.RowVersion, 1,
                    at(Sent + Duration(1500)));
  CHECK_FALSE(First.isHolder());
  Lease Second(leaseTimesFor(Bound), makeSelf("b", 2));
  REQUIRE(acquire(Second, Store, Sent + Duration(2000)) > Sent + Bound);
  CHECK(Second.fence() > Before);
  CHECK(Second.fence() > (1ULL << 40));
}

// Guards against reads of the store by every candidate while the holder's
// messages arrive, and against a takeover from a holder that only they show.
TEST_CASE("messages of the holder take the place of reads") {
  FakeStore Store;
  Lease Holder(leaseTimesFor(Bound), makeSelf("a", 1));
  const Duration Sent = acquire(Holder, Store, Duration(0));
  Lease Candidate(leaseTimesFor(Bound), makeSelf("b", 2));
  Candidate.beginRead();
  Candidate.recordRead(Store.read(), at(Sent));
  for (Duration Now = Sent; Now < Sent + Duration(30000);
       Now += Duration(400)) {
    StoredLease Stated = Store.read();
    Stated.Version += static_cast<std::uint64_t>((Now - Sent) / Duration(1500));
    Candidate.recordPeerHolder(Stated, at(Now));
    CHECK(Candidate.nextStep(at(Now), true, Duration(0)) == Lease::Step::None);
  }
  // A statement of an earlier holder changes nothing.
  StoredLease Old = Store.read();
  Old.Row->Fence = 1;
  Old.Version = 1000;
  Candidate.recordPeerHolder(Old, at(Sent + Duration(30000)));
  CHECK(Candidate.expectedVersion() < 1000);
}

// Guards against a holder that keeps the lease while it stops, or after
// better-ranked nodes joined and nobody tells it counts and load any more.
TEST_CASE("a holder that is no candidate any more lets the lease lapse") {
  FakeStore Store;
  Lease Node(leaseTimesFor(Bound), makeSelf("a", 1));
  const Duration Sent = acquire(Node, Store, Duration(0));
  for (Duration Now = Sent; Now < Sent + Duration(6000); Now += Duration(100))
    CHECK(Node.nextStep(at(Now), false, Duration(0)) == Lease::Step::None);
  CHECK(Node.mayAct(at(Sent + Duration(2900))));
  CHECK_FALSE(Node.mayAct(at(Sent + Duration(3000))));
  // A candidate again: the row may have changed since.
  CHECK(Node.nextStep(at(Sent + Duration(6000)), true, Duration(0)) ==
        Lease::Step::Read);
}

// Guards against a lower fence, two holders at once, and holders that act in
// the order A, B, A within the bound, in any order of frozen processes, slow,
// lost and late answers, restarts, and a store that comes back older.
TEST_CASE("holders never overlap or alternate within the bound") {
  struct Node {
    std::unique_ptr<Lease> Held;
    Duration FrozenUntil{0};
    // An open call: its answer, and when it arrives.
    std::optional<Duration> AnswerAt;
    std::function<void(BootTime)> Answer;
  };
  CHECK(rc::check([&] {
    FakeStore Store;
    std::vector<FakeStore> Copies;
    std::uint64_t NextIncarnation = 1;
    std::map<int, Node> Nodes;
    const auto Restart = [&](int Index) {
      Nodes[Index] = {};
      Nodes[Index].Held = std::make_unique<Lease>(
          leaseTimesFor(Bound),
          makeSelf(std::to_string(Index), NextIncarnation++));
    };
    for (int Index = 0; Index < 3; ++Index)
      Restart(Index);
    std::uint64_t HighestFence = 0;
    std::map<std::uint64_t, std::uint64_t> HolderOf; // fence to incarnation
    std::map<int, Duration> LastActAt;
    std::optional<int> LastActor;
    std::map<int, Duration> OthersActedAfter;
    for (Duration Now{0}; Now < Duration(40000); Now += Duration(100)) {
      const int Event = *rc::gen::inRange(0, 160);
      const int Picked = *rc::gen::inRange(0, 3);
      if (Event == 0)
        Restart(Picked);
      else if (Event < 4)
        Nodes[Picked].FrozenUntil =
            Now + Duration(*rc::gen::inRange(200, 9000));
      else if (Event == 4)
        Store.carryOutLate();
      else if (Event == 5)
        Copies.push_back(Store);
      else if (Event == 6 && !Copies.empty()) {
        const std::uint64_t Era = Store.Era + 1;
        Store = Copies.back();
        Store.Era = Era;
      }
      for (auto &[Index, Self] : Nodes) {
        Lease &Held = *Self.Held;
        if (Self.FrozenUntil > Now)
          continue;
        if (Self.AnswerAt && *Self.AnswerAt <= Now) {
          Self.AnswerAt.reset();
          Self.Answer(at(Now));
        }
        const Lease::Step Next = Held.nextStep(at(Now), true, Duration(0));
        if (Next != Lease::Step::None) {
          const int Fate = *rc::gen::inRange(0, 12);
          const Duration Delay(Fate == 0 ? *rc::gen::inRange(100, 4000) : 0);
          Self.AnswerAt = Now + Delay;
          if (Next == Lease::Step::Read) {
            Held.beginRead();
            const StoredLease Found = Store.read();
            Self.Answer = [&Held, Found, Fate](BootTime When) {
              if (Fate == 1)
                Held.recordReadFailure(When);
              else
                Held.recordRead(Found, When);
            };
          } else {
            const std::uint64_t Expected = Held.expectedVersion();
            const LeaseRow Row = Held.beginWrite(at(Now));
            WriteOutcome Outcome = WriteOutcome::Refused;
            if (Fate == 2) {
              Outcome = WriteOutcome::Unclear;
              Store.Late.push_back({Row, Expected});
            } else if (Fate != 3) {
              Outcome = Store.write(Row, Expected) ? WriteOutcome::Done
                                                   : WriteOutcome::Conflict;
              if (Fate == 4)
                Outcome = WriteOutcome::Unclear;
            }
            Self.Answer = [&Held, Outcome, Version = Store.RowVersion,
                           Era = Store.Era](BootTime When) {
              Held.recordWrite(Outcome, Version, Era, When);
            };
          }
        }
        if (!Held.mayAct(at(Now)))
          continue;
        RC_ASSERT(Held.fence() >= HighestFence);
        HighestFence = Held.fence();
        const auto [Entry, IsNew] =
            HolderOf.emplace(Held.fence(), static_cast<std::uint64_t>(Index));
        RC_ASSERT(Entry->second == static_cast<std::uint64_t>(Index));
        if (LastActor && *LastActor != Index && LastActAt.count(Index))
          RC_ASSERT(Now - LastActAt[Index] >= Bound);
        LastActor = Index;
        LastActAt[Index] = Now;
      }
    }
  }));
}
