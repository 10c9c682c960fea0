#pragma once

#include "cassiashed/base/clock.h"
#include <boost/asio/ip/udp.hpp>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace cassiashed::gateway {

struct SendPacerOptions {
  double BytesPerSecond = 1'250'000; ///< half of a link of 20 Mbit/s
  /// Bytes that may go at once; links queue little more than 100 KB.
  std::size_t BurstBytes = 32 * 1024;
};

/// One message and a node that it goes to.
struct PacedMessage {
  std::shared_ptr<const std::string> Bytes;
  boost::asio::ip::udp::endpoint Where;
};

/// Spreads messages to many nodes over time. A burst that exceeds the queue of
/// the sender's link loses its end, and so do the bursts of other nodes that
/// send the same. Load: a change of many rows, told to hundreds of nodes.
///
/// ```cpp
/// Pacer.add(Bytes, Each.Where);
/// for (const PacedMessage &Each : Pacer.takeDue(Now))
///   send(*Each.Bytes, Each.Where);
/// ```
class SendPacer {
public:
  explicit SendPacer(SendPacerOptions Options = {}) : Options_(Options) {}

  void add(std::shared_ptr<const std::string> Bytes,
           const boost::asio::ip::udp::endpoint &Where) {
    Waiting_.push_back({std::move(Bytes), Where});
  }
  /// The messages that may go now, in the order in which they were added.
  std::vector<PacedMessage> takeDue(TimePoint Now);
  bool empty() const { return Waiting_.empty(); }

private:
  SendPacerOptions Options_;
  std::deque<PacedMessage> Waiting_;
  TimePoint FilledAt_;
  double Allowed_ = 0; ///< bytes; below zero after a large message
};

} // namespace cassiashed::gateway
