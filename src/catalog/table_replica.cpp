#include "cassiashed/catalog/table_replica.h"

#include <algorithm>
#include <array>
#include <set>

namespace cassiashed::catalog {

std::string_view nameOf(Table Which) {
  static constexpr std::array<std::string_view, TableCount> Names = {
      "operator", "endpoints", "nodes"};
  return Names[static_cast<std::size_t>(Which)];
}

namespace {

/// Newest change up to `UpTo` that rows tell of. A row newer than that may
/// stand for a change before it, whose version is not known any more.
std::uint64_t newestOf(const std::vector<Row> &Rows, std::uint64_t UpTo) {
  std::uint64_t Newest = 0;
  for (const Row &Each : Rows)
    Newest = std::max(Newest, Each.Version);
  return std::min(Newest, UpTo);
}

} // namespace

std::vector<Row> TableReplica::take(std::vector<Row> Changes,
                                    std::uint64_t UpTo) {
  std::vector<Row> News;
  for (Row &Change : Changes) {
    // An answer that is older than the copy may hold a row whose removal left
    // no marker here.
    if (UpTo < Coverage_.UpTo && Change.Version <= Coverage_.UpTo)
      continue;
    Row &Known = Rows_[Change.Key];
    if (Known.Version >= Change.Version)
      continue;
    if (Change.Removed)
      Change.Value.clear();
    Known = Change;
    News.push_back(std::move(Change));
  }
  return News;
}

void TableReplica::setComplete(std::uint64_t UpTo, std::uint64_t LastChange) {
  Coverage_.UpTo = std::max(Coverage_.UpTo, UpTo);
  // A change counts also if a newer one of the same row came first.
  Coverage_.LastChange = std::max(Coverage_.LastChange, LastChange);
  for (const auto &[Key, Known] : Rows_)
    if (Known.Version <= Coverage_.UpTo)
      Coverage_.LastChange = std::max(Coverage_.LastChange, Known.Version);
}

std::vector<Row> TableReplica::merge(std::vector<Row> Changes,
                                     std::uint64_t Version) {
  const std::uint64_t LastChange = newestOf(Changes, Version);
  std::vector<Row> News = take(std::move(Changes), Version);
  setComplete(Version, LastChange);
  return News;
}

std::vector<Row> TableReplica::mergeFromPeer(RowBatch Batch) {
  if (Batch.Whole)
    return replaceAll(std::move(Batch.Rows), Batch.UpTo);
  const std::uint64_t LastChange = newestOf(Batch.Rows, Batch.UpTo);
  std::vector<Row> News = take(std::move(Batch.Rows), Batch.UpTo);
  if (Coverage_.UpTo >= Batch.After)
    setComplete(Batch.UpTo, LastChange);
  return News;
}

std::vector<Row> TableReplica::replaceAll(std::vector<Row> Rows,
                                          std::uint64_t Version) {
  if (Version < Coverage_.UpTo)
    return take(std::move(Rows), Version); // the copy is newer
  std::set<std::string> IsRegistered;
  for (const Row &Each : Rows)
    if (!Each.Removed) // a marker may be older than a life in between
      IsRegistered.insert(Each.Key);
  for (const auto &[Key, Known] : Rows_)
    if (!Known.Removed && Known.Version <= Version &&
        IsRegistered.count(Key) == 0)
      Rows.push_back({Key, "", Version, true});
  // A removal marker carries the version of the read; a row of the same
  // version cannot exist besides, since the read did not list it.
  std::vector<Row> News = take(std::move(Rows), Version);
  Coverage_.ReadWholeAt = Version;
  setComplete(Version, 0);
  return News;
}

bool TableReplica::recordPeerCoverage(const RowCoverage &Other) {
  // Changes up to the other's whole read may be removals that it cannot name.
  if (Coverage_.UpTo < std::max(Other.LastChange, Other.ReadWholeAt))
    return false;
  setComplete(Other.UpTo, Other.LastChange);
  return true;
}

RowBatch TableReplica::batchAfter(std::uint64_t After) const {
  RowBatch Batch{After, Coverage_.UpTo, {}};
  Batch.Whole = After < Coverage_.ReadWholeAt;
  Batch.Rows = changesAfter(Batch.Whole ? 0 : After);
  return Batch;
}

std::vector<Row> TableReplica::changesAfter(std::uint64_t After) const {
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
