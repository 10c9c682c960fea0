#pragma once

#include <optional>
#include <string>
#include <string_view>

/// Closed list of the ways in which a request can be refused or fail, and the
/// answer that a caller gets for each.
namespace cassiashed {

/// Whether the request had an effect. `Unknown` is never reported as `NotRun`.
enum class Ran { Done, NotRun, Unknown };

enum class ErrorKind {
  BadRequest,
  Unauthorized,
  NotFound,
  RequestTimeout,
  TooLarge,
  KeyConflict,
  OutcomeUnknown,
  Quarantined,
  OverShare,
  CallerGone,
  CallerTooSlow,
  Internal,
  EndpointFailed,
  NoCapacity,
  NoEndpoint,
  Draining,
  NotCurrent,
  StoreUnavailable,
  DeadlineExceeded,
};

/// Number of values of `ErrorKind`.
inline constexpr int ErrorKindCount =
    static_cast<int>(ErrorKind::DeadlineExceeded) + 1;

/// What a caller is told about an error of one kind.
struct ErrorAnswer {
  ErrorKind Kind;
  const char *Code;    ///< machine-readable code in the error body
  int Status;          ///< HTTP status
  Ran DefaultRan;      ///< used unless the failing step knows better
  const char *Summary; ///< default message
};

const ErrorAnswer &answerFor(ErrorKind Kind);
std::string_view nameOf(Ran Value);

/// An error of one request. `Message` names the cause for the caller.
///
/// ```cpp
/// return Error{ErrorKind::TooLarge, "body exceeds 8 MiB"};
/// ```
struct Error {
  ErrorKind Kind = ErrorKind::Internal;
  std::string Message;
  std::optional<Ran> Effect; ///< overrides the default of the kind
  int RetryAfterMs = 0;      ///< 0: no advice

  Ran ran() const { return Effect.value_or(answerFor(Kind).DefaultRan); }
};

} // namespace cassiashed
