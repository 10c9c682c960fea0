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

/// What arrives from other nodes.
struct NodeNetworkEvents {
  std::function<void(const balancing::Assignment &)> WorkStarted;
  std::function<void(std::uint64_t Id)> FirstToken;
  std::function<void(std::uint64_t Id)> WorkFinished;
  std::function<void(const CrashReport &)> Crash;
  std::function<void(const std::string &EndpointId)> EndpointSilent;
  std::function<void(const EndpointOutcomeReport &)> Outcome;
  /// A node asks where a request should run.
  std::function<void(const PlacementQuestion &, const std::string &Host,
                     std::uint32_t Origin)>
      Question;
  std::function<void(PlacementAnswer)> Answer;
  /// A node was replaced or fell silent; its work ended or goes unreported.
  std::function<void(std::uint32_t Origin)> NodeLost;
  /// Rows of the endpoints' table that a node read from the store.
  std::function<void(RowBatch)> EndpointRows;
  /// Rows of the endpoints' table newer than a version.
  std::function<RowBatch(std::uint64_t After)> EndpointRowsAfter;
  /// Age of this node's copy of the operator's table; nothing if unknown.
  std::function<std::optional<Duration>()> OperatorAge;
  /// A node that holds no newer row of the operator's table says how old its
  /// copy was after `AskedAt`.
  std::function<void(BootTime AskedAt, Duration Age)> OperatorConfirmed;
  /// How complete this node's copies are of the tables that it follows.
  std::function<std::vector<CoverageReport>()> OwnClaims;
  /// How complete another node's copy is.
  std::function<void(const CoverageReport &, const http::Address &Peer)> Claim;
  /// A node holds rows that this one has not seen yet.
  std::function<void(catalog::Table, http::Address Peer)> NewerRows;
};

/// Datagrams between the gateways of a deployment. In a small fleet every node
/// tells all others what it does. In a large one it tells the best-ranked
/// nodes, which place requests for all, and a node's messages do not grow with
/// the number of nodes.
class NodeNetwork {
public:
  virtual ~NodeNetwork() = default;

  /// A node named in the nodes' table.
  virtual void addNode(const std::string &Name, const std::string &Host,
                       double CpuShare) = 0;
  virtual void removeNode(const std::string &Name) = 0;
  /// Newest rows up to which this node misses none; sent with every message.
  virtual void setRowVersions(std::uint64_t OperatorRow,
                              std::uint64_t EndpointRow) = 0;
  /// Whether some nodes have roles for all: they follow tables at the store
  /// and place requests. So in a large fleet.
  virtual bool hasRoles() const = 0;
  /// Whether this node should follow tables at the store: too few nodes that
  /// come before it say that they do.
  virtual bool shouldFollow() const = 0;
  /// How many better-ranked nodes say that they follow tables.
  virtual int betterRankedFollowers() const = 0;
  /// Tells the other nodes whether this one follows tables.
  virtual void setFollowing(bool Following) = 0;
  virtual bool isFollowing() const = 0;
  /// Asks some nodes how current their copy of the operator's table is, those
  /// that follow tables first.
  virtual void askOperatorAge() = 0;

  /// Addresses of the nodes to ask for a placement, best first; this node's
  /// own address may be one of them.
  virtual std::vector<std::string> placers() const = 0;
  /// Nodes that may place requests on endpoints with a limited rate; this node
  /// is one of them if `mayPlaceOnCold`. Known from the nodes' table, not from
  /// who is heard, so the sum over all of them is bounded in every split.
  virtual int coldPlacerCount() const = 0;
  virtual bool mayPlaceOnCold() const = 0;
  virtual const std::string &ownHost() const = 0;
  virtual void ask(const std::string &Host,
                   const PlacementQuestion &Question) = 0;
  virtual void answer(const std::string &Host,
                      const PlacementAnswer &Answer) = 0;
  /// The placer did not answer in time.
  virtual void notePlacerSilent(const std::string &Host) = 0;

  /// `Requester`: address of the node that sends the request, if it is not
  /// this one.
  virtual void announceStart(const balancing::Assignment &Work,
                             const std::string &Requester) = 0;
  virtual void announceFirstToken(std::uint64_t Id) = 0;
  virtual void announceFinish(std::uint64_t Id) = 0;
  virtual void announceCrash(const CrashReport &Note) = 0;
  virtual void announceUnresponsive(const std::string &EndpointId) = 0;
  /// Only placers hear of it; nodes of a small fleet judge for themselves.
  virtual void announceOutcome(const std::string &EndpointId,
                               balancing::EndpointOutcome Outcome) = 0;
  virtual void announceEndpointRows(const RowBatch &Batch) = 0;

  /// Nodes that may be running, this one included: known by name or heard.
  virtual int possibleNodes() const = 0;
  /// Nodes heard lately, this one included.
  virtual int liveNodes() const = 0;
  /// Messages since the start that the system did not take.
  virtual std::uint64_t unsentMessages() const = 0;
};

/// Returns null and sets `Reason` if the address cannot be used.
std::unique_ptr<NodeNetwork> startNodeNetwork(boost::asio::io_context &Context,
                                              NodeNetworkOptions Options,
                                              NodeNetworkEvents Events,
                                              std::string &Reason);

} // namespace cassiashed::gateway
