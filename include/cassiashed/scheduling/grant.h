#pragma once

#include "cassiashed/base/clock.h"
#include "cassiashed/base/error.h"
#include "cassiashed/scheduling/length_class.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Messages between the node that wants to run a request at an endpoint and the
/// node that owns the endpoint.
namespace cassiashed::scheduling {

/// One attempt of a request that wants to run at the endpoint.
struct GrantRequest {
  std::string RequestId;
  std::uint32_t Attempt = 0; ///< identity, together with `RequestId`
  std::string Node;          ///< entry node, which gets the answer
  std::string Workspace;
  double Weight = 1;          ///< of the workspace, above 0
  std::uint32_t Priority = 0; ///< for the engine; 0 is the most urgent
  std::uint64_t PromptTokens = 0;
  std::uint64_t MaxTokens = 0;
  std::uint64_t CachedTokens = 0; ///< cached prefix; 0 if not known
  LengthClass Class = LengthClass::Short;
  TimePoint Deadline;
  /// Set for one part of a prompt that several engines prefill: the memory is
  /// reserved before `EndpointLedger::start`, at most until this time.
  std::optional<TimePoint> HoldUntil;
};

/// Maximum number of tokens that an attempt may use at the endpoint.
inline std::uint64_t tokensOf(const GrantRequest &Request) {
  const std::uint64_t Total = Request.PromptTokens + Request.MaxTokens;
  return Total > Request.CachedTokens ? Total - Request.CachedTokens : 0;
}

/// Permission to run one attempt. The attempt must not be sent to the endpoint
/// after `SendBy`, nor to an endpoint with another incarnation.
struct Grant {
  std::uint64_t Id = 0;
  std::string RequestId;
  std::uint32_t Attempt = 0;
  std::string Node;
  std::uint64_t Incarnation = 0;
  std::uint64_t Tokens = 0;
  /// The request must have reached the endpoint by then, so that later reports
  /// include it: another holder of a share relies on them.
  TimePoint SendBy;
  TimePoint Expiry; ///< see `LedgerEvents::Expired`
};

/// How a granted attempt ended.
enum class GrantOutcome : std::uint8_t {
  Completed,      ///< the endpoint delivered the complete answer
  Failed,         ///< ended early, the endpoint is alive
  EndpointFailed, ///< connection lost: the endpoint may have restarted
  Cancelled,      ///< cancelled by the entry node or its caller
};

/// Why an attempt was not granted. A refused attempt has not run.
enum class RefusalReason : std::uint8_t {
  OverShare,    ///< the workspace has the highest demand for its weight
  QueueFull,    ///< too many waiters
  Late,         ///< prefill predicted to end after the deadline
  Expired,      ///< the deadline passed while waiting
  TooLarge,     ///< needs more memory than this node may use here
  Leaving,      ///< the endpoint is draining
  NoShare,      ///< this node may not use the endpoint
  AlreadyEnded, ///< this attempt was released or cancelled before
};

/// Number of values of `RefusalReason`.
inline constexpr int RefusalReasonCount = 8;

std::string_view nameOf(RefusalReason Reason);
ErrorKind errorKindOf(RefusalReason Reason);

/// Load of the endpoint as its owner knows it; part of every answer.
struct LoadHint {
  std::uint64_t FreeTokens = 0;
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint64_t Incarnation = 0;
  bool Cold = false;
  bool Leaving = false;
  /// Per class: predicted time until the prefill of a new prompt starts.
  std::array<std::chrono::microseconds, LengthClassCount> StartDelay{};
};

/// A refused attempt.
struct Refusal {
  std::string RequestId;
  std::uint32_t Attempt = 0;
  std::string Node;
  RefusalReason Reason = RefusalReason::QueueFull;
};

enum class EndpointState : std::uint8_t { Cold, Warm, Leaving };

/// A request that an endpoint reports as held.
struct HeldRequest {
  std::string RequestId;
  std::string Node;
  std::uint64_t Tokens = 0;
};

/// The content of `GET /v1/load`.
struct LoadReport {
  std::uint64_t Incarnation = 0;
  EndpointState State = EndpointState::Cold;
  std::uint64_t CapacityTokens = 0;
  /// All tokens held, exports included, measured at the same moment as
  /// `Requests`. Tokens beyond the sum of `Requests` count as held by others.
  /// If the endpoint's total lags behind its list, pass requests + exports
  /// instead.
  std::uint64_t HeldTokens = 0;
  std::vector<HeldRequest> Requests;
  /// Earliest time that the numbers may describe: the time at which the report
  /// was requested, minus the lag of the endpoint.
  TimePoint MeasuredAt;
};

} // namespace cassiashed::scheduling
