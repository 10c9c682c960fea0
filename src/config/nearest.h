#pragma once

#include <string_view>
#include <vector>

namespace cassiashed {

/// Number of single-character insertions, deletions and replacements that turn
/// one text into the other.
std::size_t computeEditDistance(std::string_view Left, std::string_view Right);

/// The candidate with the smallest edit distance; empty without candidates.
std::string_view findNearest(std::string_view Text,
                             const std::vector<std::string_view> &Candidates);

} // namespace cassiashed
