#pragma once

#include "cassiashed/base/error.h"
#include "cassiashed/config/deployment.h"
#include "http/asio.h"
#include "http/message.h"
#include "node/config_table.h"
#include <memory>
#include <optional>
#include <string>

namespace cassiashed {

/// One call of a plain service.
struct ServiceCall {
  std::string RequestId;
  std::string Workspace;
  std::string Key; ///< idempotency key; empty if the caller gave none
  std::string Path;
  std::string ContentType;
  std::string Body;
  bool Idempotent = false;
  TimePoint Deadline;
};

/// Either the service's answer or an error.
struct ServiceAnswer {
  std::optional<http::Response> Reply;
  bool Recorded = false; ///< the answer is that of an earlier attempt
  Error Failure;
};

/// Calls plain services; a call that is not idempotent runs at most once.
class ServiceCaller {
public:
  virtual ~ServiceCaller() = default;
  virtual http::Task<ServiceAnswer> call(std::string Service,
                                         ServiceCall Call) = 0;
};

struct RecordedCallContext;

/// `Config` must outlive the result.
std::unique_ptr<ServiceCaller> makeServiceCaller(const ConfigTable &Config,
                                                 RecordedCallContext Recording);

} // namespace cassiashed
