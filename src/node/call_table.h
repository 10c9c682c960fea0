#pragma once

#include "cassiashed/calls/call_batcher.h"
#include "cassiashed/store/table_service.h"
#include "http/asio.h"
#include <boost/asio/thread_pool.hpp>
#include <functional>
#include <memory>

namespace cassiashed {

using RowCallback = std::function<void(const RowResult &)>;

/// Performs the row operations of all recorded calls of this node in batches.
/// Safe for use by several threads.
class CallTable {
public:
  virtual ~CallTable() = default;
  virtual void start() = 0;
  /// `Done` is called once, on any thread.
  virtual void write(TableWrite Write, RowCallback Done) = 0;
  virtual void read(std::string Key, RowCallback Done) = 0;
};

std::shared_ptr<CallTable> makeCallTable(http::asio::io_context &Context,
                                         http::asio::thread_pool &Blocking,
                                         TableService &Table);

} // namespace cassiashed
