#include "cassiashed/balancing/length_bucket.h"

#include <algorithm>
#include <cmath>

namespace cassiashed::balancing {
namespace {

/// End of bucket 0.
constexpr double FirstBucketEndTokens = 1000;
constexpr double BucketsPerDoubling = 2;
/// Beyond the longest prompt of any model. Lengths come from callers and may be
/// arbitrary.
constexpr int LastBucket = 40;

} // namespace

int lengthBucketOf(double PromptTokens) {
  if (!(PromptTokens > FirstBucketEndTokens))
    return 0;
  const double Bucket = std::floor(
      BucketsPerDoubling * std::log2(PromptTokens / FirstBucketEndTokens));
  return 1 + static_cast<int>(std::min<double>(Bucket, LastBucket - 1));
}

double lengthBucketStart(int Bucket) {
  return Bucket <= 0 ? 0
                     : FirstBucketEndTokens *
                           std::exp2((Bucket - 1) / BucketsPerDoubling);
}

} // namespace cassiashed::balancing
