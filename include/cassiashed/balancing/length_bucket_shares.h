#pragma once

#include "cassiashed/base/clock.h"
#include <array>
#include <cstdint>
#include <map>

/// Which part of the prompts of each size is admitted.
namespace cassiashed::balancing {

struct LengthBucketSharesOptions {
  /// A size is behind if less than this part of its kind's share was admitted.
  /// The rest of the way down to a half is for admitted prompts that fail.
  double LeastPart = 0.65;
  /// Prompts that a size is short of before other sizes give way to it.
  double GiveWayFrom = 1;
  /// Times after which a decision counts half: of a burst, and of the mix of
  /// bursts and calm.
  std::array<Duration, 2> HalfLives{Duration(6000), Duration(60000)};
};

/// How the prompts of one size fare among those of their kind.
enum class ShareStatus {
  Balanced,
  Behind, ///< they need the next place to keep their part of the share
  Ahead   ///< another size is short, and can do with their place
};

/// Share of prompts that was admitted, by kind and band of sizes. Load: engines
/// that are short of time. The value of a prompt grows with its length, the
/// work with its square, so a choice by value for work drops the largest
/// prompts of each kind before all others. Not thread-safe.
///
/// ```cpp
/// Shares.note(Kind, 5000, true, Now);
/// Shares.note(Kind, 400000, false, Now);
/// Shares.shareStatusOf(Kind, 400000, Now); // Behind
/// ```
class LengthBucketShares {
public:
  explicit LengthBucketShares(LengthBucketSharesOptions Options = {})
      : Options_(Options) {}

  ShareStatus shareStatusOf(std::uint64_t Kind, double PromptTokens,
                            TimePoint Now) const;
  /// Prompts by which the size of a prompt falls short of its part.
  double shortageOf(std::uint64_t Kind, double PromptTokens,
                    TimePoint Now) const;
  /// Takes in what was decided about a prompt.
  void note(std::uint64_t Kind, double PromptTokens, bool IsAdmitted,
            TimePoint Now);

private:
  /// Decisions, those of the past with less weight.
  struct Tally {
    double Asked = 0;
    double Admitted = 0;
    void fade(double Factor) {
      Asked *= Factor;
      Admitted *= Factor;
    }
  };
  using Bands = std::map<int, Tally>;
  struct KindTally {
    std::array<Bands, 2> Memories; ///< by half-life
    TimePoint At;                  ///< of the weights
  };
  static Tally sum(const Bands &All);
  double partOf(const Tally &Whole) const;
  bool isBehind(const Bands &All, int OwnBand, double Factor) const;
  bool isOtherShort(const Bands &All, int OwnBand, double Factor) const;

  LengthBucketSharesOptions Options_;
  std::map<std::uint64_t, KindTally> Kinds_;
};

} // namespace cassiashed::balancing
