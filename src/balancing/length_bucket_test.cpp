#include "cassiashed/balancing/length_bucket.h"

#include <doctest/doctest.h>
#include <limits>
#include <rapidcheck.h>

using namespace cassiashed::balancing;

TEST_CASE("a prompt lies in the band whose start is the next one below it") {
  CHECK(rc::check([] {
    const double Tokens = *rc::gen::inRange(1, 2'000'000);
    const int Band = lengthBucketOf(Tokens);
    RC_ASSERT(lengthBucketStart(Band) <= Tokens);
    RC_ASSERT(Tokens <= lengthBucketStart(Band + 1));
  }));
}

TEST_CASE("lengths that make no sense have a band too") {
  const double Nan = std::numeric_limits<double>::quiet_NaN();
  const double Infinity = std::numeric_limits<double>::infinity();
  CHECK(lengthBucketOf(Nan) == 0);
  CHECK(lengthBucketOf(-5) == 0);
  CHECK(lengthBucketOf(Infinity) == lengthBucketOf(1e300));
}
