#pragma once

#include "cassiashed/balancing/endpoint_health.h"
#include "cassiashed/balancing/fleet_load.h"
#include "cassiashed/base/boot_clock.h"
#include "cassiashed/catalog/table_replica.h"
#include "gateway/node_messages.h"
#include "gateway/row_messages.h"
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
  double CpuShare = 0;           ///< cores that this process may use
  double LinkMbps = 20;          ///< of this host's own link
  std::vector<std::string> SeedHosts;
};

/// Callbacks for messages of other nodes, and for data that is sent to them. A
/// request is identified by the id of its assignment.
struct NodeNetworkEvents {
  std::function<void(const balancing::Assignment &)> RequestStarted;
  /// The endpoints of a request have produced the first token.
  std::function<void(std::uint64_t Id)> FirstToken;
  std::function<void(std::uint64_t Id)> RequestFinished;
  std::function<void(const CrashReport &)> Crash;
  std::function<void(const std::string &EndpointId)> EndpointUnresponsive;
  std::function<void(const EndpointOutcomeReport &)> Outcome;
  /// A node queries this one as a placer.
  std::function<void(const PlacementQuery &, const std::string &Host,
                     std::uint32_t Origin)>
      Query;
  /// A placer replied to a query of this node.
  std::function<void(PlacementReply)> Reply;
  /// A node restarted or stopped sending messages; the ends of its requests
  /// will not be reported.
  std::function<void(std::uint32_t Origin)> NodeLost;
  /// Rows of the endpoints' table that a node read from the store.
  std::function<void(RowBatch)> EndpointRows;
  /// Returns this node's rows of the endpoints' table newer than a version.
  std::function<RowBatch(std::uint64_t After)> EndpointRowsAfter;
  /// Returns the age of this node's copy of the operator's table; nothing if
  /// unknown.
  std::function<std::optional<Duration>()> OperatorTableAge;
  /// A node that holds no newer row of the operator's table replied to the
  /// query of `QueryAt`: its own copy was `Age` old when it replied.
  std::function<void(BootTime QueryAt, Duration Age)> OperatorTableConfirmed;
  /// Returns how complete this node's copies are of the tables that it follows.
  std::function<std::vector<CoverageReport>()> OwnCoverage;
  /// `Peer` reports how complete its copy of a table is.
  std::function<void(const CoverageReport &, const http::Address &Peer)>
      PeerCoverage;
  /// `Peer` holds rows that this node lacks.
  std::function<void(catalog::Table, http::Address Peer)> NewerRows;
};

/// Datagrams between the gateways of a deployment. In a small fleet every node
/// reports the requests that it sends to all others. In a large one it reports
/// them to the best-ranked nodes, which place requests for all, so the number
/// of its messages does not grow with the fleet.
class NodeNetwork {
public:
  virtual ~NodeNetwork() = default;

  /// Adds a node of the nodes' table, or a seed with an empty name.
  virtual void addNode(const std::string &Name, const std::string &Host,
                       double CpuShare) = 0;
  virtual void removeNode(const std::string &Name) = 0;
  /// Sets the versions of the newest changes of the tables up to which this
  /// node misses none. Every message carries them.
  virtual void setLastChanges(catalog::StoreVersion LastOperatorChange,
                              catalog::StoreVersion LastEndpointChange) = 0;
  /// Whether the fleet is so large that some nodes have roles for all: they
  /// follow tables at the store and place requests.
  virtual bool hasRoles() const = 0;
  /// Whether this node should follow tables at the store: too few better-ranked
  /// nodes report that they do.
  virtual bool shouldFollow() const = 0;
  /// Number of better-ranked nodes that report that they follow tables.
  virtual int betterRankedFollowers() const = 0;
  /// Reports to the other nodes whether this one follows tables.
  virtual void setFollowing(bool Following) = 0;
  virtual bool isFollowing() const = 0;
  /// Asks some nodes for the age of their copy of the operator's table,
  /// preferably one that follows the table.
  virtual void queryOperatorTableAge() = 0;

  /// Addresses of the nodes to query for a placement, best first; this node's
  /// own address may be one of them.
  virtual std::vector<std::string> placers() const = 0;
  /// Number of nodes that may place requests on cold endpoints, whose request
  /// rate is limited; this node is one of them if `canPlaceOnColdEndpoints`.
  /// Based on the nodes' table, not on which nodes are live, so the total rate
  /// stays bounded in every network partition.
  virtual int coldPlacerCount() const = 0;
  virtual bool canPlaceOnColdEndpoints() const = 0;
  virtual const std::string &ownHost() const = 0;
  virtual void sendPlacementQuery(const std::string &Host,
                                  const PlacementQuery &Query) = 0;
  virtual void sendPlacementReply(const std::string &Host,
                                  const PlacementReply &Reply) = 0;
  /// Called when a placer did not reply in time.
  virtual void recordPlacerUnresponsive(const std::string &Host) = 0;

  /// Reports a request that was sent to endpoints. `Requester`: address of the
  /// node that sends the request, if it is not this one.
  virtual void announceStart(const balancing::Assignment &Started,
                             const std::string &Requester) = 0;
  virtual void announceFirstToken(std::uint64_t Id) = 0;
  virtual void announceFinish(std::uint64_t Id) = 0;
  virtual void announceCrash(const CrashReport &Report) = 0;
  virtual void announceUnresponsive(const std::string &EndpointId) = 0;
  /// Sent to placers only; in a small fleet each node relies on its own
  /// attempts.
  virtual void announceOutcome(const std::string &EndpointId,
                               balancing::EndpointOutcome Outcome) = 0;
  virtual void announceEndpointRows(const RowBatch &Batch) = 0;

  /// Number of nodes that may be running, this one included: all that are
  /// known, live or not.
  virtual int possibleNodes() const = 0;
  /// Number of nodes that have sent a message recently, this one included.
  virtual int liveNodes() const = 0;
  /// Number of messages since the start that the operating system rejected.
  virtual std::uint64_t unsentMessages() const = 0;
};

/// Returns null and sets `Reason` if the address cannot be bound.
std::unique_ptr<NodeNetwork> startNodeNetwork(boost::asio::io_context &Context,
                                              NodeNetworkOptions Options,
                                              NodeNetworkEvents Events,
                                              std::string &Reason);

} // namespace cassiashed::gateway
