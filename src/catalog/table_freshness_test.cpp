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

/// A node whose copy is complete up to changes of `KnownAt`, in true time.
struct Node {
  TableFreshness Freshness;
  BootTime KnownAt;
};

/// A question or a call on its way, with the moments that a fault can stretch.
struct Exchange {
  std::size_t From = 0;
  std::size_t To = 0;
  BootTime SentAt;
  BootTime AnsweredAt;
  BootTime ArrivesAt;
  BootTime KnownAt;            ///< what the answer covers
  std::optional<Duration> Age; ///< of the answering node's copy
};

} // namespace

TEST_CASE("a copy that was never confirmed is not current") {
  const TableFreshness Freshness;
  CHECK_FALSE(Freshness.age(Start));
  CHECK_FALSE(Freshness.isWithin(Bound, Start));
}

TEST_CASE("an answer counts from its question where the store's clock is not "
          "known") {
  TableFreshness Freshness;
  Freshness.recordStoreAnswer(Start, Start + milliseconds(20000), std::nullopt);
  CHECK(*Freshness.age(Start + milliseconds(20000)) == milliseconds(20000));
}

// Guards against a long poll whose answer counts as old as its question.
TEST_CASE("the store's clock tells when a long poll was answered") {
  TableFreshness Freshness;
  Freshness.recordStoreAnswer(Start, Start + milliseconds(8),
                              milliseconds(1004));
  Freshness.recordStoreAnswer(Start + milliseconds(10),
                              Start + milliseconds(20020), milliseconds(21008));
  CHECK(*Freshness.age(Start + milliseconds(20020)) <= milliseconds(20));
  CHECK(*Freshness.age(Start + milliseconds(20020)) >= milliseconds(8));
}

TEST_CASE("a store whose clock jumps makes no copy newer than it is") {
  TableFreshness Freshness;
  Freshness.recordStoreAnswer(Start, Start + milliseconds(8),
                              milliseconds(1004));
  Freshness.recordStoreAnswer(Start + milliseconds(10),
                              Start + milliseconds(9000), milliseconds(60000));
  CHECK(*Freshness.age(Start + milliseconds(9000)) == milliseconds(8990));
}

// Frozen nodes, late and one-way messages, a store that some nodes lose, and
// chains of nodes that pass on what they heard: no copy is taken to be current
// that lacks a change older than the bound.
TEST_CASE("no order of events makes a copy look newer than it is") {
  CHECK(rc::check([] {
    const std::size_t Nodes = *rc::gen::inRange<std::size_t>(2, 6);
    std::vector<Node> All(Nodes);
    std::vector<Exchange> Open;
    BootTime Now = Start;
    const milliseconds StoreEpoch(*rc::gen::inRange(0, 100000));
    const int Steps = *rc::gen::inRange(1, 300);
    for (int Step = 0; Step < Steps; ++Step) {
      const std::size_t From = *rc::gen::inRange<std::size_t>(0, Nodes);
      const std::size_t To = *rc::gen::inRange<std::size_t>(0, Nodes + 1);
      // A freeze of either side and a slow link lengthen both ways.
      const auto Way = [] {
        return milliseconds(*rc::gen::weightedElement<int>(
            {{8, 1}, {3, 40}, {1, 3000}, {1, 12000}}));
      };
      if (From != To) {
        Exchange Call{From, To, Now, Now + Way(), Now, Now, std::nullopt};
        Call.ArrivesAt = Call.AnsweredAt + Way();
        Open.push_back(Call);
      }
      Now += milliseconds(*rc::gen::inRange(1, 700));
      std::sort(Open.begin(), Open.end(),
                [](const Exchange &Left, const Exchange &Right) {
                  return Left.AnsweredAt < Right.AnsweredAt;
                });
      for (Exchange &Call : Open)
        if (!Call.Age && Call.AnsweredAt <= Now) {
          Call.KnownAt =
              Call.To == Nodes ? Call.AnsweredAt : All[Call.To].KnownAt;
          Call.Age = Duration(0);
          if (Call.To < Nodes)
            Call.Age = All[Call.To]
                           .Freshness.age(Call.AnsweredAt)
                           .value_or(Duration(-1));
        }
      std::erase_if(Open, [&](const Exchange &Call) {
        if (!Call.Age || Call.ArrivesAt > Now)
          return false;
        Node &Asker = All[Call.From];
        const bool IsLost = *rc::gen::inRange(0, 5) == 0;
        if (IsLost || *Call.Age < Duration(0))
          return true;
        if (Call.To == Nodes) {
          Asker.KnownAt = std::max(Asker.KnownAt, Call.KnownAt);
          Asker.Freshness.recordStoreAnswer(
              Call.SentAt, Call.ArrivesAt,
              std::chrono::floor<Duration>(Call.AnsweredAt - Start) +
                  StoreEpoch);
        } else if (Call.KnownAt <= Asker.KnownAt) {
          Asker.Freshness.recordPeerAnswer(Call.SentAt, *Call.Age);
        } else {
          // The rows come first, the confirmation with a later question.
          Asker.KnownAt = Call.KnownAt;
        }
        return true;
      });
      for (const Node &Each : All) {
        const std::optional<Duration> Age = Each.Freshness.age(Now);
        // Times of the store are cut to milliseconds.
        if (Age)
          RC_ASSERT(Now - *Age <= Each.KnownAt + milliseconds(1));
      }
    }
  }));
}

TEST_CASE("nodes are asked before the store is read, and both not too often") {
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

TEST_CASE("a claim by the store's clock counts from that time, however late") {
  TableFreshness Freshness;
  Freshness.recordPeerSnapshot(milliseconds(1200), Start);
  CHECK_FALSE(Freshness.age(Start)); // the clocks are not related yet
  Freshness.recordStoreAnswer(Start, Start + milliseconds(8),
                              milliseconds(1004));
  Freshness.recordPeerSnapshot(milliseconds(3004), Start + milliseconds(9000));
  CHECK(*Freshness.age(Start + milliseconds(9000)) >= milliseconds(6992));
  CHECK(*Freshness.age(Start + milliseconds(9000)) <= milliseconds(7010));
  CHECK_FALSE(Freshness.wouldImprove(milliseconds(2000), Start));
}

// Guards against a store whose clock was set forward: claims by it would make
// an old copy look current.
TEST_CASE("a claim from the future is not taken") {
  TableFreshness Freshness;
  Freshness.recordStoreAnswer(Start, Start + milliseconds(8),
                              milliseconds(1004));
  Freshness.recordPeerSnapshot(milliseconds(60000), Start + milliseconds(9000));
  CHECK(*Freshness.age(Start + milliseconds(9000)) >= milliseconds(8992));
}

// Claims arrive late, in any order, at frozen nodes, and by clocks that drift.
TEST_CASE("no claim makes a copy look newer than it is") {
  CHECK(rc::check([] {
    TableFreshness Freshness;
    // The store's clock runs this much faster or slower than the node's.
    const double Rate = 1 + *rc::gen::inRange(-150, 151) * 1e-6;
    const milliseconds Epoch(*rc::gen::inRange(0, 100000));
    const auto StoreTimeAt = [&](BootTime At) {
      return std::chrono::floor<Duration>((At - Start) * Rate) + Epoch;
    };
    BootTime Now = Start;
    BootTime KnownAt = Start;
    const int Steps = *rc::gen::inRange(1, 60);
    for (int Step = 0; Step < Steps; ++Step) {
      Now += milliseconds(*rc::gen::inRange(1, 20000));
      const milliseconds Way(*rc::gen::weightedElement<int>(
          {{8, 1}, {3, 40}, {1, 3000}, {1, 12000}}));
      if (*rc::gen::inRange(0, 4) == 0) {
        const BootTime AnsweredAt = Now + Way / 2;
        Freshness.recordStoreAnswer(Now, Now + Way, StoreTimeAt(AnsweredAt));
        KnownAt = std::max(KnownAt, AnsweredAt);
        Now += Way;
      } else {
        const BootTime ClaimedAt = Now;
        Now += Way;
        Freshness.recordPeerSnapshot(StoreTimeAt(ClaimedAt), Now);
        KnownAt = std::max(KnownAt, ClaimedAt);
      }
      const std::optional<Duration> Age = Freshness.age(Now);
      // Times of the store are cut to milliseconds.
      if (Age)
        RC_ASSERT(Now - *Age <= KnownAt + milliseconds(1));
    }
  }));
}

TEST_CASE("a fleet without a current copy reads the store a few times only") {
  CHECK(storeReadProbability(6, false) == 1);
  CHECK(storeReadProbability(300, false) * 300 == doctest::Approx(8));
  CHECK(storeReadProbability(300, true) == 1);
}
