#include "config/nearest.h"

#include <algorithm>
#include <numeric>

namespace cassiashed {

std::size_t computeEditDistance(std::string_view Left, std::string_view Right) {
  // One row of the distance table; Diagonal is the value up and to the left.
  std::vector<std::size_t> Row(Right.size() + 1);
  std::iota(Row.begin(), Row.end(), 0);
  for (std::size_t I = 1; I <= Left.size(); ++I) {
    std::size_t Diagonal = Row[0];
    Row[0] = I;
    for (std::size_t J = 1; J <= Right.size(); ++J) {
      const std::size_t Replaced =
          Diagonal + (Left[I - 1] == Right[J - 1] ? 0 : 1);
      Diagonal = Row[J];
      Row[J] = std::min({Replaced, Row[J] + 1, Row[J - 1] + 1});
    }
  }
  return Row.back();
}

std::string_view findNearest(std::string_view Text,
                             const std::vector<std::string_view> &Candidates) {
  std::string_view Nearest;
  std::size_t Least = static_cast<std::size_t>(-1);
  for (const std::string_view Candidate : Candidates) {
    const std::size_t Distance = computeEditDistance(Text, Candidate);
    if (Distance < Least) {
      Least = Distance;
      Nearest = Candidate;
    }
  }
  return Nearest;
}

} // namespace cassiashed
