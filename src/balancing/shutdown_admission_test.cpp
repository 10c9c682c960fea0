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
  const Duration Short = expectedDuration(Spec, 5000, 1300);
  CHECK(Short > Duration(1500));
  CHECK(canFinishBeforeShutdown(Short, Duration(1000), GracePeriod));
  CHECK_FALSE(canFinishBeforeShutdown(Short, Duration(5000), GracePeriod));
  CHECK(canFinishBeforeShutdown(Duration(100), Duration(5000), GracePeriod));
  CHECK_FALSE(
      canFinishBeforeShutdown(Duration(100), Duration(7000), GracePeriod));
}
