#pragma once

#include "cassiashed/base/error.h"
#include "http/server.h"
#include "node/config_table.h"
#include "node/crash_guard.h"
#include "node/grant_broker.h"
#include "node/metrics.h"
#include "node/owner_client.h"
#include "node/service_caller.h"
#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace cassiashed {

struct FrontOptions {
  std::string Node;
  std::uint64_t Incarnation = 0; ///< makes request ids unique over restarts
  Duration DefaultDeadline = std::chrono::minutes(5);
  Duration MaxDeadline = std::chrono::hours(1);
  Duration SlowReaderStall = std::chrono::seconds(30);
  std::uint64_t MaxStreams = 10000;
};

/// Why the node takes no new work; nothing if it does. While a node drains it
/// is not ready, so that the balancer turns away from it, but it still admits
/// the requests that the balancer sends meanwhile.
struct FrontGates {
  std::function<std::optional<Error>()> Ready;
  std::function<std::optional<Error>()> Admit;
};

/// The HTTP interface towards callers.
class Front {
public:
  virtual ~Front() = default;
  virtual http::Task<void> handle(http::Request Call,
                                  http::ResponseWriter &Reply) = 0;
  virtual std::size_t activeRequests() const = 0;
};

/// What the front calls; must outlive it.
struct FrontParts {
  GrantBroker &Broker;
  OwnerClient &Owners;
  CrashGuard &Crashes;
  ServiceCaller &Services;
  Metrics &Counters;
};

/// `Config` must outlive the front.
std::unique_ptr<Front> makeFront(FrontOptions Options,
                                 const ConfigTable &Config, FrontParts Parts,
                                 FrontGates Gates);

/// The answer to a request that could not be read.
http::Response describeReadFailure(http::ReadFailure Failure);

} // namespace cassiashed
