#pragma once

#include "cassiashed/base/clock.h"
#include <array>
#include <cstdint>
#include <map>

/// Fraction of the prompts of each length bucket that is admitted.
namespace cassiashed::balancing {

struct LengthBucketSharesOptions {
  /// A bucket is under-served if its admission rate is below this fraction of
  /// the rate of its whole request class. A half is guaranteed; the margin
  /// covers admitted prompts that fail.
  double MinShareFraction = 0.65;
  /// Shortfall of a bucket, in prompts, from which other buckets yield to it.
  double MinShortfallToYield = 1;
  /// Half-lives of the recorded decisions. The short one follows a single
  /// burst, the long one the mix of bursts and calm periods.
  std::array<Duration, 2> HalfLives{Duration(6000), Duration(60000)};
};

/// Whether a length bucket gets its share within its request class.
enum class ShareStatus {
  Balanced,
  UnderServed, ///< its next prompt must be admitted to keep its share
  CanYield     ///< it has its share, but another bucket is under-served
};

/// Tracks the admitted fraction of prompts by request class and length bucket.
/// Matters when engines are overloaded: the value of a prompt grows with its
/// length but the work with its square, so admission by value per work refuses
/// the longest prompts of each class first. Not thread-safe.
///
/// ```cpp
/// Shares.recordDecision(RequestClass, 5000, true, Now);
/// Shares.recordDecision(RequestClass, 400000, false, Now);
/// Shares.shareStatusOf(RequestClass, 400000, Now); // UnderServed
/// ```
class LengthBucketShares {
public:
  explicit LengthBucketShares(LengthBucketSharesOptions Options = {})
      : Options_(Options) {}

  ShareStatus shareStatusOf(std::uint64_t RequestClass, double PromptTokens,
                            TimePoint Now) const;
  /// How many more prompts of this length bucket should have been admitted to
  /// reach its share; 0: none.
  double shortfallOf(std::uint64_t RequestClass, double PromptTokens,
                     TimePoint Now) const;
  /// Records whether a prompt was admitted.
  void recordDecision(std::uint64_t RequestClass, double PromptTokens,
                      bool IsAdmitted, TimePoint Now);

private:
  /// Exponentially decayed numbers of decisions.
  struct Counts {
    double Requested = 0;
    double Admitted = 0;
    void decay(double Factor) {
      Requested *= Factor;
      Admitted *= Factor;
    }
  };
  using BucketCounts = std::map<int, Counts>;
  struct ClassCounts {
    std::array<BucketCounts, 2> ByHalfLife; ///< as in `HalfLives`
    TimePoint UpdatedAt; ///< when the counts were last decayed
  };
  static Counts sum(const BucketCounts &All);
  double minAdmittedFraction(const Counts &Total) const;
  bool isUnderServed(const BucketCounts &All, int OwnBucket,
                     double Factor) const;
  bool isOtherBucketUnderServed(const BucketCounts &All, int OwnBucket,
                                double Factor) const;

  LengthBucketSharesOptions Options_;
  std::map<std::uint64_t, ClassCounts> Classes_;
};

} // namespace cassiashed::balancing
