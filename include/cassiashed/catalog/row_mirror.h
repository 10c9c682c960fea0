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

/// Newest known version of each row of one table. Rows may arrive from the
/// store and from other nodes in any order; an older version never replaces a
/// newer one. Removed rows are kept as markers for that reason.
///
/// ```cpp
/// for (const Row &Change : Mirror.merge(Rows, Version))
///   apply(Change);
/// ```
class RowMirror {
public:
  /// Takes changes in. Returns those that were news. `Version` is the version
  /// of the store up to which the changes are complete.
  std::vector<Row> merge(std::vector<Row> Changes, std::uint64_t Version);

  /// Takes in what another node passes on: all changes after version `After`
  /// up to `UpTo`. Returns those that were news. If changes before `After` are
  /// missing here, the copy does not count as complete up to `UpTo`.
  std::vector<Row> mergePassedOn(std::vector<Row> Changes, std::uint64_t After,
                                 std::uint64_t UpTo);

  /// Takes the whole table as of `Version`: rows that are not listed and not
  /// newer than `Version` are removed. Returns what was news.
  std::vector<Row> replaceAll(std::vector<Row> Rows, std::uint64_t Version);

  /// Rows newer than `After`, with removal markers.
  std::vector<Row> changesAfter(std::uint64_t After) const;

  /// Store version up to which the copy is complete; 0: nothing read.
  std::uint64_t version() const { return Version_; }
  /// Version of the newest row up to which no change is missing. Nodes compare
  /// it: the store's own version grows with changes of other tables, too.
  std::uint64_t completeRow() const { return CompleteRow_; }
  std::size_t size() const { return Rows_.size(); }

private:
  std::map<std::string, Row> Rows_;
  std::uint64_t Version_ = 0;
  std::uint64_t CompleteRow_ = 0;
};

} // namespace cassiashed::catalog
