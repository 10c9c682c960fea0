#include "cassiashed/balancing/length_bucket_shares.h"

#include "cassiashed/balancing/length_bucket.h"
#include <algorithm>
#include <cmath>

namespace cassiashed::balancing {
namespace {

/// Bands of less weight are dropped.
constexpr double LeastWeight = 0.01;

double fading(Duration HalfLife, TimePoint From, TimePoint To) {
  const std::chrono::duration<double> Passed = To - From;
  return std::exp2(
      -std::max(0.0, Passed / std::chrono::duration<double>(HalfLife)));
}

} // namespace

LengthBucketShares::Tally LengthBucketShares::sum(const Bands &All) {
  Tally Result;
  for (const auto &[Band, Each] : All) {
    Result.Asked += Each.Asked;
    Result.Admitted += Each.Admitted;
  }
  return Result;
}

bool LengthBucketShares::isBehind(const Bands &All, int OwnBand,
                                  double Factor) const {
  Tally Whole = sum(All);
  Whole.fade(Factor);
  const auto Found = All.find(OwnBand);
  Tally Own = Found == All.end() ? Tally{} : Found->second;
  Own.fade(Factor);
  // Counts the prompt itself, so that a size which is seldom asked for is not
  // refused for want of a count.
  const double Share = (Whole.Admitted + 1) / (Whole.Asked + 1);
  return Own.Admitted < Options_.LeastPart * Share * (Own.Asked + 1);
}

double LengthBucketShares::partOf(const Tally &Whole) const {
  return Whole.Asked > 0 ? Options_.LeastPart * Whole.Admitted / Whole.Asked
                         : 0;
}

bool LengthBucketShares::isOtherShort(const Bands &All, int OwnBand,
                                      double Factor) const {
  const double Part = partOf(sum(All));
  return std::any_of(All.begin(), All.end(), [&](const auto &Each) {
    const Tally &Other = Each.second;
    return Each.first != OwnBand &&
           (Part * Other.Asked - Other.Admitted) * Factor >=
               Options_.GiveWayFrom;
  });
}

ShareStatus LengthBucketShares::shareStatusOf(std::uint64_t Kind,
                                              double PromptTokens,
                                              TimePoint Now) const {
  const auto Found = Kinds_.find(Kind);
  if (Found == Kinds_.end())
    return ShareStatus::Behind;
  const int OwnBand = lengthBucketOf(PromptTokens);
  ShareStatus Result = ShareStatus::Balanced;
  for (std::size_t Memory = 0; Memory < Options_.HalfLives.size(); ++Memory) {
    const Bands &All = Found->second.Memories[Memory];
    const double Factor =
        fading(Options_.HalfLives[Memory], Found->second.At, Now);
    if (isBehind(All, OwnBand, Factor))
      return ShareStatus::Behind;
    if (isOtherShort(All, OwnBand, Factor))
      Result = ShareStatus::Ahead;
  }
  return Result;
}

double LengthBucketShares::shortageOf(std::uint64_t Kind, double PromptTokens,
                                      TimePoint Now) const {
  double Result = 0;
  const auto Found = Kinds_.find(Kind);
  if (Found == Kinds_.end())
    return Result;
  for (std::size_t Memory = 0; Memory < Options_.HalfLives.size(); ++Memory) {
    const Bands &All = Found->second.Memories[Memory];
    const auto Own = All.find(lengthBucketOf(PromptTokens));
    if (Own == All.end())
      continue;
    const double Short =
        partOf(sum(All)) * Own->second.Asked - Own->second.Admitted;
    Result = std::max(Result, Short * fading(Options_.HalfLives[Memory],
                                             Found->second.At, Now));
  }
  return Result;
}

void LengthBucketShares::note(std::uint64_t Kind, double PromptTokens,
                              bool IsAdmitted, TimePoint Now) {
  KindTally &Entry = Kinds_[Kind];
  for (std::size_t Memory = 0; Memory < Options_.HalfLives.size(); ++Memory) {
    const double Factor = fading(Options_.HalfLives[Memory], Entry.At, Now);
    Bands &All = Entry.Memories[Memory];
    for (auto &[Band, Each] : All)
      Each.fade(Factor);
    std::erase_if(
        All, [](const auto &Each) { return Each.second.Asked < LeastWeight; });
    Tally &Own = All[lengthBucketOf(PromptTokens)];
    Own.Asked += 1;
    Own.Admitted += IsAdmitted ? 1 : 0;
  }
  Entry.At = std::max(Entry.At, Now);
}

} // namespace cassiashed::balancing
