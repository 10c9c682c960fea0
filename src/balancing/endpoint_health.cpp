#include "cassiashed/balancing/endpoint_health.h"

#include <algorithm>
#include <cmath>

namespace cassiashed::balancing {
namespace {

constexpr double MaxSuspicion = 4;
/// Fraction of the suspicion that remains after an answer.
constexpr double FractionAfterAnswer = 0.8;

} // namespace

double EndpointHealth::decayedSuspicion(const Record &Entry,
                                        TimePoint Now) const {
  const double HalfLives =
      std::chrono::duration<double>(Now - Entry.UpdatedAt).count() /
      std::chrono::duration<double>(Options_.HalfLife).count();
  return Entry.Suspicion * std::exp2(-std::max(0.0, HalfLives));
}

void EndpointHealth::recordOutcome(std::uint32_t Number,
                                   EndpointOutcome Outcome, TimePoint Now) {
  Record &Entry = Records_[Number];
  Entry.Suspicion = decayedSuspicion(Entry, Now);
  Entry.UpdatedAt = Now;
  switch (Outcome) {
  case EndpointOutcome::Answered:
    Entry.Suspicion *= FractionAfterAnswer;
    return;
  case EndpointOutcome::ServerError:
  case EndpointOutcome::Broken:
    Entry.Suspicion += Options_.FailureWeight;
    break;
  case EndpointOutcome::Refused:
    Entry.Suspicion += Options_.RefusalWeight;
    break;
  case EndpointOutcome::ReportedUnresponsive:
    Entry.Suspicion += Options_.ReportWeight;
    break;
  case EndpointOutcome::Unresponsive:
    Entry.Suspicion += Options_.UnresponsiveWeight;
    break;
  case EndpointOutcome::Unreachable:
    Entry.Suspicion += Options_.UnresponsiveWeight;
    Entry.BackoffUntil = Now + Options_.UnreachableBackoff;
    break;
  }
  Entry.Suspicion = std::min(Entry.Suspicion, MaxSuspicion);
}

double EndpointHealth::idleSuspicion(TimePoint ExpectedBy,
                                     TimePoint Now) const {
  const std::chrono::duration<double> IdleTime = Now - ExpectedBy;
  return Options_.SuspicionPerIdleSecond * std::max(0.0, IdleTime.count());
}

void EndpointHealth::recordSent(std::uint32_t Number, std::uint64_t RequestId,
                                Duration Expected, Duration MaxWait,
                                TimePoint Now) {
  Record &Entry = Records_[Number];
  std::erase_if(Entry.PendingAnswers, [Now](const auto &Pending) {
    return Pending.second.AbandonedAt <= Now;
  });
  Entry.PendingAnswers.insert(
      {RequestId, {Now + Expected + Options_.IdleLimit, Now + MaxWait}});
}

void EndpointHealth::recordBytesReceived(std::uint32_t Number,
                                         bool HasMorePending, TimePoint Now) {
  for (auto &[RequestId, Pending] : Records_[Number].PendingAnswers)
    Pending.ExpectedBy =
        HasMorePending ? Now + Options_.IdleLimit : TimePoint::max();
}

void EndpointHealth::recordEnd(std::uint32_t Number, std::uint64_t RequestId,
                               TimePoint Now) {
  const auto Found = Records_.find(Number);
  if (Found == Records_.end())
    return;
  Record &Entry = Found->second;
  const auto Answer = Entry.PendingAnswers.find(RequestId);
  if (Answer == Entry.PendingAnswers.end())
    return;
  Entry.Suspicion =
      std::min(MaxSuspicion, decayedSuspicion(Entry, Now) +
                                 idleSuspicion(Answer->second.ExpectedBy, Now));
  Entry.UpdatedAt = Now;
  Entry.PendingAnswers.erase(Answer);
}

double EndpointHealth::suspicion(std::uint32_t Number, TimePoint Now) const {
  const auto Found = Records_.find(Number);
  if (Found == Records_.end())
    return 0;
  TimePoint ExpectedBy = TimePoint::max();
  for (const auto &[RequestId, Pending] : Found->second.PendingAnswers)
    if (Pending.AbandonedAt > Now)
      ExpectedBy = std::min(ExpectedBy, Pending.ExpectedBy);
  return std::min(MaxSuspicion, decayedSuspicion(Found->second, Now) +
                                    idleSuspicion(ExpectedBy, Now));
}

bool EndpointHealth::isInBackoff(std::uint32_t Number, TimePoint Now) const {
  const auto Found = Records_.find(Number);
  return Found != Records_.end() && Found->second.BackoffUntil > Now;
}

} // namespace cassiashed::balancing
