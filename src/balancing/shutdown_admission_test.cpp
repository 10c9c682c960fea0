#include "cassiashed/balancing/shutdown_admission.h"

#include <doctest/doctest.h>

using namespace cassiashed;
using namespace cassiashed::balancing;

// Guards against streams that are accepted late in a shutdown and cut off by
// the kill.
TEST_CASE(
    "a node that is shutting down refuses what cannot end before the kill") {
  engine::EngineSpec Spec;
  Spec.StepMs = 1.02;
  Spec.PrefillTokensPerMs = 206;
  const Duration GracePeriod(8000);
  const Duration Deadline(10000);
  const Duration Short =
      expectedDuration(Spec, engine::prefillMs(Spec, 0, 5000), 1300);
  CHECK(Short > Duration(1500));
  CHECK(
      canFinishBeforeShutdown({Short, Deadline, Duration(1000)}, GracePeriod));
  CHECK_FALSE(
      canFinishBeforeShutdown({Short, Deadline, Duration(5000)}, GracePeriod));
  const Duration Soon(100);
  CHECK(canFinishBeforeShutdown({Soon, Soon, Duration(5000)}, GracePeriod));
  CHECK_FALSE(
      canFinishBeforeShutdown({Soon, Soon, Duration(7000)}, GracePeriod));
}

// Guards against requests that are accepted late in a shutdown by the time that
// idle engines would take.
TEST_CASE("late in a shutdown only a deadline shows that a request ends") {
  const Duration GracePeriod(8000);
  const Duration Expected(900);
  CHECK(canFinishBeforeShutdown({Expected, Duration(10000), Duration(2000)},
                                GracePeriod));
  CHECK_FALSE(canFinishBeforeShutdown(
      {Expected, Duration(10000), Duration(3100)}, GracePeriod));
  CHECK(canFinishBeforeShutdown({Expected, Duration(3000), Duration(3100)},
                                GracePeriod));
}

// Guards against requests that are accepted although their engines are busy.
TEST_CASE("the load of the engines counts at a shutdown") {
  engine::EngineSpec Spec;
  const Duration GracePeriod(8000);
  CHECK(canFinishBeforeShutdown(
      {expectedDuration(Spec, 400, 300), Duration(10000), Duration(1000)},
      GracePeriod));
  CHECK_FALSE(canFinishBeforeShutdown(
      {expectedDuration(Spec, 3000, 300), Duration(10000), Duration(1000)},
      GracePeriod));
}
