#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// The platform's transactional table service.
namespace cassiashed {

/// One row. Version 0 means that the row does not exist; every write of a row
/// increases its version.
struct TableRow {
  std::string Key;
  std::string Value;
  std::uint64_t Version = 0;
};

/// One conditional write.
struct TableWrite {
  std::string Key;
  std::optional<std::string> Value;       ///< no value: delete the row
  std::optional<std::uint64_t> IfVersion; ///< no condition: always write
};

/// `All`: every condition holds or nothing is written.
/// `Each`: the writes are independent of each other.
enum class CommitMode { All, Each };

struct CommitResult {
  bool Committed = false; ///< with `Each`: the request was processed
  /// Per write the new version, or nothing if its condition did not hold.
  std::vector<std::optional<std::uint64_t>> Versions;
};

/// Access to the table service. Calls block the calling thread and are safe
/// to make from several threads.
class TableService {
public:
  virtual ~TableService() = default;

  /// No result means that the outcome is not known: the writes may have taken
  /// effect. `Reason` then names the failure.
  virtual std::optional<CommitResult>
  commit(const std::vector<TableWrite> &Writes, CommitMode Mode,
         std::string &Reason) = 0;

  /// Reads rows by key. Rows that do not exist have version 0.
  virtual std::optional<std::vector<TableRow>>
  read(const std::vector<std::string> &Keys, std::string &Reason) = 0;

  /// Reads all rows whose key starts with `Prefix`, ordered by key.
  virtual std::optional<std::vector<TableRow>> scan(const std::string &Prefix,
                                                    std::string &Reason) = 0;
};

} // namespace cassiashed
