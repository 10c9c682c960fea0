#pragma once

#include <cstdint>
#include <string>
#include <vector>

/// Which nodes choose engines for all others in a large fleet.
namespace cassiashed::balancing {

/// Order in which nodes take on work for others. All nodes compute the same
/// one: larger hosts first, equal ones by a hash of their names.
struct NodeRank {
  double CpuShare = 0; ///< of a core; 0: not known yet
  std::uint64_t Hash = 0;
};
bool ranksBefore(const NodeRank &Left, const NodeRank &Right);

struct PlacerCandidate {
  std::string Host;
  NodeRank Rank;
  /// Has run long enough to have heard of all work under way.
  bool KnowsFleetLoad = false;
  /// Owed an answer lately and did not give it.
  bool IsSuspect = false;
};

/// The first `Count` nodes to ask, best first. Load: hundreds of nodes, each
/// with less than one request a second, which alone know too little of each
/// other's requests to choose engines well. There is no lease: two nodes that
/// are taken for the first placer tell each other what they place, and every
/// hard limit is a share that holds without a word.
std::vector<PlacerCandidate> choosePlacers(std::vector<PlacerCandidate> All,
                                           std::size_t Count);

} // namespace cassiashed::balancing
