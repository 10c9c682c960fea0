#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// A local copy of rows of the platform's store.
namespace cassiashed::catalog {

/// Tables that every node follows.
enum class Table {
  Operator,  ///< configuration and zones out of service
  Endpoints, ///< what replicas registered
  Nodes,     ///< addresses of the nodes
};
inline constexpr int TableCount = 3;
std::string_view nameOf(Table Which);

struct Row {
  std::string Key;
  std::string Value;
  std::uint64_t Version = 0; ///< of the store; grows with every transaction
  bool Removed = false;
};

/// Changes of a table as one node passes them on.
struct RowBatch {
  std::uint64_t After = 0; ///< all changes after this version of the store
  std::uint64_t UpTo = 0;  ///< up to this one
  std::vector<Row> Rows;
  /// Rows are the whole table as of UpTo: the sender cannot tell which rows
  /// were removed after `After`.
  bool Whole = false;
};

/// How complete a copy is, as its node tells others.
struct RowCoverage {
  std::uint64_t UpTo = 0;       ///< version of the store; no change is missing
  std::uint64_t LastChange = 0; ///< newest change up to there
  /// Removals up to this version are not known: the table was read whole.
  std::uint64_t ReadWholeAt = 0;
};

/// Newest known version of each row of one table. Rows may arrive from the
/// store and from other nodes in any order, late or more than once; an older
/// version never replaces a newer one. Removed rows are kept as markers for
/// that reason.
///
/// The copy counts as complete up to a version only if every change up to it
/// has been taken in, not because a later one has.
///
/// ```cpp
/// for (const Row &Change : Mirror.merge(Rows, Version))
///   apply(Change);
/// ```
class TableReplica {
public:
  /// Takes in the store's changes after `completeVersion()`, up to `Version`.
  /// Returns those that were news.
  std::vector<Row> merge(std::vector<Row> Changes, std::uint64_t Version);

  /// Takes in what another node passes on. Returns those that were news. If
  /// changes before `After` are missing here, the copy does not count as
  /// complete up to `UpTo`.
  std::vector<Row> mergeFromPeer(RowBatch Batch);

  /// Takes the whole table as of `Version`: rows that are not listed and not
  /// newer than `Version` are removed. Returns what was news.
  std::vector<Row> replaceAll(std::vector<Row> Rows, std::uint64_t Version);

  /// Another node's copy covers the table so far. Returns whether this copy
  /// holds all that the other one does; it is then complete up to there, too.
  bool recordPeerCoverage(const RowCoverage &Other);

  /// What a node lacks that is complete up to `After`.
  RowBatch batchAfter(std::uint64_t After) const;
  /// Rows newer than `After`, with removal markers.
  std::vector<Row> changesAfter(std::uint64_t After) const;

  /// Store version up to which no change is missing, from whatever source; 0:
  /// nothing read.
  std::uint64_t completeVersion() const { return Coverage_.UpTo; }
  /// Newest change up to which no other is missing. Nodes compare it: the
  /// store's own version grows with changes of other tables, too.
  std::uint64_t completeRow() const { return Coverage_.LastChange; }
  const RowCoverage &coverage() const { return Coverage_; }
  std::size_t size() const { return Rows_.size(); }

private:
  std::vector<Row> take(std::vector<Row> Changes, std::uint64_t UpTo);
  void setComplete(std::uint64_t UpTo, std::uint64_t LastChange);

  std::map<std::string, Row> Rows_;
  RowCoverage Coverage_;
};

} // namespace cassiashed::catalog
