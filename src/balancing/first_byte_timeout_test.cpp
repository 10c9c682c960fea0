#include "cassiashed/balancing/first_byte_timeout.h"

#include <doctest/doctest.h>

using namespace cassiashed;
using namespace cassiashed::balancing;

// Guards against long prompts that are given up while their parts are read
// behind those of newer prompts.
TEST_CASE("a prompt that several engines read keeps half of its time") {
  const Duration Left(15000);
  CHECK(firstByteTimeout({true, Duration(400), 8, Left, true}) == Left / 2);
  CHECK(firstByteTimeout({true, Duration(400), 2, Duration(6000), true}) ==
        Duration(3000));
  CHECK(firstByteTimeout({true, Duration(4000), 8, Left, true}) ==
        Duration(13500));
}

TEST_CASE("a stream of one engine is given up soon after its prediction") {
  CHECK(firstByteTimeout({true, Duration(20), 1, Duration(10000), true}) ==
        Duration(1560));
}

TEST_CASE("a plain call leaves half of its time for another endpoint") {
  CHECK(firstByteTimeout({false, Duration(0), 1, Duration(1000), true}) ==
        Duration(500));
  CHECK_FALSE(firstByteTimeout({false, Duration(0), 1, Duration(1000), false}));
}
