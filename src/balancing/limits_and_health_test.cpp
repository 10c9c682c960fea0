#include "cassiashed/balancing/cold_start_limiter.h"
#include "cassiashed/balancing/crash_history.h"
#include "cassiashed/balancing/endpoint_health.h"
#include "cassiashed/balancing/reservation_tracker.h"
#include "cassiashed/balancing/retry_share.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace cassiashed;
using namespace cassiashed::balancing;
using std::chrono::milliseconds;
using std::chrono::minutes;

namespace {

const TimePoint Start{std::chrono::hours(1)};

} // namespace

// Guards against limits that each node keeps and the sum over all exceeds.
TEST_CASE(
    "the repeats of all nodes stay within the budget, restarts included") {
  CHECK(rc::check([] {
    const int Nodes = *rc::gen::inRange(1, 30);
    const RetryShareOptions Options;
    std::vector<RetryShare> Shares(static_cast<std::size_t>(Nodes),
                                   RetryShare(Options));
    int Firsts = 0;
    int Repeats = 0;
    int Restarts = 0;
    TimePoint Now = Start;
    const int Steps = *rc::gen::inRange(1, 600);
    for (int Step = 0; Step < Steps; ++Step) {
      auto &Share =
          Shares[static_cast<std::size_t>(*rc::gen::inRange(0, Nodes))];
      const int Kind = *rc::gen::inRange(0, 20);
      if (Kind == 0 && Restarts == 0) {
        Share = RetryShare(Options);
        ++Restarts;
      } else if (Kind < 6) {
        Share.recordFirstAttempt("s", Now);
        ++Firsts;
      } else if (Share.tryConsume("s", Nodes, Now)) {
        ++Repeats;
      }
      Now += milliseconds(5); // all within one window
    }
    RC_ASSERT(Repeats <= Options.Ratio * Firsts + Options.Slack);
  }));
}

TEST_CASE("a node that has the traffic has repeats left") {
  RetryShare Share;
  for (int Count = 0; Count < 100; ++Count)
    Share.recordFirstAttempt("s", Start);
  int Repeats = 0;
  while (Share.tryConsume("s", 10, Start))
    ++Repeats;
  CHECK(Repeats >= 10);
  CHECK(Repeats <= 20);
  CHECK(Share.tryConsume("s", 10, Start + std::chrono::seconds(11)));
}

TEST_CASE("all nodes together stay within what a cold endpoint bears") {
  CHECK(rc::check([] {
    const int Nodes = *rc::gen::inRange(1, 90);
    const double PerSecond = *rc::gen::inRange(5, 60);
    const ColdStartLimiterOptions Options;
    std::vector<ColdStartLimiter> Shares(static_cast<std::size_t>(Nodes),
                                         ColdStartLimiter(Options));
    std::vector<TimePoint> Sent;
    TimePoint Now = Start;
    for (int Step = 0; Step < 1500; ++Step) {
      auto &Share =
          Shares[static_cast<std::size_t>(*rc::gen::inRange(0, Nodes))];
      if (Share.canSend(1, PerSecond, Nodes, Now)) {
        Share.recordSent(1, Now);
        Sent.push_back(Now);
      }
      Now += milliseconds(2);
    }
    const double Bound = PerSecond * Options.Overage + Options.Slack;
    for (std::size_t First = 0; First < Sent.size(); ++First) {
      const auto End = std::lower_bound(Sent.begin(), Sent.end(),
                                        Sent[First] + std::chrono::seconds(1));
      const auto Count = End - (Sent.begin() + static_cast<long>(First));
      // One send of each node may fall into the window besides its average.
      RC_ASSERT(static_cast<double>(Count) <= std::max<double>(Bound, Nodes));
    }
  }));
}

TEST_CASE("a content is refused after it crashed three endpoints") {
  CrashHistory History;
  CHECK(History.recordCrash(7, "a", Start));
  CHECK_FALSE(History.recordCrash(7, "a", Start));
  History.recordCrash(7, "b", Start);
  CHECK_FALSE(History.isRefused(7, Start));
  History.recordCrash(7, "c", Start);
  CHECK(History.isRefused(7, Start));
  CHECK_FALSE(History.isRefused(8, Start));
  CHECK_FALSE(History.isRefused(7, Start + std::chrono::minutes(2)));
  History.recordCompletion(7);
  CHECK_FALSE(History.isRefused(7, Start));
}

// Guards against an endpoint that went dark and keeps getting requests until
// the first of them runs into its time limit.
TEST_CASE("an endpoint that owes answers and is silent comes into doubt") {
  EndpointHealth Health;
  Health.recordSent(1, 7, milliseconds(100), minutes(1), Start);
  CHECK(Health.suspicion(1, Start + milliseconds(500)) == 0);
  CHECK(Health.suspicion(1, Start + milliseconds(1500)) > 1);
  Health.recordBytesReceived(1, true, Start + milliseconds(1500));
  CHECK(Health.suspicion(1, Start + milliseconds(2000)) == 0);
  CHECK(Health.suspicion(1, Start + milliseconds(3000)) > 1);
  Health.recordBytesReceived(1, false, Start + milliseconds(3000));
  CHECK(Health.suspicion(1, Start + milliseconds(9000)) == 0);
}

// Guards against endpoints that get no request for the rest of the day since a
// caller left before its first token: nothing is heard from them any more.
TEST_CASE("an endpoint is trusted again when nobody waits for it any more") {
  EndpointHealth Health;
  Health.recordSent(1, 7, milliseconds(100), minutes(1), Start);
  Health.recordSent(1, 8, milliseconds(4000), minutes(1), Start);
  const TimePoint Left = Start + milliseconds(2000);
  CHECK(Health.suspicion(1, Left) > 1);
  Health.recordEnd(1, 7, Left);
  // The silence is remembered like any other failure.
  CHECK(Health.suspicion(1, Left) > 1);
  CHECK(Health.suspicion(1, Left + milliseconds(2800)) < 2);
  Health.recordEnd(1, 8, Left + milliseconds(2800));
  CHECK(Health.suspicion(1, Left + minutes(1)) < 0.01);
}

// Guards against the same where the news of an end is lost.
TEST_CASE("no endpoint is in doubt for an answer that is past its deadline") {
  EndpointHealth Health;
  Health.recordSent(1, 7, milliseconds(100), milliseconds(10000), Start);
  CHECK(Health.suspicion(1, Start + milliseconds(9000)) > 1);
  CHECK(Health.suspicion(1, Start + milliseconds(10000)) == 0);
}

TEST_CASE("doubt about an endpoint fades and an answer lowers it") {
  EndpointHealth Health;
  Health.note(1, EndpointOutcome::Broken, Start);
  const double Before = Health.suspicion(1, Start);
  Health.note(1, EndpointOutcome::Answered, Start);
  CHECK(Health.suspicion(1, Start) < Before);
  CHECK(Health.suspicion(1, Start + std::chrono::seconds(30)) < 0.01);
  Health.note(1, EndpointOutcome::Unreachable, Start);
  CHECK(Health.isInBackoff(1, Start));
  CHECK_FALSE(Health.isInBackoff(1, Start + std::chrono::seconds(2)));
}

// Guards against memory that is kept for an engine that went dark: seen 5.4 s
// after the request that had used it.
TEST_CASE("a reservation is over when its request no longer uses it") {
  ReservationTracker Use;
  CHECK_FALSE(Use.isNoLongerNeeded());
  // The request still waits at the engine that writes its answer.
  Use.recordReport(ReservationState::Held, Start);
  CHECK_FALSE(Use.isNoLongerNeeded());
  Use.recordReport(ReservationState::Used, Start);
  Use.recordReport(ReservationState::Unknown, Start);
  CHECK_FALSE(Use.isNoLongerNeeded());
  Use.recordReport(ReservationState::Held, Start);
  CHECK(Use.isNoLongerNeeded());

  ReservationTracker Lost;
  Lost.recordReport(ReservationState::Held, Start);
  CHECK(Lost.mayBeQueuedAtDecodeEngine());
  Lost.recordDecodeEngineUnresponsive();
  CHECK(Lost.isNoLongerNeeded());

  ReservationTracker Short; // used and given back between two questions
  Short.recordAnswerStarted(Start);
  Short.recordReport(ReservationState::Held, Start + OldestReport);
  CHECK(Short.isNoLongerNeeded());
}

// Guards against the memory of a stream that is given back while it is
// written: the largest prompts were cut off a second after their first token.
TEST_CASE("a report from before the answer began does not end a reservation") {
  ReservationTracker Use;
  Use.recordAnswerStarted(Start);
  Use.recordReport(ReservationState::Held, Start + milliseconds(270));
  CHECK_FALSE(Use.isNoLongerNeeded());
  Use.recordReport(ReservationState::Used, Start + milliseconds(1270));
  CHECK_FALSE(Use.isNoLongerNeeded());
  Use.recordReport(ReservationState::Held, Start + milliseconds(2270));
  CHECK(Use.isNoLongerNeeded());
}
