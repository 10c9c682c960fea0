#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

/// Placement by rendezvous hashing: every node computes the same result from
/// the same names, and a node that comes or goes moves only its own part.
namespace cassiashed {

struct PlacementNode {
  std::string Name;
  std::string Zone;
};

/// Node names, the most preferred for `Key` first.
std::vector<std::string> rankNodes(std::string_view Key,
                                   const std::vector<PlacementNode> &Nodes);

struct Placement {
  std::string Owner;   ///< empty if there is no node
  std::string Standby; ///< empty if there is no second node
};

/// Preferred node, and the next one in another zone if there is one.
Placement placeKey(std::string_view Key,
                   const std::vector<PlacementNode> &Nodes);

/// Places all endpoints. Each node gets the average number of endpoints,
/// rounded down or up; what is above goes to the endpoint's next preferred
/// node.
std::map<std::string, Placement>
placeEndpoints(const std::vector<std::string> &Endpoints,
               const std::vector<PlacementNode> &Nodes);

} // namespace cassiashed
