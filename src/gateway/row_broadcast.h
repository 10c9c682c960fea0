#pragma once

#include "gateway/node_messages.h"
#include "gateway/send_pacer.h"
#include "http/asio.h"
#include <functional>
#include <optional>

namespace cassiashed::gateway {

/// What a broadcast uses of the node network.
struct RowBroadcastHooks {
  std::function<NodeMessage()> MakeMessage;
  /// Returns the addresses of all nodes, in sending order.
  std::function<std::vector<boost::asio::ip::udp::endpoint>()> Targets;
  std::function<void(const std::string &Bytes,
                     const boost::asio::ip::udp::endpoint &Target)>
      Send;
  /// Returns rows of the endpoints' table newer than a version.
  std::function<RowBatch(std::uint64_t After)> RowsAfter;
};

/// Sends changes of the endpoints' table to all nodes, in messages that fit one
/// Ethernet frame, paced to a fraction of the own link. Changes that arrive
/// while others are being sent are combined and sent after them.
class RowBroadcast {
public:
  RowBroadcast(boost::asio::io_context &Context, double LinkMbps,
               RowBroadcastHooks Hooks);

  void announce(const RowBatch &Batch);

private:
  void enqueue(const NodeMessage &Message);
  void sendDue();
  void announcePending();

  RowBroadcastHooks Hooks_;
  SendPacer Pacer_;
  boost::asio::steady_timer Timer_;
  /// Rows after this version are sent when the pacer's queue is empty.
  std::optional<std::uint64_t> PendingAfter_;
  std::uint64_t PendingEra_ = 0; ///< of that version
};

} // namespace cassiashed::gateway
