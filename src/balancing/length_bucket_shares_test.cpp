#include "cassiashed/balancing/length_bucket_shares.h"

#include "balancing/length_bucket_counts.h"
#include "cassiashed/balancing/length_bucket.h"
#include <cmath>
#include <doctest/doctest.h>
#include <random>
#include <rapidcheck.h>
#include <vector>

using namespace cassiashed;
using namespace cassiashed::balancing;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};

} // namespace

TEST_CASE(
    "each length bucket keeps its share of a request class under any policy") {
  CHECK(rc::check([] {
    LengthBucketShares Shares;
    std::map<int, BucketCount> Buckets;
    const std::uint64_t RequestClass = 7;
    // The policy refuses prompts above a length that changes with the load.
    const auto Limits =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 700));
    std::mt19937_64 Random(*rc::gen::inRange(0, 1'000'000));
    std::lognormal_distribution<double> Length(std::log(150000), 0.7);
    TimePoint Now = Start;
    for (const int Limit : Limits)
      for (int Index = 0; Index < 40; ++Index) {
        Now += milliseconds(std::uniform_int_distribution<int>(1, 200)(Random));
        const double Tokens = Length(Random);
        const bool IsAdmitted =
            Tokens < Limit * 1000.0 ||
            Shares.shareStatusOf(RequestClass, Tokens, Now) ==
                ShareStatus::UnderServed;
        Shares.recordDecision(RequestClass, Tokens, IsAdmitted, Now);
        BucketCount &Count = Buckets[lengthBucketOf(Tokens)];
        ++Count.Requested;
        Count.Served += IsAdmitted ? 1 : 0;
      }
    RC_ASSERT(starvedBuckets(Buckets, 6).empty());
  }));
}

TEST_CASE("request classes have separate shares") {
  LengthBucketShares Shares;
  for (int Index = 0; Index < 10; ++Index) {
    Shares.recordDecision(1, 5000, true, Start);
    Shares.recordDecision(1, 400000, false, Start);
    Shares.recordDecision(2, 400000, true, Start);
  }
  CHECK(Shares.shareStatusOf(1, 400000, Start) == ShareStatus::UnderServed);
  CHECK(Shares.shareStatusOf(1, 5000, Start) != ShareStatus::UnderServed);
  CHECK(Shares.shareStatusOf(2, 400000, Start) != ShareStatus::UnderServed);
}

TEST_CASE("a length bucket can yield to one that finds no engines") {
  LengthBucketShares Shares;
  for (int Index = 0; Index < 10; ++Index)
    Shares.recordDecision(1, 100000, true, Start);
  CHECK(Shares.shareStatusOf(1, 100000, Start) == ShareStatus::Balanced);
  for (int Index = 0; Index < 4; ++Index)
    Shares.recordDecision(1, 400000, false, Start);
  CHECK(Shares.shareStatusOf(1, 100000, Start) == ShareStatus::CanYield);
  CHECK(Shares.shareStatusOf(1, 400000, Start) == ShareStatus::UnderServed);
  CHECK(Shares.shareStatusOf(2, 100000, Start) == ShareStatus::UnderServed);
}

TEST_CASE("old decisions do not count") {
  LengthBucketShares Shares;
  for (int Index = 0; Index < 10; ++Index)
    Shares.recordDecision(1, 400000, true, Start);
  CHECK(Shares.shareStatusOf(1, 400000, Start) != ShareStatus::UnderServed);
  CHECK(Shares.shareStatusOf(1, 400000, Start + std::chrono::minutes(10)) ==
        ShareStatus::UnderServed);
}
