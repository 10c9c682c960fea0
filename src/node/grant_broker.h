#pragma once

#include "cassiashed/base/clock.h"
#include "cassiashed/base/error.h"
#include "http/asio.h"
#include "http/message.h"
#include "node/completion_request.h"
#include "node/engine_attempt.h"
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cassiashed {

/// What a request asks of the owners of endpoints.
struct GrantQuery {
  std::string RequestId;
  std::uint32_t Attempt = 1;
  std::string Workspace;
  double Weight = 1;
  const CompletionRequest *Request = nullptr;
  std::uint64_t ResumeFrom = 0;
  TimePoint Deadline;
  std::vector<std::string> Tried; ///< endpoints that failed this request
};

/// Permission to run one attempt at one endpoint. It must not be sent after
/// `SendBy` and ends at `Expiry`.
struct EngineGrant {
  std::string Endpoint;
  std::string Zone;
  std::string Owner; ///< node that gave the grant
  http::Address Address;
  std::uint64_t Id = 0;
  std::uint64_t Incarnation = 0;
  std::uint64_t Epoch = 0;
  std::uint32_t Priority = 0;
  Duration FirstTokenEstimate{0};
  TimePoint SendBy;
  TimePoint Expiry;
};

/// One of several engines that hold a prompt together.
struct GangEngine {
  std::string Endpoint;
  std::string Zone;
  http::Address Address;
  std::uint64_t Tokens = 0;
};

/// Either a grant or the reason for a refusal.
struct GrantAnswer {
  std::optional<EngineGrant> Grant;
  Error Refusal;
};

/// Finds an endpoint for a request and keeps the owners' accounts.
class GrantBroker {
public:
  virtual ~GrantBroker() = default;

  /// Engines for a prompt that no single engine can hold, in the order in which
  /// they are reserved. Empty if one engine suffices; nothing if all engines
  /// together are not enough.
  virtual std::optional<std::vector<GangEngine>>
  planEngines(const GrantQuery &Query) = 0;

  /// Waits until an owner grants or refuses the request, at most until its
  /// deadline. A wait ends early when `giveUp` is called for the request.
  virtual http::Task<GrantAnswer> acquire(GrantQuery Query) = 0;

  /// Ends the wait of a request whose caller is gone.
  virtual void giveUp(const std::string &RequestId) = 0;

  /// Finds out why the connection of an attempt broke. Call it before
  /// `release`.
  virtual http::Task<void> investigate(EngineGrant Grant) = 0;

  /// Reports the end of the attempt that ran under `Grant`.
  virtual void release(const GrantQuery &Query, const EngineGrant &Grant,
                       const AttemptResult &Result) = 0;

  /// Whether a request for `Model` that failed may be tried again.
  virtual bool takeRetry(const std::string &Model, std::uint32_t Attempt) = 0;

  virtual void recordAnswered(const std::string &Model) = 0;
};

} // namespace cassiashed
