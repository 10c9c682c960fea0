#include "gateway/send_pacer.h"

#include <doctest/doctest.h>

using namespace cassiashed;
using namespace cassiashed::gateway;

namespace {

/// Link whose queue drops messages that do not fit.
class Link {
public:
  Link(double BytesPerSecond, double QueueBytes)
      : BytesPerSecond_(BytesPerSecond), QueueBytes_(QueueBytes) {}

  /// Returns false if the message is dropped.
  bool enqueue(std::size_t Bytes, TimePoint Now) {
    const double Seconds =
        std::chrono::duration<double>(Now - UpdatedAt_).count();
    Queued_ = std::max(0.0, Queued_ - Seconds * BytesPerSecond_);
    UpdatedAt_ = Now;
    if (Queued_ + static_cast<double>(Bytes) > QueueBytes_)
      return false;
    Queued_ += static_cast<double>(Bytes);
    return true;
  }

private:
  double BytesPerSecond_;
  double QueueBytes_;
  double Queued_ = 0;
  TimePoint UpdatedAt_;
};

} // namespace

// Guards against a lost removal of eight endpoints: without pacing, the link
// drops the messages to the last of many nodes.
TEST_CASE("rows for all nodes of a large fleet fit the queue of a slow link") {
  constexpr int Nodes = 360;
  constexpr std::size_t MessageBytes = 1200;
  const std::chrono::milliseconds Step{5};
  SendPacer Pacer;
  Link Slow(2'500'000, 128 * 1024);
  TimePoint Now{std::chrono::hours(1)};
  const auto Bytes =
      std::make_shared<const std::string>(std::string(MessageBytes, 'x'));
  for (int Message = 0; Message < 2; ++Message)
    for (unsigned short Node = 1; Node <= Nodes; ++Node)
      Pacer.add(Bytes, {boost::asio::ip::address_v4::loopback(), Node});
  const TimePoint Begin = Now;
  int Sent = 0;
  int Lost = 0;
  while (!Pacer.empty()) {
    for (const PacedMessage &Due : Pacer.takeDue(Now)) {
      ++Sent;
      if (!Slow.enqueue(Due.Bytes->size() + 42, Now))
        ++Lost;
    }
    Now += Step;
  }
  CHECK(Sent == 2 * Nodes);
  CHECK(Lost == 0);
  // Well within the bound on how fast nodes learn of removed endpoints.
  CHECK(Now - Begin < std::chrono::milliseconds(1000));
}

TEST_CASE("few messages are sent at once") {
  SendPacer Pacer;
  const TimePoint Now{std::chrono::hours(1)};
  for (unsigned short Node = 1; Node <= 80; ++Node)
    Pacer.add(std::make_shared<const std::string>(std::string(200, 'x')),
              {boost::asio::ip::address_v4::loopback(), Node});
  CHECK(Pacer.takeDue(Now).size() == 80);
  CHECK(Pacer.empty());
}
