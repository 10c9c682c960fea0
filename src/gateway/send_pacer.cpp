#include "gateway/send_pacer.h"

#include <algorithm>

namespace cassiashed::gateway {
namespace {

/// Headers of Ethernet, IP and UDP.
constexpr std::size_t HeaderBytes = 42;

} // namespace

std::vector<PacedMessage> SendPacer::takeDue(TimePoint Now) {
  const double Seconds = std::chrono::duration<double>(Now - FilledAt_).count();
  Allowed_ = std::min(static_cast<double>(Options_.BurstBytes),
                      Allowed_ + Seconds * Options_.BytesPerSecond);
  FilledAt_ = Now;
  std::vector<PacedMessage> Due;
  while (!Waiting_.empty() && Allowed_ > 0) {
    Allowed_ -=
        static_cast<double>(Waiting_.front().Bytes->size() + HeaderBytes);
    Due.push_back(std::move(Waiting_.front()));
    Waiting_.pop_front();
  }
  return Due;
}

} // namespace cassiashed::gateway
