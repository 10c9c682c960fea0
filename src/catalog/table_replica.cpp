#include "cassiashed/catalog/table_replica.h"

#include <algorithm>
#include <array>
#include <set>

namespace cassiashed::catalog {

std::string_view nameOf(Table Value) {
  static constexpr std::array<std::string_view, TableCount> Names = {
      "operator", "endpoints", "nodes"};
  return Names[static_cast<std::size_t>(Value)];
}

namespace {

/// Version of the newest change up to `UpTo` among the rows. A row newer than
/// `UpTo` counts as `UpTo`: it may have replaced a change up to there whose
/// version is no longer known.
std::uint64_t newestVersion(const std::vector<Row> &Rows, std::uint64_t UpTo) {
  std::uint64_t Newest = 0;
  for (const Row &Change : Rows)
    Newest = std::max(Newest, Change.Version);
  return std::min(Newest, UpTo);
}

} // namespace

std::vector<Row> TableReplica::applyNewer(std::vector<Row> Changes,
                                          std::uint64_t UpTo) {
  std::vector<Row> Applied;
  for (Row &Change : Changes) {
    // A source that is older than this replica may list a row whose removal
    // left no tombstone here.
    if (UpTo < Coverage_.UpTo && Change.Version <= Coverage_.UpTo)
      continue;
    Row &Known = Rows_[Change.Key];
    if (Known.Version >= Change.Version)
      continue;
    if (Change.Removed)
      Change.Value.clear();
    Known = Change;
    Applied.push_back(std::move(Change));
  }
  return Applied;
}

void TableReplica::setComplete(std::uint64_t UpTo, std::uint64_t LastChange) {
  Coverage_.UpTo = std::max(Coverage_.UpTo, UpTo);
  // A change counts even if a newer version of its row arrived first.
  Coverage_.LastChange = std::max(Coverage_.LastChange, LastChange);
  for (const auto &[Key, Known] : Rows_)
    if (Known.Version <= Coverage_.UpTo)
      Coverage_.LastChange = std::max(Coverage_.LastChange, Known.Version);
}

std::vector<Row> TableReplica::merge(std::vector<Row> Changes,
                                     std::uint64_t Version) {
  const std::uint64_t LastChange = newestVersion(Changes, Version);
  std::vector<Row> Applied = applyNewer(std::move(Changes), Version);
  setComplete(Version, LastChange);
  return Applied;
}

std::vector<Row> TableReplica::mergeFromPeer(RowBatch Batch) {
  if (Batch.Whole)
    return replaceAll(std::move(Batch.Rows), Batch.UpTo, Batch.Era);
  if (Batch.Era != Coverage_.Era)
    return {};
  const std::uint64_t LastChange = newestVersion(Batch.Rows, Batch.UpTo);
  std::vector<Row> Applied = applyNewer(std::move(Batch.Rows), Batch.UpTo);
  if (Coverage_.UpTo >= Batch.After)
    setComplete(Batch.UpTo, LastChange);
  return Applied;
}

std::vector<Row> TableReplica::beginEra(std::vector<Row> Listed,
                                        std::uint64_t Version,
                                        std::uint64_t Era) {
  std::map<std::string, Row> Before;
  Before.swap(Rows_);
  Coverage_ = RowCoverage();
  Coverage_.Era = Era;
  std::vector<Row> Applied;
  for (Row &Entry : Listed) {
    if (Entry.Removed)
      Entry.Value.clear();
    const auto Known = Before.find(Entry.Key);
    const bool IsKnown = Known != Before.end() && !Known->second.Removed;
    if (IsKnown ? Entry.Removed || Known->second.Value != Entry.Value
                : !Entry.Removed)
      Applied.push_back(Entry);
    if (IsKnown)
      Before.erase(Known);
    Rows_[Entry.Key] = std::move(Entry);
  }
  for (const auto &[Key, Known] : Before)
    if (!Known.Removed)
      Applied.push_back({Key, "", Version, true});
  Coverage_.WholeReadVersion = Version;
  setComplete(Version, 0);
  return Applied;
}

std::vector<Row> TableReplica::replaceAll(std::vector<Row> Rows,
                                          std::uint64_t Version,
                                          std::uint64_t Era) {
  if (Era < Coverage_.Era)
    return {};
  if (Era > Coverage_.Era)
    return beginEra(std::move(Rows), Version, Era);
  if (Version < Coverage_.UpTo)
    return applyNewer(std::move(Rows), Version); // the replica is newer
  std::set<std::string> ListedKeys;
  for (const Row &Listed : Rows)
    // A listed tombstone does not count: the row may have been added and
    // removed once more after it.
    if (!Listed.Removed)
      ListedKeys.insert(Listed.Key);
  for (const auto &[Key, Known] : Rows_)
    if (!Known.Removed && Known.Version <= Version &&
        ListedKeys.count(Key) == 0)
      Rows.push_back({Key, "", Version, true});
  // The new tombstones carry the version of the read. No row of the same key
  // and version can exist, since the read would have listed it.
  std::vector<Row> Applied = applyNewer(std::move(Rows), Version);
  Coverage_.WholeReadVersion = Version;
  setComplete(Version, 0);
  return Applied;
}

bool TableReplica::recordPeerCoverage(const RowCoverage &Other) {
  // The other node may not know of removals up to the version of its last read
  // of the whole table, so LastChange alone is not sufficient.
  if (Other.Era != Coverage_.Era ||
      Coverage_.UpTo < std::max(Other.LastChange, Other.WholeReadVersion))
    return false;
  setComplete(Other.UpTo, Other.LastChange);
  return true;
}

RowBatch TableReplica::batchAfter(std::uint64_t After,
                                  std::uint64_t Era) const {
  RowBatch Batch{After, Coverage_.UpTo, {}, false, Coverage_.Era};
  Batch.Whole = Era != Coverage_.Era || After < Coverage_.WholeReadVersion;
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
