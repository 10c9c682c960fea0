#include "gateway/send_pacer.h"

#include <algorithm>

namespace cassiashed::gateway {
namespace {

/// Headers of Ethernet, IP and UDP.
constexpr std::size_t HeaderBytes = 42;

} // namespace

std::vector<PacedMessage> SendPacer::takeDue(TimePoint Now) {
  const double Seconds =
      std::chrono::duration<double>(Now - RefilledAt_).count();
  AvailableBytes_ =
      std::min(static_cast<double>(Options_.BurstBytes),
               AvailableBytes_ + Seconds * Options_.BytesPerSecond);
  RefilledAt_ = Now;
  std::vector<PacedMessage> Due;
  while (!Queue_.empty() && AvailableBytes_ > 0) {
    AvailableBytes_ -=
        static_cast<double>(Queue_.front().Bytes->size() + HeaderBytes);
    Due.push_back(std::move(Queue_.front()));
    Queue_.pop_front();
  }
  return Due;
}

} // namespace cassiashed::gateway
