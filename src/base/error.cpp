#include "cassiashed/base/error.h"

#include <array>

namespace cassiashed {
namespace {

constexpr std::array<ErrorAnswer, ErrorKindCount> Answers = {{
    {ErrorKind::BadRequest, "bad-request", 400, Ran::NotRun,
     "the request is malformed"},
    {ErrorKind::Unauthorized, "unauthorized", 401, Ran::NotRun,
     "the API key is missing or unknown"},
    {ErrorKind::NotFound, "not-found", 404, Ran::NotRun,
     "no such model, service or path"},
    {ErrorKind::RequestTimeout, "request-timeout", 408, Ran::NotRun,
     "the request arrived too slowly"},
    {ErrorKind::TooLarge, "too-large", 413, Ran::NotRun,
     "the request exceeds a size limit"},
    {ErrorKind::KeyConflict, "key-conflict", 422, Ran::NotRun,
     "the idempotency key was used for another request"},
    {ErrorKind::OutcomeUnknown, "outcome-unknown", 409, Ran::Unknown,
     "an earlier attempt with this key may have run"},
    {ErrorKind::Quarantined, "quarantined", 422, Ran::NotRun,
     "this content has crashed endpoints"},
    {ErrorKind::OverShare, "over-share", 429, Ran::NotRun,
     "the workspace is above its share while capacity is short"},
    {ErrorKind::CallerGone, "caller-gone", 499, Ran::Unknown,
     "the caller closed the connection"},
    {ErrorKind::CallerTooSlow, "caller-too-slow", 408, Ran::Unknown,
     "the caller reads too slowly"},
    {ErrorKind::Internal, "internal", 500, Ran::Unknown, "internal error"},
    {ErrorKind::EndpointFailed, "endpoint-failed", 502, Ran::Unknown,
     "the endpoint failed"},
    {ErrorKind::NoCapacity, "no-capacity", 503, Ran::NotRun,
     "no endpoint can take the request in time"},
    {ErrorKind::NoEndpoint, "no-endpoint", 503, Ran::NotRun,
     "no endpoint in service runs this model"},
    {ErrorKind::Draining, "draining", 503, Ran::NotRun,
     "the node is shutting down"},
    {ErrorKind::NotCurrent, "not-current", 503, Ran::NotRun,
     "the node cannot confirm its configuration"},
    {ErrorKind::StoreUnavailable, "store-unavailable", 503, Ran::Unknown,
     "the table service cannot be reached"},
    {ErrorKind::DeadlineExceeded, "deadline-exceeded", 504, Ran::Unknown,
     "the deadline passed"},
}};

constexpr bool answersAreInOrder() {
  for (int Index = 0; Index < ErrorKindCount; ++Index)
    if (static_cast<int>(Answers[Index].Kind) != Index)
      return false;
  return true;
}
static_assert(answersAreInOrder(),
              "Answers must follow the order of ErrorKind");

} // namespace

const ErrorAnswer &answerFor(ErrorKind Kind) {
  return Answers[static_cast<std::size_t>(Kind)];
}

std::string_view nameOf(Ran Value) {
  static constexpr std::array<std::string_view, 3> Names = {"done", "not-run",
                                                            "unknown"};
  return Names[static_cast<std::size_t>(Value)];
}

} // namespace cassiashed
