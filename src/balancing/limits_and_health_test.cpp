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

// Guards against limits that every single node observes but the sum over all
// nodes exceeds.
TEST_CASE("retries of all nodes stay within the budget, restarts included") {
  CHECK(rc::check([] {
    const int Nodes = *rc::gen::inRange(1, 30);
    const RetryShareOptions Options;
    std::vector<RetryShare> Shares(static_cast<std::size_t>(Nodes),
                                   RetryShare(Options));
    int FirstAttempts = 0;
    int Retries = 0;
    int Restarts = 0;
    TimePoint Now = Start;
    const int Steps = *rc::gen::inRange(1, 600);
    for (int Step = 0; Step < Steps; ++Step) {
      auto &Share =
          Shares[static_cast<std::size_t>(*rc::gen::inRange(0, Nodes))];
      const int Action = *rc::gen::inRange(0, 20);
      if (Action == 0 && Restarts == 0) {
        Share = RetryShare(Options);
        ++Restarts;
      } else if (Action < 6) {
        Share.recordFirstAttempt("s", Now);
        ++FirstAttempts;
      } else if (Share.trySpendRetry("s", Nodes, Now)) {
        ++Retries;
      }
      Now += milliseconds(5); // all within one window
    }
    RC_ASSERT(Retries <= Options.Ratio * FirstAttempts + Options.Slack);
  }));
}

TEST_CASE("a node that gets the traffic has retries left") {
  RetryShare Share;
  for (int Count = 0; Count < 100; ++Count)
    Share.recordFirstAttempt("s", Start);
  int Retries = 0;
  while (Share.trySpendRetry("s", 10, Start))
    ++Retries;
  CHECK(Retries >= 10);
  CHECK(Retries <= 20);
  CHECK(Share.trySpendRetry("s", 10, Start + std::chrono::seconds(11)));
}

TEST_CASE("all nodes together stay within the limit of a cold endpoint") {
  CHECK(rc::check([] {
    const int Nodes = *rc::gen::inRange(1, 90);
    const double PerSecond = *rc::gen::inRange(5, 60);
    const ColdStartLimiterOptions Options;
    std::vector<ColdStartLimiter> Limiters(static_cast<std::size_t>(Nodes),
                                           ColdStartLimiter(Options));
    std::vector<TimePoint> Sent;
    TimePoint Now = Start;
    for (int Step = 0; Step < 1500; ++Step) {
      auto &Limiter =
          Limiters[static_cast<std::size_t>(*rc::gen::inRange(0, Nodes))];
      if (Limiter.canSend(1, PerSecond, Nodes, Now)) {
        Limiter.recordSent(1, Now);
        Sent.push_back(Now);
      }
      Now += milliseconds(2);
    }
    const double Limit = PerSecond * Options.Overage + Options.Slack;
    for (std::size_t First = 0; First < Sent.size(); ++First) {
      const auto End = std::lower_bound(Sent.begin(), Sent.end(),
                                        Sent[First] + std::chrono::seconds(1));
      const auto Count = End - (Sent.begin() + static_cast<long>(First));
      // Each node may send one more than its average within the window.
      RC_ASSERT(static_cast<double>(Count) <= std::max<double>(Limit, Nodes));
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

// Guards against an unresponsive endpoint that gets requests until the first of
// them times out.
TEST_CASE("an endpoint with pending answers that sends no bytes is suspected") {
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

// Guards against endpoints that never get a request again after a caller
// disconnected before its first token: without requests no bytes arrive that
// would end the suspicion.
TEST_CASE("suspicion decays when nobody waits for the endpoint any more") {
  EndpointHealth Health;
  Health.recordSent(1, 7, milliseconds(100), minutes(1), Start);
  Health.recordSent(1, 8, milliseconds(4000), minutes(1), Start);
  const TimePoint DisconnectedAt = Start + milliseconds(2000);
  CHECK(Health.suspicion(1, DisconnectedAt) > 1);
  Health.recordEnd(1, 7, DisconnectedAt);
  // The missing answer counts like any other failure.
  CHECK(Health.suspicion(1, DisconnectedAt) > 1);
  CHECK(Health.suspicion(1, DisconnectedAt + milliseconds(2800)) < 2);
  Health.recordEnd(1, 8, DisconnectedAt + milliseconds(2800));
  CHECK(Health.suspicion(1, DisconnectedAt + minutes(1)) < 0.01);
}

// Guards against endpoints that stay suspected because the end of a request was
// never recorded.
TEST_CASE("an answer past its deadline causes no suspicion") {
  EndpointHealth Health;
  Health.recordSent(1, 7, milliseconds(100), milliseconds(10000), Start);
  CHECK(Health.suspicion(1, Start + milliseconds(9000)) > 1);
  CHECK(Health.suspicion(1, Start + milliseconds(10000)) == 0);
}

TEST_CASE("suspicion decays over time and an answer lowers it") {
  EndpointHealth Health;
  Health.recordOutcome(1, EndpointOutcome::Broken, Start);
  const double Before = Health.suspicion(1, Start);
  Health.recordOutcome(1, EndpointOutcome::Answered, Start);
  CHECK(Health.suspicion(1, Start) < Before);
  CHECK(Health.suspicion(1, Start + std::chrono::seconds(30)) < 0.01);
  Health.recordOutcome(1, EndpointOutcome::Unreachable, Start);
  CHECK(Health.isInBackoff(1, Start));
  CHECK_FALSE(Health.isInBackoff(1, Start + std::chrono::seconds(2)));
}

// Guards against memory that stays reserved for an unresponsive engine: it was
// still reserved 5.4 s after the end of the request that had used it.
TEST_CASE("a reservation ends when its request no longer uses it") {
  ReservationTracker Tracker;
  CHECK_FALSE(Tracker.isNoLongerNeeded());
  // The request is still queued at the decode engine.
  Tracker.recordReport(ReservationState::Held, Start);
  CHECK_FALSE(Tracker.isNoLongerNeeded());
  Tracker.recordReport(ReservationState::Used, Start);
  Tracker.recordReport(ReservationState::Unknown, Start);
  CHECK_FALSE(Tracker.isNoLongerNeeded());
  Tracker.recordReport(ReservationState::Held, Start);
  CHECK(Tracker.isNoLongerNeeded());

  ReservationTracker Lost;
  Lost.recordReport(ReservationState::Held, Start);
  CHECK(Lost.mayBeQueuedAtDecodeEngine());
  Lost.recordDecodeEngineUnresponsive();
  CHECK(Lost.isNoLongerNeeded());

  ReservationTracker Brief; // used and released between two reports
  Brief.recordAnswerStarted(Start);
  Brief.recordReport(ReservationState::Held, Start + MaxReportAge);
  CHECK(Brief.isNoLongerNeeded());
}

// Guards against releasing the memory of a running stream: the largest prompts
// were cut off a second after their first token.
TEST_CASE("a report from before the answer started ends no reservation") {
  ReservationTracker Tracker;
  Tracker.recordAnswerStarted(Start);
  Tracker.recordReport(ReservationState::Held, Start + milliseconds(270));
  CHECK_FALSE(Tracker.isNoLongerNeeded());
  Tracker.recordReport(ReservationState::Used, Start + milliseconds(1270));
  CHECK_FALSE(Tracker.isNoLongerNeeded());
  Tracker.recordReport(ReservationState::Held, Start + milliseconds(2270));
  CHECK(Tracker.isNoLongerNeeded());
}
