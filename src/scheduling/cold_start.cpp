#include "cassiashed/scheduling/cold_start.h"

#include <algorithm>
#include <limits>

namespace cassiashed::scheduling {

std::uint64_t ColdStart::limit() const {
  if (Warm_)
    return std::numeric_limits<std::uint64_t>::max();
  const std::uint64_t Base = Options_.ColdRequests;
  const std::uint64_t LinearAnswers =
      Options_.LinearUpTo > Base ? Options_.LinearUpTo - Base : 0;
  if (Completed_ <= LinearAnswers)
    return Base + Completed_;
  const std::uint64_t Period = std::max(1U, Options_.LinearUpTo);
  // 2^20 times the linear limit is beyond any endpoint's concurrency.
  const std::uint64_t Doublings =
      std::min<std::uint64_t>((Completed_ - LinearAnswers) / Period, 20);
  return (Base + LinearAnswers) << Doublings;
}

bool ColdStart::allows(std::uint64_t Own, std::uint64_t Foreign,
                       Share NodeShare) const {
  if (Warm_)
    return true;
  const std::uint64_t Limit = limit();
  return Foreign < Limit && Own < shareOf(Limit - Foreign, NodeShare);
}

} // namespace cassiashed::scheduling
