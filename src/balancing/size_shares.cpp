#include "cassiashed/balancing/size_shares.h"

#include "cassiashed/balancing/size_band.h"
#include <algorithm>
#include <cmath>
#include <iterator>

namespace cassiashed::balancing {
namespace {

/// Bands below this weight are dropped.
constexpr double LeastWeight = 0.01;

} // namespace

double SizeShares::decay(TimePoint From, TimePoint To) const {
  const std::chrono::duration<double> Passed = To - From;
  const std::chrono::duration<double> HalfLife = Options_.HalfLife;
  return std::exp2(-std::max(0.0, Passed / HalfLife));
}

SizeStanding SizeShares::standingOf(std::uint64_t Kind, double PromptTokens,
                                    TimePoint Now) const {
  const auto Found = Kinds_.find(Kind);
  if (Found == Kinds_.end())
    return SizeStanding::Even;
  const double Decay = decay(Found->second.At, Now);
  const int OwnBand = sizeBandOf(PromptTokens);
  Tally All;
  Tally Own;
  for (const auto &[Band, Each] : Found->second.Bands) {
    All.Asked += Each.Asked * Decay;
    All.Admitted += Each.Admitted * Decay;
    if (Band == OwnBand)
      Own = {Each.Asked * Decay, Each.Admitted * Decay};
  }
  // Counts the prompt itself: a size that is seldom asked for is not refused
  // for want of a count.
  const double Share = (All.Admitted + 1) / (All.Asked + 1);
  if (Own.Admitted < Options_.BehindBelow * Share * (Own.Asked + 1))
    return SizeStanding::Behind;
  for (const auto &[Band, Each] : Found->second.Bands) {
    const double Short =
        (Options_.GiveWayBelow * Share * Each.Asked - Each.Admitted) * Decay;
    if (Band != OwnBand && Short >= Options_.GiveWayFrom)
      return SizeStanding::Ahead;
  }
  return SizeStanding::Even;
}

void SizeShares::note(std::uint64_t Kind, double PromptTokens, bool IsAdmitted,
                      TimePoint Now) {
  KindTally &Entry = Kinds_[Kind];
  const double Decay = decay(Entry.At, Now);
  Entry.At = std::max(Entry.At, Now);
  for (auto Each = Entry.Bands.begin(); Each != Entry.Bands.end();) {
    Each->second.Asked *= Decay;
    Each->second.Admitted *= Decay;
    Each = Each->second.Asked < LeastWeight ? Entry.Bands.erase(Each)
                                            : std::next(Each);
  }
  Tally &Own = Entry.Bands[sizeBandOf(PromptTokens)];
  Own.Asked += 1;
  Own.Admitted += IsAdmitted ? 1 : 0;
}

} // namespace cassiashed::balancing
