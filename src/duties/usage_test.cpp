#include "cassiashed/duties/usage.h"
#include "cassiashed/duties/wall_clock.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace cassiashed;
using namespace cassiashed::duties;

namespace {

constexpr Duration Window{5000};
constexpr std::int64_t Start = 5000LL * 353445120;
const UsageTimes Times{Window, Duration(2500), Duration(10000)};

} // namespace

// Guards against counts that a repeated or late message adds twice, and against
// numbers of windows that a faulty sender makes the node keep for ever.
TEST_CASE("counts of other nodes are merged by maximum") {
  UsageLedger Ledger(Window, 3);
  Ledger.count("a", Start + 10);
  const std::int64_t Number = Ledger.windowAt(Start);
  CHECK(Ledger.endOf(Number) == Start + 5000);
  Ledger.merge("n2/1", {Number, {{"a", 3}, {"b", 1}}}, Start + 20);
  Ledger.merge("n2/1", {Number, {{"a", 5}}}, Start + 30);
  Ledger.merge("n2/1", {Number, {{"a", 3}}}, Start + 40);
  Ledger.merge("n2/2", {Number, {{"a", 2}}}, Start + 50); // restarted
  CHECK(Ledger.total(Number).Counts == UsageCounts{{"a", 8}, {"b", 1}});
  Ledger.merge("n3/1", {Number + 5, {{"a", 3}}}, Start + 60);
  CHECK(Ledger.total(Number + 5).Counts.empty());
  CHECK(Ledger.own(Start, 9).size() == 1);
  Ledger.discardOld(Start + 100000);
  CHECK(Ledger.total(Number).Counts.empty());
}

// Guards against messages full of old windows, so that the holder hears of new
// ones when their reports are decided already.
TEST_CASE("the newest windows are told first") {
  UsageLedger Ledger(Window, 3);
  for (int Index = 0; Index < 3; ++Index)
    for (const char *Workspace : {"a", "b"})
      Ledger.count(Workspace, Start + 5000 * Index);
  const auto Told = Ledger.own(Start + 10000, 5);
  REQUIRE(Told.size() == 2);
  CHECK(Told[0].Window == Ledger.windowAt(Start + 10000));
  CHECK(Told[1].Window == Ledger.windowAt(Start + 5000));
}

// Guards against a report that is sent before the store holds it, or whose
// counts change afterwards.
TEST_CASE("a window is decided once and sent after it was recorded") {
  UsageLedger Ledger(Window, 3);
  const std::int64_t Number = Ledger.windowAt(Start);
  UsageReporter Reporter(Times);
  Reporter.begin({}, Number, Start);
  Ledger.count("a", Start + 1);
  CHECK_FALSE(Reporter.toRecord(Ledger, Start + 7000));
  const auto Recorded = Reporter.toRecord(Ledger, Start + 7600);
  REQUIRE(Recorded);
  CHECK_FALSE(Reporter.toSend(Start + 7600));
  Ledger.count("a", Start + 2); // too late
  const auto Again = Reporter.toRecord(Ledger, Start + 9000);
  REQUIRE(Again);
  CHECK(Again->front().Counts == Recorded->front().Counts);
  Reporter.recordConfirmed();
  const UsageReport *Due = Reporter.toSend(Start + 9100);
  REQUIRE(Due);
  CHECK(Due->Counts == UsageCounts{{"a", 1}});
  Reporter.recordSent(Number);
  CHECK_FALSE(Reporter.toSend(Start + 9200));
}

// Guards against two reports of one window with different counts, in any order
// of changes of holder and of writes and answers that are lost.
TEST_CASE("holders never send different counts of a window") {
  CHECK(rc::check([] {
    std::vector<UsageReport> Stored;
    std::map<std::int64_t, UsageCounts> Sent;
    bool Confirmed = false;
    UsageLedger Ledger(Window, 3);
    auto Reporter = std::make_unique<UsageReporter>(Times);
    Reporter->begin(Stored, 0, Start);
    for (std::int64_t Now = Start; Now < Start + 60000; Now += 500) {
      Ledger.count("a", Now - *rc::gen::inRange(0, 4000));
      if (*rc::gen::inRange(0, 12) == 0) {
        Reporter = std::make_unique<UsageReporter>(Times);
        Reporter->begin(Stored, 0, Now);
      }
      if (const auto Record = Reporter->toRecord(Ledger, Now)) {
        const int Fate = *rc::gen::inRange(0, 4);
        if (Fate != 0)
          Stored = *Record;
        if (Fate > 1)
          Reporter->recordConfirmed();
        Confirmed = Confirmed || Fate > 1;
      }
      while (const UsageReport *Due = Reporter->toSend(Now)) {
        const auto [Entry, IsNew] = Sent.emplace(Due->Window, Due->Counts);
        RC_ASSERT(Entry->second == Due->Counts);
        if (*rc::gen::inRange(0, 3) == 0)
          break; // the answer was lost
        Reporter->recordSent(Due->Window);
      }
    }
    RC_ASSERT(!Confirmed || !Sent.empty());
  }));
}

// Guards against counts in the wrong window when one host's clock jumps.
TEST_CASE("the time of day is the median of the nodes' clocks") {
  WallClock Clock;
  const BootTime Now{std::chrono::hours(1)};
  CHECK(Clock.estimate(Start, Now) == Start);
  Clock.recordPeer("b", Start + 4000, Now);
  CHECK(Clock.estimate(Start, Now) == Start); // no majority
  Clock.recordPeer("c", Start + 4010, Now);
  CHECK(Clock.estimate(Start, Now) == Start + 4000); // the own one is off
  Clock.recordPeer("b", Start - 2, Now);
  CHECK(Clock.estimate(Start, Now) == Start);
  CHECK(Clock.estimate(Start, Now + Duration(4000)) == Start);
}

// Guards against counts in the wrong window until the next messages after the
// own clock jumps.
TEST_CASE("a jump of the own clock does not move the time of day") {
  WallClock Clock;
  const BootTime Now{std::chrono::hours(1)};
  Clock.recordPeer("b", Start, Now);
  Clock.recordPeer("c", Start + 10, Now);
  CHECK(Clock.estimate(Start + 500 + 7000, Now + Duration(500)) == Start + 510);
}
