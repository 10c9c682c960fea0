#pragma once

#include "cassiashed/transport/peer_transport.h"
#include "http/asio.h"
#include "node/membership_state.h"
#include <functional>
#include <memory>
#include <string>

namespace cassiashed {

/// Called once for each member that is found dead or has restarted.
using MemberLost = std::function<void(const std::string &Node)>;

/// Exchanges gossip with other nodes.
class GossipService {
public:
  virtual ~GossipService() = default;
  virtual void start() = 0;
  virtual Message answer(const ReceivedMessage &Received) = 0;
  /// Peer address of a member; empty if it is not known.
  virtual std::string addressOf(const std::string &Node) const = 0;
  /// Whether this incarnation of a node is known to have ended. Unlike
  /// `mayBeRunning` it says no about a node that was never heard of.
  virtual bool isKnownLost(const std::string &Node,
                           std::uint64_t Incarnation) const = 0;
  /// Whether this incarnation of a node may still be running.
  virtual bool mayBeRunning(const std::string &Node,
                            std::uint64_t Incarnation) const = 0;
};

std::shared_ptr<GossipService>
makeGossipService(http::asio::io_context &Context, MembershipState &State,
                  PeerTransport &Peers, MemberLost Lost);

} // namespace cassiashed
