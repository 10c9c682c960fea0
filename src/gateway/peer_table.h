#pragma once

#include "cassiashed/balancing/placer_ranking.h"
#include "cassiashed/base/clock.h"
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cassiashed::gateway {

using Udp = boost::asio::ip::udp;

/// Another node, as far as this one knows it.
struct Peer {
  std::string Host; ///< IP address
  std::string Name; ///< empty for a seed that was not heard yet
  Udp::endpoint Where;
  std::uint64_t Incarnation = 0;
  std::uint32_t Origin = 0; ///< number of the node in this process
  bool WasHeard = false;
  bool Lost = false;
  bool Following = false; ///< follows tables at the store and passes news on
  bool KnowsFleetLoad = false; ///< has run long enough to place requests
  balancing::NodeRank Rank;
  std::uint64_t OperatorRow = 0; ///< newest rows that it holds
  std::uint64_t EndpointRow = 0;
  TimePoint LastHeard;
  TimePoint SuspectUntil;
};

/// The nodes of a deployment and the roles that some of them have. All nodes
/// compute the same order from what they know. Time is an argument.
class PeerTable {
public:
  PeerTable(std::string OwnHost, balancing::NodeRank OwnRank)
      : OwnHost_(std::move(OwnHost)), OwnRank_(OwnRank) {}

  /// The node at an IP address; made if it is new. Null for the own address
  /// and for one that cannot be parsed.
  Peer *at(const std::string &Host, unsigned short Port);
  Peer *find(const std::string &Host);
  void remove(const std::string &Name);
  std::map<std::string, Peer> &all() { return Peers_; }
  const std::map<std::string, Peer> &all() const { return Peers_; }

  /// Nodes that may be running, this one included.
  int possibleCount() const { return static_cast<int>(Peers_.size()) + 1; }
  int liveCount(TimePoint Now) const;
  static bool isLive(const Peer &Entry, TimePoint Now);

  /// Whether some nodes have roles for the others: in a small fleet each node
  /// follows the operator's table and hears of all work.
  bool hasRoles() const;
  /// Nodes that come before this one and say that they follow tables.
  int betterRankedFollowers(TimePoint Now) const;
  /// Whether this node is among the `Count` best-ranked ones, live or not.
  bool isAmongBest(std::size_t Count) const;
  /// The `Count` best-ranked peers, live or not.
  std::vector<const Peer *> best(std::size_t Count) const;
  /// Addresses of the nodes to ask where a request should run, best first;
  /// this node's own address may be one of them. `OwnKnowsWork`: whether this
  /// node has run long enough.
  std::vector<std::string> placers(std::size_t Count, bool OwnKnowsWork,
                                   TimePoint Now) const;

private:
  std::string OwnHost_;
  balancing::NodeRank OwnRank_;
  std::map<std::string, Peer> Peers_; ///< by IP address
  std::uint32_t NextOrigin_ = 1;
};

} // namespace cassiashed::gateway
