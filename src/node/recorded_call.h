#pragma once

#include "cassiashed/calls/call_recorder.h"
#include "cassiashed/store/object_store.h"
#include "node/call_table.h"
#include "node/service_caller.h"
#include "node/service_sender.h"
#include <boost/asio/thread_pool.hpp>

namespace cassiashed {

/// What recorded calls of one node share.
struct RecordedCallContext {
  std::string Node;
  std::uint64_t Incarnation = 0;
  http::asio::thread_pool *Blocking = nullptr;
  std::shared_ptr<CallTable> Table;
  ObjectStore *Objects = nullptr;
  WriterLives IsAlive;
};

/// Runs one call that is not idempotent. The call goes on after the answer
/// until its outcome is recorded.
http::Task<ServiceAnswer>
runRecordedCall(const RecordedCallContext &Context, ServiceCall Call,
                std::shared_ptr<ServiceSender> Sender);

} // namespace cassiashed
