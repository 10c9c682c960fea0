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
  HistoryGone, ///< the table has to be read anew
  Busy,        ///< refused; nothing was done
  Unreachable, ///< no usable answer; a write may have been performed
};

struct StoreRows {
  StoreStatus Status = StoreStatus::Unreachable;
  std::vector<catalog::Row> Rows;
  std::uint64_t Version = 0; ///< of the store, up to which Rows are complete
  /// The store's own steady clock when it answered, if it said so.
  std::optional<Duration> StoreTime;
  std::string Reason; ///< of a failure
};

/// The calls of the platform's store that a gateway makes.
class StoreClient {
public:
  virtual ~StoreClient() = default;

  /// All rows of a table.
  virtual http::Task<StoreRows> readAll(catalog::Table From) = 0;
  /// Rows changed after `After`, as soon as there is one; none after `Wait`.
  virtual http::Task<StoreRows>
  waitForChanges(catalog::Table From, std::uint64_t After, Duration Wait) = 0;
  /// Writes one row of the nodes' table, whatever is there.
  virtual http::Task<StoreRows> writeNode(std::string Key,
                                          std::string Value) = 0;
};

} // namespace cassiashed::gateway
