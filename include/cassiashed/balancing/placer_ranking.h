#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cassiashed::balancing {

/// Key of the order in which nodes become placers, equal at all nodes: larger
/// hosts first, equal ones by a hash of their names.
struct NodeRank {
  double CpuShare = 0; ///< cores that the node may use; 0: not known
  std::uint64_t Hash = 0;
};
bool ranksBefore(const NodeRank &Left, const NodeRank &Right);

struct PlacerCandidate {
  std::string Host;
  NodeRank Rank;
  /// Has run long enough to have received reports of all requests in flight.
  bool KnowsFleetLoad = false;
  /// Recently failed to answer in time.
  bool IsSuspect = false;
};

/// The `Count` nodes to ask for placements, best first. Matters with hundreds
/// of nodes that each send less than one request a second: alone, they know too
/// little of each other's requests to choose engines well. No lease is needed:
/// if two nodes act as the first placer, they report their placements to each
/// other, and every hard limit is divided into fixed shares that need no
/// communication.
std::vector<PlacerCandidate> choosePlacers(std::vector<PlacerCandidate> All,
                                           std::size_t Count);

} // namespace cassiashed::balancing
