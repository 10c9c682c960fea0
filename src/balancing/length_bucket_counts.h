#pragma once

#include <map>
#include <vector>

/// Counts of outcomes by size, for tests.
namespace cassiashed::balancing {

/// Part of its kind's share that each size keeps.
inline constexpr double KeptPart = 0.5;

struct SizeCount {
  int Asked = 0;
  int Served = 0;
};

/// Bands that were asked for often enough to speak of a share, and have less
/// than their part.
inline std::vector<int> starvedBands(const std::map<int, SizeCount> &Bands,
                                     int LeastAsked) {
  SizeCount All;
  for (const auto &[Band, Each] : Bands) {
    All.Asked += Each.Asked;
    All.Served += Each.Served;
  }
  std::vector<int> Result;
  for (const auto &[Band, Each] : Bands)
    // One prompt more or less is not a matter of shares.
    if (Each.Asked >= LeastAsked &&
        (Each.Served + 1) * All.Asked < KeptPart * Each.Asked * All.Served)
      Result.push_back(Band);
  return Result;
}

} // namespace cassiashed::balancing
