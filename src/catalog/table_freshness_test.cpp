#include "cassiashed/catalog/table_freshness.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <vector>

using namespace cassiashed;
using namespace cassiashed::catalog;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds Bound{5000};
const BootTime Start{std::chrono::hours(1)};

/// A node whose replica holds all changes up to the true time `CompleteAt`.
struct Node {
  TableFreshness Freshness;
  BootTime CompleteAt;
};

/// A request to a node or the store, in flight. Faults delay its arrival there
/// and the arrival of its response.
struct Exchange {
  std::size_t From = 0;
  std::size_t To = 0;
  BootTime SentAt;
  BootTime AnsweredAt;
  BootTime ArrivesAt;
  BootTime CompleteAt;         ///< of the responding node or store
  std::optional<Duration> Age; ///< of the responding node's replica
};

} // namespace

TEST_CASE("a replica that was never confirmed is not up to date") {
  const TableFreshness Freshness;
  CHECK_FALSE(Freshness.age(Start));
  CHECK_FALSE(Freshness.isWithin(Bound, Start));
}

TEST_CASE("without the store's clock, a replica is as old as the request") {
  TableFreshness Freshness;
  Freshness.recordStoreAnswer(Start, Start + milliseconds(20000), std::nullopt);
  CHECK(*Freshness.age(Start + milliseconds(20000)) == milliseconds(20000));
}

// Guards against a replica that looks as old as the request of a long poll.
TEST_CASE("the store's clock shows when a long poll was answered") {
  TableFreshness Freshness;
  Freshness.recordStoreAnswer(Start, Start + milliseconds(8),
                              milliseconds(1004));
  Freshness.recordStoreAnswer(Start + milliseconds(10),
                              Start + milliseconds(20020), milliseconds(21008));
  CHECK(*Freshness.age(Start + milliseconds(20020)) <= milliseconds(20));
  CHECK(*Freshness.age(Start + milliseconds(20020)) >= milliseconds(8));
}

TEST_CASE("a jump of the store's clock makes no replica look newer") {
  TableFreshness Freshness;
  Freshness.recordStoreAnswer(Start, Start + milliseconds(8),
                              milliseconds(1004));
  Freshness.recordStoreAnswer(Start + milliseconds(10),
                              Start + milliseconds(9000), milliseconds(60000));
  CHECK(*Freshness.age(Start + milliseconds(9000)) == milliseconds(8990));
}

// Guards against a replica that counts as fresh although it lacks an old
// change. Nodes are suspended, messages are delayed or lost, some nodes cannot
// reach the store, and nodes forward what they received from others.
TEST_CASE("no order of events makes a replica look newer than it is") {
  CHECK(rc::check([] {
    const std::size_t Nodes = *rc::gen::inRange<std::size_t>(2, 6);
    std::vector<Node> All(Nodes);
    std::vector<Exchange> InFlight;
    BootTime Now = Start;
    const milliseconds StoreEpoch(*rc::gen::inRange(0, 100000));
    const int Steps = *rc::gen::inRange(1, 300);
    for (int Step = 0; Step < Steps; ++Step) {
      const std::size_t From = *rc::gen::inRange<std::size_t>(0, Nodes);
      const std::size_t To = *rc::gen::inRange<std::size_t>(0, Nodes + 1);
      // Suspended nodes and slow links delay either direction.
      const auto RandomDelay = [] {
        return milliseconds(*rc::gen::weightedElement<int>(
            {{8, 1}, {3, 40}, {1, 3000}, {1, 12000}}));
      };
      if (From != To) {
        Exchange Call{From, To,  Now,         Now + RandomDelay(),
                      Now,  Now, std::nullopt};
        Call.ArrivesAt = Call.AnsweredAt + RandomDelay();
        InFlight.push_back(Call);
      }
      Now += milliseconds(*rc::gen::inRange(1, 700));
      std::sort(InFlight.begin(), InFlight.end(),
                [](const Exchange &Left, const Exchange &Right) {
                  return Left.AnsweredAt < Right.AnsweredAt;
                });
      for (Exchange &Call : InFlight)
        if (!Call.Age && Call.AnsweredAt <= Now) {
          Call.CompleteAt =
              Call.To == Nodes ? Call.AnsweredAt : All[Call.To].CompleteAt;
          Call.Age = Duration(0);
          if (Call.To < Nodes)
            Call.Age = All[Call.To]
                           .Freshness.age(Call.AnsweredAt)
                           .value_or(Duration(-1));
        }
      std::erase_if(InFlight, [&](const Exchange &Call) {
        if (!Call.Age || Call.ArrivesAt > Now)
          return false;
        Node &Sender = All[Call.From];
        const bool IsLost = *rc::gen::inRange(0, 5) == 0;
        if (IsLost || *Call.Age < Duration(0))
          return true;
        if (Call.To == Nodes) {
          Sender.CompleteAt = std::max(Sender.CompleteAt, Call.CompleteAt);
          Sender.Freshness.recordStoreAnswer(
              Call.SentAt, Call.ArrivesAt,
              std::chrono::floor<Duration>(Call.AnsweredAt - Start) +
                  StoreEpoch);
        } else if (Call.CompleteAt <= Sender.CompleteAt) {
          Sender.Freshness.recordPeerAnswer(Call.SentAt, *Call.Age);
        } else {
          // The response brings the rows; a later request confirms the age.
          Sender.CompleteAt = Call.CompleteAt;
        }
        return true;
      });
      for (const Node &Checked : All) {
        const std::optional<Duration> Age = Checked.Freshness.age(Now);
        // Times of the store are truncated to milliseconds.
        if (Age)
          RC_ASSERT(Now - *Age <= Checked.CompleteAt + milliseconds(1));
      }
    }
  }));
}

TEST_CASE("nodes are asked before the store is read, both at limited rates") {
  const auto Next = [](int AgeMs, int SinceAskedMs, int SinceReadMs) {
    return nextRefresh(milliseconds(AgeMs), Bound, milliseconds(SinceAskedMs),
                       milliseconds(SinceReadMs));
  };
  CHECK(Next(900, 9000, 9000) == Refresh::Nothing);
  CHECK(Next(1000, 9000, 9000) == Refresh::AskNodes);
  CHECK(Next(1000, 100, 9000) == Refresh::Nothing);
  CHECK(Next(2000, 9000, 9000) == Refresh::ReadStore);
  CHECK(Next(2000, 9000, 100) == Refresh::AskNodes);
  CHECK(Next(2000, 100, 100) == Refresh::Nothing);
  CHECK(nextRefresh(std::nullopt, Bound, Bound, Bound) == Refresh::ReadStore);
}

TEST_CASE("the store time of a peer's snapshot counts, however late it is") {
  TableFreshness Freshness;
  Freshness.recordPeerSnapshot(milliseconds(1200), Start);
  CHECK_FALSE(Freshness.age(Start)); // the clock offset is still unknown
  Freshness.recordStoreAnswer(Start, Start + milliseconds(8),
                              milliseconds(1004));
  Freshness.recordPeerSnapshot(milliseconds(3004), Start + milliseconds(9000));
  CHECK(*Freshness.age(Start + milliseconds(9000)) >= milliseconds(6992));
  CHECK(*Freshness.age(Start + milliseconds(9000)) <= milliseconds(7010));
  CHECK_FALSE(Freshness.wouldImprove(milliseconds(2000), Start));
}

// Guards against a store clock that was set forward: a snapshot by that clock
// would make an old replica look up to date.
TEST_CASE("a peer's snapshot from the future is ignored") {
  TableFreshness Freshness;
  Freshness.recordStoreAnswer(Start, Start + milliseconds(8),
                              milliseconds(1004));
  Freshness.recordPeerSnapshot(milliseconds(60000), Start + milliseconds(9000));
  CHECK(*Freshness.age(Start + milliseconds(9000)) >= milliseconds(8992));
}

// Guards against a replica that looks fresh because of delayed snapshots or a
// drift between the clocks of the store and the node.
TEST_CASE("no peer's snapshot makes a replica look newer than it is") {
  CHECK(rc::check([] {
    TableFreshness Freshness;
    // Speed of the store's clock relative to the node's.
    const double Rate = 1 + *rc::gen::inRange(-150, 151) * 1e-6;
    const milliseconds Epoch(*rc::gen::inRange(0, 100000));
    const auto StoreTimeAt = [&](BootTime At) {
      return std::chrono::floor<Duration>((At - Start) * Rate) + Epoch;
    };
    BootTime Now = Start;
    BootTime CompleteAt = Start;
    const int Steps = *rc::gen::inRange(1, 60);
    for (int Step = 0; Step < Steps; ++Step) {
      Now += milliseconds(*rc::gen::inRange(1, 20000));
      const milliseconds Delay(*rc::gen::weightedElement<int>(
          {{8, 1}, {3, 40}, {1, 3000}, {1, 12000}}));
      if (*rc::gen::inRange(0, 4) == 0) {
        const BootTime AnsweredAt = Now + Delay / 2;
        Freshness.recordStoreAnswer(Now, Now + Delay, StoreTimeAt(AnsweredAt));
        CompleteAt = std::max(CompleteAt, AnsweredAt);
        Now += Delay;
      } else {
        const BootTime SnapshotAt = Now;
        Now += Delay;
        Freshness.recordPeerSnapshot(StoreTimeAt(SnapshotAt), Now);
        CompleteAt = std::max(CompleteAt, SnapshotAt);
      }
      const std::optional<Duration> Age = Freshness.age(Now);
      // Times of the store are truncated to milliseconds.
      if (Age)
        RC_ASSERT(Now - *Age <= CompleteAt + milliseconds(1));
    }
  }));
}

TEST_CASE("few nodes read the store while no replica is up to date") {
  CHECK(storeReadProbability(6, false) == 1);
  CHECK(storeReadProbability(300, false) * 300 == doctest::Approx(8));
  CHECK(storeReadProbability(300, true) == 1);
}
