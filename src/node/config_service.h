#pragma once

#include "cassiashed/store/platform_client.h"
#include "cassiashed/transport/peer_transport.h"
#include "http/asio.h"
#include "node/config_table.h"
#include "node/membership_state.h"
#include <boost/asio/thread_pool.hpp>
#include <functional>
#include <memory>

namespace cassiashed {

/// Called after a version or a zone order was put in force.
using ConfigListener =
    std::function<void(const std::shared_ptr<const ConfigInForce> &)>;

/// Finds the peer address of a node; empty if it is not known.
using PeerFinder = std::function<std::string(const std::string &Node)>;

/// Brings the configuration into force, from the table service or from a peer
/// that has a newer version, and lays zone orders over it.
class ConfigService {
public:
  virtual ~ConfigService() = default;
  virtual void start() = 0;
  /// Whether this node can still rely on its version.
  virtual bool isCurrent() const = 0;
  virtual Message answerPull(const ReceivedMessage &Received) const = 0;
};

struct ConfigServiceParts {
  std::string Node; ///< author of versions that contain zone orders
  bool IsWitness;   ///< witnesses commit zone orders after an outage
  http::asio::io_context &Context;
  http::asio::thread_pool &Blocking;
  PlatformClient &Platform;
  PeerTransport &Peers;
  MembershipState &State;
  ConfigTable &Table;
  PeerFinder FindPeer;
  ConfigListener Listener;
};

/// The parts must outlive the service.
std::shared_ptr<ConfigService> makeConfigService(ConfigServiceParts Parts);

} // namespace cassiashed
