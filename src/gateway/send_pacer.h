#pragma once

#include "cassiashed/base/clock.h"
#include <boost/asio/ip/udp.hpp>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace cassiashed::gateway {

struct SendPacerOptions {
  double BytesPerSecond = 1'250'000; ///< half of a 20 Mbit/s link
  /// Bytes that may be sent at once; links queue little more than 100 KB.
  std::size_t BurstBytes = 32 * 1024;
};

/// One message to one node.
struct PacedMessage {
  std::shared_ptr<const std::string> Bytes;
  boost::asio::ip::udp::endpoint Target;
};

/// Token bucket that spreads messages to many nodes over time. It matters when
/// a change of many rows is sent to hundreds of nodes: of a burst that exceeds
/// the queue of the sender's link, the end is dropped, and likewise at other
/// nodes that send the same change.
///
/// ```cpp
/// Pacer.add(Bytes, Target);
/// for (const PacedMessage &Message : Pacer.takeDue(Now))
///   send(*Message.Bytes, Message.Target);
/// ```
class SendPacer {
public:
  explicit SendPacer(SendPacerOptions Options = {}) : Options_(Options) {}

  void add(std::shared_ptr<const std::string> Bytes,
           const boost::asio::ip::udp::endpoint &Target) {
    Queue_.push_back({std::move(Bytes), Target});
  }
  /// Removes and returns the messages that may be sent now, in the order in
  /// which they were added.
  std::vector<PacedMessage> takeDue(TimePoint Now);
  bool empty() const { return Queue_.empty(); }

private:
  SendPacerOptions Options_;
  std::deque<PacedMessage> Queue_;
  TimePoint RefilledAt_;
  double AvailableBytes_ = 0; ///< below zero after a large message
};

} // namespace cassiashed::gateway
