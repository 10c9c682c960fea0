#pragma once

#include "cassiashed/balancing/placer_ranking.h"
#include "cassiashed/base/clock.h"
#include "cassiashed/catalog/table_replica.h"
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cassiashed::gateway {

using Udp = boost::asio::ip::udp;

/// What this node knows about another one.
struct Peer {
  std::string Host; ///< IP address
  std::string Name; ///< empty for a seed that has sent no message yet
  Udp::endpoint UdpAddress;
  std::uint64_t Incarnation = 0;
  std::uint32_t Origin = 0; ///< identifies the node within this process
  bool HasSentMessage = false;
  bool Lost = false;
  bool Following = false; ///< follows tables at the store and forwards changes
  bool KnowsFleetLoad = false; ///< has run long enough to place requests
  balancing::NodeRank Rank;
  catalog::StoreVersion LastOperatorChange; ///< see NodeMessage
  catalog::StoreVersion LastEndpointChange;
  TimePoint LastMessageAt;
  TimePoint SuspectUntil;
};

/// The other nodes of a deployment. In a large fleet the best-ranked ones have
/// roles: they follow tables at the store and place requests for all. Nodes
/// that know the same peers compute the same ranking, without coordination.
class PeerTable {
public:
  PeerTable(std::string OwnHost, balancing::NodeRank OwnRank)
      : OwnHost_(std::move(OwnHost)), OwnRank_(OwnRank) {}

  /// Returns the node at an IP address; null for the own address and for one
  /// that cannot be parsed.
  Peer *findOrAdd(const std::string &Host, unsigned short Port);
  Peer *find(const std::string &Host);
  void remove(const std::string &Name);
  std::map<std::string, Peer> &all() { return Peers_; }
  const std::map<std::string, Peer> &all() const { return Peers_; }

  /// Nodes that may be running, this one included.
  int possibleCount() const { return static_cast<int>(Peers_.size()) + 1; }
  int liveCount(TimePoint Now) const;
  static bool isLive(const Peer &Node, TimePoint Now);

  /// Whether some nodes have roles for all. In a small fleet none has: each
  /// node follows the operator's table and gets reports of all requests.
  bool hasRoles() const;
  /// Number of better-ranked nodes that report that they follow tables.
  int betterRankedFollowers(TimePoint Now) const;
  /// Whether this node is among the `Count` best-ranked ones, live or not.
  bool isAmongBestRanked(std::size_t Count) const;
  /// The `Count` best-ranked peers, live or not.
  std::vector<const Peer *> bestRanked(std::size_t Count) const;
  /// Addresses of the nodes to query for placements, best first; this node's
  /// own address may be one of them. `OwnKnowsFleetLoad`: whether this node has
  /// run long enough to place requests.
  std::vector<std::string> placers(std::size_t Count, bool OwnKnowsFleetLoad,
                                   TimePoint Now) const;

private:
  std::string OwnHost_;
  balancing::NodeRank OwnRank_;
  std::map<std::string, Peer> Peers_; ///< by IP address
  std::uint32_t NextOrigin_ = 1;
};

} // namespace cassiashed::gateway
