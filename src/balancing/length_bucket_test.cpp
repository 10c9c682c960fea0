#include "cassiashed/balancing/length_bucket.h"

#include <doctest/doctest.h>
#include <limits>
#include <rapidcheck.h>

using namespace cassiashed::balancing;

TEST_CASE(
    "a prompt lies between the start of its bucket and that of the next") {
  CHECK(rc::check([] {
    const double Tokens = *rc::gen::inRange(1, 2'000'000);
    const int Bucket = lengthBucketOf(Tokens);
    RC_ASSERT(lengthBucketStart(Bucket) <= Tokens);
    RC_ASSERT(Tokens <= lengthBucketStart(Bucket + 1));
  }));
}

TEST_CASE("invalid lengths have a bucket too") {
  const double Nan = std::numeric_limits<double>::quiet_NaN();
  const double Infinity = std::numeric_limits<double>::infinity();
  CHECK(lengthBucketOf(Nan) == 0);
  CHECK(lengthBucketOf(-5) == 0);
  CHECK(lengthBucketOf(Infinity) == lengthBucketOf(1e300));
}
