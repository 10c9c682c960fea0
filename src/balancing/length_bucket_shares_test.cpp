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

TEST_CASE("each size keeps its part of a kind's share under any policy") {
  CHECK(rc::check([] {
    LengthBucketShares Shares;
    std::map<int, SizeCount> Bands;
    const std::uint64_t Kind = 7;
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
            Shares.shareStatusOf(Kind, Tokens, Now) == ShareStatus::Behind;
        Shares.note(Kind, Tokens, IsAdmitted, Now);
        SizeCount &Counted = Bands[lengthBucketOf(Tokens)];
        ++Counted.Asked;
        Counted.Served += IsAdmitted ? 1 : 0;
      }
    RC_ASSERT(starvedBands(Bands, 6).empty());
  }));
}

TEST_CASE("kinds have shares of their own") {
  LengthBucketShares Shares;
  for (int Index = 0; Index < 10; ++Index) {
    Shares.note(1, 5000, true, Start);
    Shares.note(1, 400000, false, Start);
    Shares.note(2, 400000, true, Start);
  }
  CHECK(Shares.shareStatusOf(1, 400000, Start) == ShareStatus::Behind);
  CHECK(Shares.shareStatusOf(1, 5000, Start) != ShareStatus::Behind);
  CHECK(Shares.shareStatusOf(2, 400000, Start) != ShareStatus::Behind);
}

TEST_CASE("a size that is ahead gives way to one that finds no engines") {
  LengthBucketShares Shares;
  for (int Index = 0; Index < 10; ++Index)
    Shares.note(1, 100000, true, Start);
  CHECK(Shares.shareStatusOf(1, 100000, Start) == ShareStatus::Balanced);
  for (int Index = 0; Index < 4; ++Index)
    Shares.note(1, 400000, false, Start);
  CHECK(Shares.shareStatusOf(1, 100000, Start) == ShareStatus::Ahead);
  CHECK(Shares.shareStatusOf(1, 400000, Start) == ShareStatus::Behind);
  CHECK(Shares.shareStatusOf(2, 100000, Start) == ShareStatus::Behind);
}

TEST_CASE("what was decided long ago does not count") {
  LengthBucketShares Shares;
  for (int Index = 0; Index < 10; ++Index)
    Shares.note(1, 400000, true, Start);
  CHECK(Shares.shareStatusOf(1, 400000, Start) != ShareStatus::Behind);
  CHECK(Shares.shareStatusOf(1, 400000, Start + std::chrono::minutes(10)) ==
        ShareStatus::Behind);
}
