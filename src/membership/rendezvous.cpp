#include "cassiashed/membership/rendezvous.h"

#include "cassiashed/base/hash.h"
#include <algorithm>
#include <cstdint>

namespace cassiashed {
namespace {

/// Indexes into `Nodes`, the most preferred first.
std::vector<std::size_t> rankIndexes(std::string_view Key,
                                     const std::vector<PlacementNode> &Nodes) {
  const std::uint64_t Seed = hashBytes(Key);
  std::vector<std::pair<std::uint64_t, std::size_t>> Scores;
  Scores.reserve(Nodes.size());
  for (std::size_t Index = 0; Index < Nodes.size(); ++Index)
    Scores.emplace_back(hashBytes(Nodes[Index].Name, Seed), Index);
  std::sort(Scores.begin(), Scores.end(), [&](const auto &A, const auto &B) {
    return A.first != B.first ? A.first > B.first
                              : Nodes[A.second].Name < Nodes[B.second].Name;
  });
  std::vector<std::size_t> Ranked;
  Ranked.reserve(Scores.size());
  for (const auto &Entry : Scores)
    Ranked.push_back(Entry.second);
  return Ranked;
}

/// Owner is the first ranked node that `IsFree` accepts.
template <typename Predicate>
Placement choose(const std::vector<std::size_t> &Ranked,
                 const std::vector<PlacementNode> &Nodes, Predicate IsFree) {
  Placement Result;
  const auto Owner = std::find_if(Ranked.begin(), Ranked.end(), IsFree);
  if (Owner == Ranked.end())
    return Result;
  Result.Owner = Nodes[*Owner].Name;
  for (const std::size_t Index : Ranked) {
    if (Index == *Owner)
      continue;
    if (Nodes[Index].Zone != Nodes[*Owner].Zone) {
      Result.Standby = Nodes[Index].Name;
      break;
    }
    if (Result.Standby.empty())
      Result.Standby = Nodes[Index].Name;
  }
  return Result;
}

} // namespace

std::vector<std::string> rankNodes(std::string_view Key,
                                   const std::vector<PlacementNode> &Nodes) {
  std::vector<std::string> Names;
  for (const std::size_t Index : rankIndexes(Key, Nodes))
    Names.push_back(Nodes[Index].Name);
  return Names;
}

Placement placeKey(std::string_view Key,
                   const std::vector<PlacementNode> &Nodes) {
  return choose(rankIndexes(Key, Nodes), Nodes,
                [](std::size_t) { return true; });
}

std::map<std::string, Placement>
placeEndpoints(const std::vector<std::string> &Endpoints,
               const std::vector<PlacementNode> &Nodes) {
  std::map<std::string, Placement> Result;
  if (Nodes.empty())
    return Result;
  // All nodes get the rounded-down average before any gets more.
  const std::size_t Average = Endpoints.size() / Nodes.size();
  std::size_t Placed = 0;
  std::vector<std::string> Ordered = Endpoints;
  std::sort(Ordered.begin(), Ordered.end());
  std::vector<std::size_t> Load(Nodes.size(), 0);
  for (const std::string &Endpoint : Ordered) {
    const std::size_t Limit =
        Placed++ < Average * Nodes.size() ? Average : Average + 1;
    std::size_t Chosen = 0;
    Result[Endpoint] =
        choose(rankIndexes(Endpoint, Nodes), Nodes, [&](std::size_t Index) {
          Chosen = Index;
          return Load[Index] < Limit;
        });
    ++Load[Chosen];
  }
  return Result;
}

} // namespace cassiashed
