#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// Local replicas of tables of the platform's store.
namespace cassiashed::catalog {

/// Tables that every node replicates.
enum class Table {
  Operator,  ///< configuration and zones out of service
  Endpoints, ///< endpoints that replicas of services registered
  Nodes,     ///< addresses of the nodes
};
inline constexpr int TableCount = 3;
std::string_view nameOf(Table Value);

/// Highest era of the store that is believed. The era rises by one at each
/// restore; a damaged value must not make all later answers look old.
inline constexpr std::uint64_t MaxStoreEra = 1'000'000'000;

/// A version of the store within its era. The store gives versions out again
/// when it comes back from an older copy, so they compare by era first.
struct StoreVersion {
  std::uint64_t Era = 0;
  std::uint64_t Version = 0;
  // clang-tidy 14 reports the code that the compiler generates for this line.
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  auto operator<=>(const StoreVersion &) const = default;
};

struct Row {
  std::string Key;
  std::string Value;
  std::uint64_t Version = 0; ///< store version; grows with every transaction
  bool Removed = false;
};

/// Changes of a table that one node sends to another.
struct RowBatch {
  std::uint64_t After = 0; ///< holds all changes after this store version
  std::uint64_t UpTo = 0;  ///< up to and including this one
  std::vector<Row> Rows;
  /// Rows is the whole table as of UpTo, since the sender does not know which
  /// rows were removed after `After`.
  bool Whole = false;
  std::uint64_t Era = 0; ///< of all versions in this batch
};

/// How complete a replica is. Nodes exchange it.
struct RowCoverage {
  std::uint64_t UpTo = 0; ///< store version up to which no change is missing
  std::uint64_t LastChange = 0; ///< version of the newest change up to UpTo
  /// Store version of the last read of the whole table. Removals up to it are
  /// unknown.
  std::uint64_t WholeReadVersion = 0;
  std::uint64_t Era = 0; ///< of these versions
};

/// Holds the newest known version of each row of one table. Rows may arrive
/// from the store and from other nodes in any order, late or more than once; an
/// older version never replaces a newer one. Removed rows are therefore kept as
/// tombstones.
///
/// The replica is complete up to a version only if every change up to it was
/// merged; a later change alone does not make it complete.
///
/// All rows are of one era of the store. Only a whole table of a later era
/// begins that era here; other rows of a later era, and everything of an
/// earlier one, are ignored.
///
/// ```cpp
/// for (const Row &Change : Replica.merge(Rows, Version))
///   apply(Change);
/// ```
class TableReplica {
public:
  /// Merges the store's changes after `completeVersion()`, up to `Version`.
  /// Returns those that were applied.
  std::vector<Row> merge(std::vector<Row> Changes, std::uint64_t Version);

  /// Merges changes from another node, or from the store with their era.
  /// Returns those that were applied. If changes up to `Batch.After` are
  /// missing, the replica does not become complete up to `Batch.UpTo`.
  std::vector<Row> mergeFromPeer(RowBatch Batch);

  /// Replaces the table by its content as of `Version`. Rows that are neither
  /// listed nor newer than `Version` are removed. Returns the changes that were
  /// applied. When a later era begins, these are the rows whose content differs
  /// from what was known; those that are no longer listed come as removed.
  std::vector<Row> replaceAll(std::vector<Row> Rows, std::uint64_t Version,
                              std::uint64_t Era = 0);

  /// Records the coverage of another node's replica. Returns whether this
  /// replica holds every change that the other one holds; it then becomes
  /// complete up to the same version.
  bool recordPeerCoverage(const RowCoverage &Other);

  /// Changes for a node whose replica is complete up to `After` of `Era`.
  RowBatch batchAfter(std::uint64_t After, std::uint64_t Era = 0) const;
  /// Rows newer than `After`, tombstones included, in order of version.
  std::vector<Row> changesAfter(std::uint64_t After) const;

  /// Store version up to which no change is missing; 0: nothing read yet.
  std::uint64_t completeVersion() const { return Coverage_.UpTo; }
  /// Version of the newest change up to `completeVersion()`. Nodes compare this
  /// version, because changes of other tables increase the store version, too.
  std::uint64_t lastCoveredChange() const { return Coverage_.LastChange; }
  StoreVersion lastChange() const {
    return {Coverage_.Era, Coverage_.LastChange};
  }
  std::uint64_t era() const { return Coverage_.Era; }
  const RowCoverage &coverage() const { return Coverage_; }
  std::size_t size() const { return Rows_.size(); }

private:
  /// Applies rows that are newer than the known ones. `UpTo` is the store
  /// version of the source. Returns the applied rows.
  std::vector<Row> applyNewer(std::vector<Row> Changes, std::uint64_t UpTo);
  void setComplete(std::uint64_t UpTo, std::uint64_t LastChange);
  std::vector<Row> beginEra(std::vector<Row> Listed, std::uint64_t Version,
                            std::uint64_t Era);

  std::map<std::string, Row> Rows_;
  RowCoverage Coverage_;
};

} // namespace cassiashed::catalog
