#pragma once

#include <map>
#include <vector>

/// Counts of served prompts by length bucket, for tests.
namespace cassiashed::balancing {

/// Fraction of its request class's served fraction that each length bucket is
/// guaranteed.
inline constexpr double MinShareFraction = 0.5;

struct BucketCount {
  int Requested = 0;
  int Served = 0;
};

/// Buckets with at least `MinRequested` prompts of which less than the
/// guaranteed fraction was served.
inline std::vector<int>
starvedBuckets(const std::map<int, BucketCount> &Buckets, int MinRequested) {
  BucketCount Total;
  for (const auto &[Bucket, Count] : Buckets) {
    Total.Requested += Count.Requested;
    Total.Served += Count.Served;
  }
  std::vector<int> Result;
  for (const auto &[Bucket, Count] : Buckets)
    // Tolerates one prompt, so that rounding of small counts is no starvation.
    if (Count.Requested >= MinRequested &&
        (Count.Served + 1) * Total.Requested <
            MinShareFraction * Count.Requested * Total.Served)
      Result.push_back(Bucket);
  return Result;
}

} // namespace cassiashed::balancing
