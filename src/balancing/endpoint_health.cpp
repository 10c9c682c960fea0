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

double EndpointHealth::quietDoubt(TimePoint HeardBy, TimePoint Now) const {
  const std::chrono::duration<double> Silence = Now - HeardBy;
  return Options_.QuietWeight * std::max(0.0, Silence.count());
}

void EndpointHealth::recordSent(std::uint32_t Number, std::uint64_t Work,
                                Duration Expected, Duration Longest,
                                TimePoint Now) {
  Record &Entry = Records_[Number];
  std::erase_if(Entry.Answers,
                [Now](const auto &Each) { return Each.second.GoneBy <= Now; });
  Entry.Answers.insert(
      {Work, {Now + Expected + Options_.QuietLimit, Now + Longest}});
}

void EndpointHealth::recordBytesReceived(std::uint32_t Number, bool OwesMore,
                                         TimePoint Now) {
  for (auto &[Work, Each] : Records_[Number].Answers)
    Each.HeardBy = OwesMore ? Now + Options_.QuietLimit : TimePoint::max();
}

void EndpointHealth::recordEnd(std::uint32_t Number, std::uint64_t Work,
                               TimePoint Now) {
  const auto Found = Records_.find(Number);
  if (Found == Records_.end())
    return;
  Record &Entry = Found->second;
  const auto Answer = Entry.Answers.find(Work);
  if (Answer == Entry.Answers.end())
    return;
  Entry.Doubt = std::min(MaxDoubt, decayed(Entry, Now) +
                                       quietDoubt(Answer->second.HeardBy, Now));
  Entry.At = Now;
  Entry.Answers.erase(Answer);
}

double EndpointHealth::suspicion(std::uint32_t Number, TimePoint Now) const {
  const auto Found = Records_.find(Number);
  if (Found == Records_.end())
    return 0;
  TimePoint HeardBy = TimePoint::max();
  for (const auto &[Work, Each] : Found->second.Answers)
    if (Each.GoneBy > Now)
      HeardBy = std::min(HeardBy, Each.HeardBy);
  return std::min(MaxDoubt,
                  decayed(Found->second, Now) + quietDoubt(HeardBy, Now));
}

bool EndpointHealth::isInBackoff(std::uint32_t Number, TimePoint Now) const {
  const auto Found = Records_.find(Number);
  return Found != Records_.end() && Found->second.PausedUntil > Now;
}

} // namespace cassiashed::balancing
