#include "cassiashed/balancing/placer_ranking.h"

#include <algorithm>

namespace cassiashed::balancing {
namespace {

/// CPU shares closer than this are equal: they are sent as rounded decimals.
constexpr double CpuShareTolerance = 0.001;

} // namespace

bool ranksBefore(const NodeRank &Left, const NodeRank &Right) {
  if (Left.CpuShare > Right.CpuShare + CpuShareTolerance)
    return true;
  if (Right.CpuShare > Left.CpuShare + CpuShareTolerance)
    return false;
  return Left.Hash < Right.Hash;
}

std::vector<PlacerCandidate> choosePlacers(std::vector<PlacerCandidate> All,
                                           std::size_t Count) {
  const auto IsAskedBefore = [](const PlacerCandidate &Left,
                                const PlacerCandidate &Right) {
    if (Left.IsSuspect != Right.IsSuspect)
      return Right.IsSuspect;
    if (Left.KnowsFleetLoad != Right.KnowsFleetLoad)
      return Left.KnowsFleetLoad;
    return ranksBefore(Left.Rank, Right.Rank);
  };
  const std::size_t ResultCount = std::min(Count, All.size());
  std::partial_sort(All.begin(),
                    All.begin() + static_cast<std::ptrdiff_t>(ResultCount),
                    All.end(), IsAskedBefore);
  All.resize(ResultCount);
  return All;
}

} // namespace cassiashed::balancing
