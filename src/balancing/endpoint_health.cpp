#include "cassiashed/balancing/endpoint_health.h"

#include <algorithm>
#include <cmath>

namespace cassiashed::balancing {
namespace {

constexpr double MaxDoubt = 4;
/// Part of the doubt that remains after an answer.
constexpr double AfterAnswer = 0.8;

} // namespace

double EndpointHealth::decayed(const Record &Entry, TimePoint Now) const {
  const double HalfLives =
      std::chrono::duration<double>(Now - Entry.At).count() /
      std::chrono::duration<double>(Options_.HalfLife).count();
  return Entry.Doubt * std::exp2(-std::max(0.0, HalfLives));
}

void EndpointHealth::note(std::uint32_t Number, EndpointOutcome Outcome,
                          TimePoint Now) {
  Record &Entry = Records_[Number];
  Entry.Doubt = decayed(Entry, Now);
  Entry.At = Now;
  switch (Outcome) {
  case EndpointOutcome::Answered:
    Entry.Doubt *= AfterAnswer;
    return;
  case EndpointOutcome::FailedAnswer:
  case EndpointOutcome::Broken:
    Entry.Doubt += Options_.FailureWeight;
    break;
  case EndpointOutcome::Refused:
    Entry.Doubt += Options_.RefusalWeight;
    break;
  case EndpointOutcome::ReportedSilent:
    Entry.Doubt += Options_.ReportWeight;
    break;
  case EndpointOutcome::Silent:
    Entry.Doubt += Options_.SilenceWeight;
    break;
  case EndpointOutcome::Unreachable:
    Entry.Doubt += Options_.SilenceWeight;
    Entry.PausedUntil = Now + Options_.UnreachablePause;
    break;
  }
  Entry.Doubt = std::min(Entry.Doubt, MaxDoubt);
}

void EndpointHealth::noteSent(std::uint32_t Number, Duration Expected,
                              TimePoint Now) {
  Record &Entry = Records_[Number];
  if (Entry.HeardBy == TimePoint::max())
    Entry.HeardBy = Now + Expected + Options_.QuietLimit;
}

void EndpointHealth::noteHeard(std::uint32_t Number, bool OwesMore,
                               TimePoint Now) {
  Record &Entry = Records_[Number];
  Entry.HeardBy = OwesMore ? Now + Options_.QuietLimit : TimePoint::max();
}

double EndpointHealth::doubt(std::uint32_t Number, TimePoint Now) const {
  const auto Found = Records_.find(Number);
  if (Found == Records_.end())
    return 0;
  double Result = decayed(Found->second, Now);
  if (Found->second.HeardBy < Now)
    Result +=
        Options_.QuietWeight *
        std::chrono::duration<double>(Now - Found->second.HeardBy).count();
  return std::min(Result, MaxDoubt);
}

bool EndpointHealth::isPaused(std::uint32_t Number, TimePoint Now) const {
  const auto Found = Records_.find(Number);
  return Found != Records_.end() && Found->second.PausedUntil > Now;
}

} // namespace cassiashed::balancing
