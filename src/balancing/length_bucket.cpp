#include "cassiashed/balancing/length_bucket.h"

#include <algorithm>
#include <cmath>

namespace cassiashed::balancing {
namespace {

/// Prompts below it are one band.
constexpr double FirstBandTokens = 1000;
constexpr double BandsPerDoubling = 2;
/// Above the longest prompt of any model; lengths come from callers.
constexpr int LastBand = 40;

} // namespace

int lengthBucketOf(double PromptTokens) {
  if (!(PromptTokens > FirstBandTokens))
    return 0;
  const double Band =
      std::floor(BandsPerDoubling * std::log2(PromptTokens / FirstBandTokens));
  return 1 + static_cast<int>(std::min<double>(Band, LastBand - 1));
}

double lengthBucketStart(int Band) {
  return Band <= 0 ? 0
                   : FirstBandTokens * std::exp2((Band - 1) / BandsPerDoubling);
}

} // namespace cassiashed::balancing
