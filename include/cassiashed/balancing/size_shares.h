#pragma once

#include "cassiashed/base/clock.h"
#include <cstdint>
#include <map>

/// Which part of the prompts of each size is served.
namespace cassiashed::balancing {

struct SizeSharesOptions {
  /// A size is behind if less than this part of its kind's share was served.
  double BehindBelow = 0.75;
  /// Sizes that are ahead give way if another one has less than this part of
  /// the kind's share.
  double GiveWayBelow = 0.6;
  /// Prompts that a size is short of before others give way.
  double GiveWayFrom = 0.5;
  /// Time after which a decision counts half.
  Duration HalfLife{6000};
};

/// How the prompts of one size fare among all prompts of their kind.
enum class SizeStanding {
  Even,
  Behind, ///< it needs the next place
  Ahead   ///< another size is short of its share
};

/// Share of prompts that was admitted, by kind and band of sizes. Load: engines
/// that are short of time. The value of a prompt grows with its length, the
/// work with its square, so a choice by value for work drops the largest
/// prompts of each kind before any others. Not thread-safe.
///
/// ```cpp
/// Shares.note(Kind, 400000, false, Now);
/// Shares.standingOf(Kind, 400000, Now); // Behind
/// ```
class SizeShares {
public:
  explicit SizeShares(SizeSharesOptions Options = {}) : Options_(Options) {}

  SizeStanding standingOf(std::uint64_t Kind, double PromptTokens,
                          TimePoint Now) const;
  /// Takes in what was decided about a prompt that engines could run.
  void note(std::uint64_t Kind, double PromptTokens, bool IsAdmitted,
            TimePoint Now);

private:
  /// Weights of decisions as of `At`.
  struct Tally {
    double Asked = 0;
    double Admitted = 0;
  };
  struct KindTally {
    std::map<int, Tally> Bands;
    TimePoint At;
  };
  double decay(TimePoint From, TimePoint To) const;

  SizeSharesOptions Options_;
  std::map<std::uint64_t, KindTally> Kinds_;
};

} // namespace cassiashed::balancing
