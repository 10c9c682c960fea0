#include "cassiashed/scheduling/wait_queue.h"

#include "cassiashed/base/invariant.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cassiashed::scheduling {

void WaitQueue::add(Waiter NewWaiter) {
  CASSIASHED_INVARIANT(Waiters_.empty() ||
                           Waiters_.back().Since <= NewWaiter.Since,
                       "waiters are kept in order of arrival");
  ++Count_[static_cast<std::size_t>(NewWaiter.Class)];
  Tokens_[static_cast<std::size_t>(NewWaiter.Class)] += NewWaiter.Tokens;
  NewWaiter.Use->Queued += NewWaiter.Tokens;
  Waiters_.push_back(std::move(NewWaiter));
}

Waiter WaitQueue::take(std::size_t Index) {
  Waiter Taken = std::move(Waiters_[Index]);
  Waiters_.erase(Waiters_.begin() + static_cast<std::ptrdiff_t>(Index));
  --Count_[static_cast<std::size_t>(Taken.Class)];
  Tokens_[static_cast<std::size_t>(Taken.Class)] -= Taken.Tokens;
  CASSIASHED_INVARIANT(Taken.Use->Queued >= Taken.Tokens,
                       "waiting tokens of a workspace are the sum of its "
                       "waiters");
  Taken.Use->Queued -= Taken.Tokens;
  return Taken;
}

std::optional<std::size_t> WaitQueue::find(std::uint64_t Key) const {
  for (std::size_t Index = 0; Index < Waiters_.size(); ++Index)
    if (Waiters_[Index].Key == Key)
      return Index;
  return std::nullopt;
}

std::uint64_t WaitQueue::tokensUpTo(LengthClass Class) const {
  std::uint64_t Sum = 0;
  for (int Index = 0; Index <= static_cast<int>(Class); ++Index)
    Sum += Tokens_[static_cast<std::size_t>(Index)];
  return Sum;
}

int WaitQueue::effectiveClass(const Waiter &Candidate, TimePoint Now) const {
  const auto Steps = (Now - Candidate.Since) / Options_.PromoteAfter;
  return std::max(
      0, static_cast<int>(Candidate.Class) -
             static_cast<int>(std::min<std::int64_t>(Steps, LengthClassCount)));
}

std::optional<std::size_t>
WaitQueue::oldestOverdue(TimePoint Now, const Condition &CanFit) const {
  for (std::size_t Index = 0;
       Index < Waiters_.size() && overdue(Waiters_[Index], Now); ++Index)
    if (CanFit(Waiters_[Index]))
      return Index;
  return std::nullopt;
}

std::optional<std::size_t>
WaitQueue::next(TimePoint Now,
                const std::function<bool(std::size_t)> &Fits) const {
  std::optional<std::size_t> Best;
  std::pair<int, double> BestRank;
  for (std::size_t Index = 0; Index < Waiters_.size(); ++Index) {
    const Waiter &Candidate = Waiters_[Index];
    const std::pair<int, double> Rank{effectiveClass(Candidate, Now),
                                      Candidate.Use->weightedUse()};
    // Equal ranks keep the order of arrival.
    if ((Best && Rank >= BestRank) || !Fits(Index))
      continue;
    Best = Index;
    BestRank = Rank;
  }
  return Best;
}

std::size_t WaitQueue::mostDemanding(double Scale) const {
  CASSIASHED_INVARIANT(!Waiters_.empty(), "an empty queue has no waiter");
  std::size_t Highest = 0;
  for (std::size_t Index = 1; Index < Waiters_.size(); ++Index)
    if (Waiters_[Index].Use->demand(Scale) >=
        Waiters_[Highest].Use->demand(Scale))
      Highest = Index;
  return Highest;
}

bool WaitQueue::exceedsAnotherDemand(std::size_t Index, double Scale) const {
  const double Demand = Waiters_[Index].Use->demand(Scale);
  return std::any_of(Waiters_.begin(), Waiters_.end(),
                     [Demand, Scale](const Waiter &Other) {
                       return Other.Use->demand(Scale) < Demand;
                     });
}

} // namespace cassiashed::scheduling
