#pragma once

#include "gateway/node_messages.h"
#include "gateway/send_pacer.h"
#include "http/asio.h"
#include <functional>
#include <optional>

namespace cassiashed::gateway {

/// What a broadcast needs of the network between the nodes.
struct RowBroadcastHooks {
  std::function<NodeMessage()> MakeMessage;
  /// Addresses of all nodes, in the order in which they are sent to.
  std::function<std::vector<boost::asio::ip::udp::endpoint>()> Targets;
  std::function<void(const std::string &Bytes,
                     const boost::asio::ip::udp::endpoint &Where)>
      Send;
  /// Rows of the endpoints' table newer than a version.
  std::function<RowBatch(std::uint64_t After)> RowsAfter;
};

/// Sends changes of the endpoints' table to all nodes, in messages of one
/// frame, paced to a part of the own link. Changes that come faster than that
/// wait and are sent together.
class RowBroadcast {
public:
  RowBroadcast(boost::asio::io_context &Context, double LinkMbps,
               RowBroadcastHooks Hooks);

  void announce(const RowBatch &Batch);

private:
  void enqueue(const NodeMessage &Message);
  void sendDue();
  void announceWaiting();

  RowBroadcastHooks Hooks_;
  SendPacer Pacer_;
  boost::asio::steady_timer Timer_;
  /// Rows after this version wait until those before them are sent.
  std::optional<std::uint64_t> WaitingAfter_;
};

} // namespace cassiashed::gateway
