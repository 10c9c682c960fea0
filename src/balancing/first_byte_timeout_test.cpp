#include "cassiashed/balancing/first_byte_timeout.h"

#include <doctest/doctest.h>

using namespace cassiashed;
using namespace cassiashed::balancing;

// Guards against time-outs of long prompts whose parts are prefilled after
// those of newer prompts.
TEST_CASE("a split prefill may take half of the remaining time") {
  const Duration Remaining(15000);
  CHECK(firstByteTimeout({true, Duration(400), 8, Remaining, true}) ==
        Remaining / 2);
  CHECK(firstByteTimeout({true, Duration(400), 2, Duration(6000), true}) ==
        Duration(3000));
  CHECK(firstByteTimeout({true, Duration(4000), 8, Remaining, true}) ==
        Duration(13500));
}

TEST_CASE("a stream of one engine times out soon after its predicted time") {
  CHECK(firstByteTimeout({true, Duration(20), 1, Duration(10000), true}) ==
        Duration(1560));
}

TEST_CASE("a plain call leaves half of its time for a retry elsewhere") {
  CHECK(firstByteTimeout({false, Duration(0), 1, Duration(1000), true}) ==
        Duration(500));
  CHECK_FALSE(firstByteTimeout({false, Duration(0), 1, Duration(1000), false}));
}

// Guards against streams that are given up although nobody may repeat them.
TEST_CASE("a request that nobody else may run waits until its deadline") {
  CHECK_FALSE(
      firstByteTimeout({true, Duration(20), 1, Duration(10000), false}));
  CHECK_FALSE(
      firstByteTimeout({true, Duration(20), 8, Duration(10000), false}));
}

// Guards against streams that are resumed elsewhere while their engine reads a
// preempted prompt again.
TEST_CASE("a stream with a long prompt may be silent while it is read again") {
  CHECK(streamIdleTimeout(Duration(250), Duration(30)) == Duration(2500));
  CHECK(streamIdleTimeout(Duration(1000), Duration(30)) == Duration(3000));
  CHECK(streamIdleTimeout(Duration(1000), Duration(3700)) > Duration(3700));
}
