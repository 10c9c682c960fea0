#pragma once

#include "cassiashed/balancing/fleet_load.h"
#include "cassiashed/base/boot_clock.h"
#include "cassiashed/catalog/row_mirror.h"
#include "gateway/node_messages.h"
#include "http/message.h"
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace cassiashed::gateway {

struct NodeNetworkOptions {
  std::string Name;
  std::uint64_t Incarnation = 0; ///< random, of this process
  http::Address Internal;        ///< own address, UDP and TCP
  std::vector<std::string> SeedHosts;
};

/// What arrives from other nodes.
struct NodeNetworkEvents {
  std::function<void(const balancing::Assignment &)> WorkStarted;
  std::function<void(std::uint64_t Id)> FirstToken;
  std::function<void(std::uint64_t Id)> WorkFinished;
  std::function<void(const CrashNote &)> Crash;
  std::function<void(const std::string &EndpointId)> EndpointSilent;
  /// A node was replaced or fell silent; its work ended or goes unreported.
  std::function<void(std::uint32_t Origin)> NodeLost;
  /// Rows of the endpoints' table that a node read from the store.
  std::function<void(std::vector<catalog::Row>)> EndpointRows;
  /// Age of this node's copy of the operator's table; nothing if unknown.
  std::function<std::optional<Duration>()> OperatorAge;
  /// A node that holds no newer row of the operator's table says how old its
  /// copy was after `AskedAt`.
  std::function<void(BootTime AskedAt, Duration Age)> OperatorConfirmed;
  /// A node holds rows that this one has not seen yet.
  std::function<void(catalog::Table, http::Address Peer)> NewerRows;
};

/// Datagrams between the gateways of a deployment.
class NodeNetwork {
public:
  virtual ~NodeNetwork() = default;

  /// A node named in the nodes' table.
  virtual void addNode(const std::string &Name, const std::string &Host) = 0;
  virtual void removeNode(const std::string &Name) = 0;
  /// Newest rows that this node holds; sent with every message.
  virtual void setRowVersions(std::uint64_t OperatorRow,
                              std::uint64_t EndpointRow) = 0;
  /// Whether this node should follow the endpoints' table at the store: too
  /// few nodes that come before it say that they do.
  virtual bool shouldFollow() const = 0;
  /// Whether no better-ranked node says that it follows the table.
  virtual bool isFirstFollower() const = 0;
  /// Asks some nodes how current their copy of the operator's table is, those
  /// that follow tables first.
  virtual void askOperatorAge() = 0;
  /// Tells the other nodes whether this one follows the table.
  virtual void setFollowing(bool Following) = 0;

  virtual void announceStart(const balancing::Assignment &Work) = 0;
  virtual void announceFirstToken(std::uint64_t Id) = 0;
  virtual void announceFinish(std::uint64_t Id) = 0;
  virtual void announceCrash(const CrashNote &Note) = 0;
  virtual void announceSilence(const std::string &EndpointId) = 0;
  virtual void announceEndpointRows(const std::vector<catalog::Row> &Rows) = 0;

  /// Nodes that may be running, this one included: known by name or heard.
  virtual int possibleNodes() const = 0;
  /// Nodes heard lately, this one included.
  virtual int liveNodes() const = 0;
};

/// Returns null and sets `Reason` if the address cannot be used.
std::unique_ptr<NodeNetwork> startNodeNetwork(boost::asio::io_context &Context,
                                              NodeNetworkOptions Options,
                                              NodeNetworkEvents Events,
                                              std::string &Reason);

} // namespace cassiashed::gateway
