#pragma once

#include "cassiashed/base/clock.h"
#include "cassiashed/catalog/table_replica.h"
#include "http/asio.h"
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cassiashed::gateway {

enum class StoreStatus {
  Ok,
  HistoryGone, ///< changes are no longer kept; read the whole table
  Busy,        ///< refused; nothing was executed
  Unreachable, ///< no valid response; a write may have been executed
};

/// Result of a call to the store.
struct StoreRows {
  StoreStatus Status = StoreStatus::Unreachable;
  std::vector<catalog::Row> Rows;
  std::uint64_t Version = 0; ///< store version up to which Rows are complete
  /// Era of the store at its answer, also at one that refuses. Versions of
  /// different eras are not comparable.
  std::uint64_t Era = 0;
  /// The store's steady clock when it responded, if stated.
  std::optional<Duration> StoreTime;
  std::string Reason; ///< of a failure, for the log
};

/// Client of the platform's store, for the tables that the gateways share.
class StoreClient {
public:
  virtual ~StoreClient() = default;

  /// Reads all rows of a table, of one era.
  virtual http::Task<StoreRows> readAll(catalog::Table From) = 0;
  /// Long poll for rows changed after version `After`. Returns as soon as there
  /// is one, or without rows after `Wait`.
  virtual http::Task<StoreRows>
  waitForChanges(catalog::Table From, std::uint64_t After, Duration Wait) = 0;
  /// Writes a row of the nodes' table and overwrites an existing one.
  virtual http::Task<StoreRows> writeNode(std::string Key,
                                          std::string Value) = 0;
};

} // namespace cassiashed::gateway
