#include "cassiashed/balancing/length_bucket_shares.h"

#include "cassiashed/balancing/length_bucket.h"
#include <algorithm>
#include <cmath>

namespace cassiashed::balancing {
namespace {

/// Buckets with fewer decayed requests are dropped.
constexpr double MinRequested = 0.01;

double decayFactor(Duration HalfLife, TimePoint From, TimePoint To) {
  const std::chrono::duration<double> Passed = To - From;
  return std::exp2(
      -std::max(0.0, Passed / std::chrono::duration<double>(HalfLife)));
}

} // namespace

LengthBucketShares::Counts LengthBucketShares::sum(const BucketCounts &All) {
  Counts Result;
  for (const auto &[Bucket, Counted] : All) {
    Result.Requested += Counted.Requested;
    Result.Admitted += Counted.Admitted;
  }
  return Result;
}

bool LengthBucketShares::isUnderServed(const BucketCounts &All, int OwnBucket,
                                       double Factor) const {
  Counts Total = sum(All);
  Total.decay(Factor);
  const auto Found = All.find(OwnBucket);
  Counts Own = Found == All.end() ? Counts{} : Found->second;
  Own.decay(Factor);
  // Includes the prompt to decide on, so that a rarely requested bucket is not
  // refused for lack of counts.
  const double Share = (Total.Admitted + 1) / (Total.Requested + 1);
  return Own.Admitted < Options_.MinShareFraction * Share * (Own.Requested + 1);
}

double LengthBucketShares::minAdmittedFraction(const Counts &Total) const {
  return Total.Requested > 0
             ? Options_.MinShareFraction * Total.Admitted / Total.Requested
             : 0;
}

bool LengthBucketShares::isOtherBucketUnderServed(const BucketCounts &All,
                                                  int OwnBucket,
                                                  double Factor) const {
  const double MinFraction = minAdmittedFraction(sum(All));
  return std::any_of(All.begin(), All.end(), [&](const auto &Entry) {
    const Counts &Other = Entry.second;
    return Entry.first != OwnBucket &&
           (MinFraction * Other.Requested - Other.Admitted) * Factor >=
               Options_.MinShortfallToYield;
  });
}

ShareStatus LengthBucketShares::shareStatusOf(std::uint64_t RequestClass,
                                              double PromptTokens,
                                              TimePoint Now) const {
  const auto Found = Classes_.find(RequestClass);
  if (Found == Classes_.end())
    return ShareStatus::UnderServed;
  const int OwnBucket = lengthBucketOf(PromptTokens);
  ShareStatus Result = ShareStatus::Balanced;
  for (std::size_t Index = 0; Index < Options_.HalfLives.size(); ++Index) {
    const BucketCounts &All = Found->second.ByHalfLife[Index];
    const double Factor =
        decayFactor(Options_.HalfLives[Index], Found->second.UpdatedAt, Now);
    if (isUnderServed(All, OwnBucket, Factor))
      return ShareStatus::UnderServed;
    if (isOtherBucketUnderServed(All, OwnBucket, Factor))
      Result = ShareStatus::CanYield;
  }
  return Result;
}

double LengthBucketShares::shortfallOf(std::uint64_t RequestClass,
                                       double PromptTokens,
                                       TimePoint Now) const {
  double Result = 0;
  const auto Found = Classes_.find(RequestClass);
  if (Found == Classes_.end())
    return Result;
  for (std::size_t Index = 0; Index < Options_.HalfLives.size(); ++Index) {
    const BucketCounts &All = Found->second.ByHalfLife[Index];
    const auto Own = All.find(lengthBucketOf(PromptTokens));
    if (Own == All.end())
      continue;
    const double Shortfall =
        minAdmittedFraction(sum(All)) * Own->second.Requested -
        Own->second.Admitted;
    Result =
        std::max(Result, Shortfall * decayFactor(Options_.HalfLives[Index],
                                                 Found->second.UpdatedAt, Now));
  }
  return Result;
}

void LengthBucketShares::recordDecision(std::uint64_t RequestClass,
                                        double PromptTokens, bool IsAdmitted,
                                        TimePoint Now) {
  ClassCounts &Class = Classes_[RequestClass];
  for (std::size_t Index = 0; Index < Options_.HalfLives.size(); ++Index) {
    const double Factor =
        decayFactor(Options_.HalfLives[Index], Class.UpdatedAt, Now);
    BucketCounts &All = Class.ByHalfLife[Index];
    for (auto &[Bucket, Counted] : All)
      Counted.decay(Factor);
    std::erase_if(All, [](const auto &Entry) {
      return Entry.second.Requested < MinRequested;
    });
    Counts &Own = All[lengthBucketOf(PromptTokens)];
    Own.Requested += 1;
    Own.Admitted += IsAdmitted ? 1 : 0;
  }
  Class.UpdatedAt = std::max(Class.UpdatedAt, Now);
}

} // namespace cassiashed::balancing
