#include "cassiashed/catalog/row_mirror.h"

#include <algorithm>
#include <array>
#include <set>

namespace cassiashed::catalog {

std::string_view nameOf(Table Which) {
  static constexpr std::array<std::string_view, TableCount> Names = {
      "operator", "endpoints", "nodes"};
  return Names[static_cast<std::size_t>(Which)];
}

std::vector<Row> RowMirror::merge(std::vector<Row> Changes,
                                  std::uint64_t Version) {
  std::vector<Row> News;
  for (Row &Change : Changes) {
    Row &Known = Rows_[Change.Key];
    if (Known.Version >= Change.Version)
      continue;
    if (Change.Removed)
      Change.Value.clear();
    Known = Change;
    News.push_back(std::move(Change));
  }
  Version_ = std::max(Version_, Version);
  for (const auto &[Key, Known] : Rows_)
    if (Known.Version <= Version)
      CompleteRow_ = std::max(CompleteRow_, Known.Version);
  return News;
}

std::vector<Row> RowMirror::mergePassedOn(std::vector<Row> Changes,
                                          std::uint64_t After,
                                          std::uint64_t UpTo) {
  std::vector<Row> News = merge(std::move(Changes), 0);
  if (CompleteRow_ >= After)
    CompleteRow_ = std::max(CompleteRow_, UpTo);
  return News;
}

std::vector<Row> RowMirror::replaceAll(std::vector<Row> Rows,
                                       std::uint64_t Version) {
  std::set<std::string> Listed;
  for (const Row &Each : Rows)
    Listed.insert(Each.Key);
  for (const auto &[Key, Known] : Rows_)
    if (!Known.Removed && Known.Version <= Version && Listed.count(Key) == 0)
      Rows.push_back({Key, "", Version, true});
  // A removal marker carries the version of the read; a row of the same
  // version cannot exist besides, since the read did not list it.
  std::vector<Row> News = merge(std::move(Rows), Version);
  return News;
}

std::vector<Row> RowMirror::changesAfter(std::uint64_t After) const {
  std::vector<Row> Result;
  for (const auto &[Key, Known] : Rows_)
    if (Known.Version > After)
      Result.push_back(Known);
  std::sort(Result.begin(), Result.end(),
            [](const Row &Left, const Row &Right) {
              return Left.Version < Right.Version;
            });
  return Result;
}

} // namespace cassiashed::catalog
