#include "cassiashed/balancing/placer_ranking.h"

#include <algorithm>

namespace cassiashed::balancing {
namespace {

/// Shares closer than this are equal: they are printed and parsed as decimals.
constexpr double SameShare = 0.001;

} // namespace

bool ranksBefore(const NodeRank &Left, const NodeRank &Right) {
  if (Left.CpuShare > Right.CpuShare + SameShare)
    return true;
  if (Right.CpuShare > Left.CpuShare + SameShare)
    return false;
  return Left.Hash < Right.Hash;
}

std::vector<PlacerCandidate> choosePlacers(std::vector<PlacerCandidate> All,
                                           std::size_t Count) {
  const auto Comes = [](const PlacerCandidate &Left,
                        const PlacerCandidate &Right) {
    if (Left.IsSuspect != Right.IsSuspect)
      return Right.IsSuspect;
    if (Left.KnowsFleetLoad != Right.KnowsFleetLoad)
      return Left.KnowsFleetLoad;
    return ranksBefore(Left.Rank, Right.Rank);
  };
  const std::size_t Kept = std::min(Count, All.size());
  std::partial_sort(All.begin(),
                    All.begin() + static_cast<std::ptrdiff_t>(Kept), All.end(),
                    Comes);
  All.resize(Kept);
  return All;
}

} // namespace cassiashed::balancing
