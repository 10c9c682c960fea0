#include "node/request_runner.h"

#include "cassiashed/base/event_log.h"
#include <algorithm>
#include <array>

namespace cassiashed {
namespace {

using http::Task;

constexpr std::array<std::string_view, 5> OutcomeNames = {
    "answered", "refused", "deadline", "failed", "caller-gone"};
static_assert(OutcomeNames.size() ==
              static_cast<std::size_t>(Outcome::CallerGone) + 1);

// A prefill is given up when it takes three times its estimate.
constexpr int PrefillPatience = 3;

/// Whether the engine may still hold memory for the attempt.
bool needsCancel(AttemptEnd End) {
  return End != AttemptEnd::Complete && End != AttemptEnd::Refused &&
         End != AttemptEnd::NotReached;
}

} // namespace

Outcome outcomeOf(ErrorKind Kind) {
  switch (Kind) {
  case ErrorKind::DeadlineExceeded:
    return Outcome::DeadlinePassed;
  case ErrorKind::CallerGone:
  case ErrorKind::CallerTooSlow:
    return Outcome::CallerGone;
  case ErrorKind::EndpointFailed:
  case ErrorKind::Internal:
    return Outcome::Failed;
  default:
    return Outcome::Refused;
  }
}

Error describeFailure(const AttemptResult &Result) {
  Error Failure;
  Failure.Message = Result.Detail;
  switch (Result.End) {
  case AttemptEnd::Deadline:
    Failure.Kind = ErrorKind::DeadlineExceeded;
    break;
  case AttemptEnd::ConsumerFailed:
  case AttemptEnd::Cancelled:
    Failure.Kind = ErrorKind::CallerGone;
    break;
  case AttemptEnd::Refused:
  case AttemptEnd::NotReached:
    Failure.Kind = ErrorKind::NoCapacity;
    break;
  default:
    Failure.Kind = ErrorKind::EndpointFailed;
    break;
  }
  return Failure;
}

std::string_view nameOf(Outcome Value) {
  return OutcomeNames[static_cast<std::size_t>(Value)];
}

bool RequestRunner::mayRetry(const GrantQuery &Query,
                             const AttemptResult &Result) {
  switch (Result.End) {
  case AttemptEnd::Refused:
  case AttemptEnd::NotReached:
  case AttemptEnd::EngineLost:
  case AttemptEnd::Silent:
    return Broker_.takeRetry(Query.Request->Model, Query.Attempt);
  default:
    return false;
  }
}

Task<AttemptResult> RequestRunner::runAttempt(const GrantQuery &Query,
                                              const EngineGrant &Grant,
                                              const TokenConsumer &Consume) {
  AttemptInput Input;
  Input.RequestId = Query.RequestId;
  Input.Attempt = Query.Attempt;
  Input.Node = Options_.Node;
  Input.Epoch = Grant.Epoch;
  Input.Priority = Grant.Priority;
  Input.ResumeFrom = Query.ResumeFrom;
  Input.Deadline = std::min(Query.Deadline, Grant.Expiry);
  Input.SendBy = Grant.SendBy;
  Input.SilenceTimeout = Options_.SilenceTimeout;
  Input.FirstEventTimeout = std::max(
      Options_.SilenceTimeout, Grant.FirstTokenEstimate * PrefillPatience);
  Attempt_ = makeEngineAttempt(Executor_);
  http::Address Engine = Grant.Address;
  AttemptResult Result = co_await Attempt_->run(
      std::move(Engine), *Query.Request, std::move(Input), Consume);
  Attempt_.reset();
  if (needsCancel(Result.End)) {
    http::Address Peer = Grant.Address;
    // The owner repeats the cancellation if the engine cannot be told here.
    co_await cancelAtEngine(std::move(Peer), Query.RequestId, Query.Attempt);
  }
  co_return Result;
}

Task<RunResult> RequestRunner::run(GrantQuery Query, TokenConsumer Consume) {
  RunResult Total;
  RequestId_ = Query.RequestId;
  bool MayHaveRun = false;
  while (true) {
    GrantAnswer Answer = co_await Broker_.acquire(Query);
    if (Cancelled_ || !Answer.Grant) {
      if (Answer.Grant)
        Broker_.release(Query, *Answer.Grant,
                        AttemptResult{AttemptEnd::Cancelled});
      Total.Failure = std::move(Answer.Refusal);
      if (Cancelled_)
        Total.Failure = Error{ErrorKind::CallerGone};
      break;
    }
    ++Total.Attempts;
    Total.Endpoint = Answer.Grant->Endpoint;
    const AttemptResult Result =
        co_await runAttempt(Query, *Answer.Grant, Consume);
    if (Result.End == AttemptEnd::EngineLost) {
      EngineGrant Lost = *Answer.Grant;
      co_await Broker_.investigate(std::move(Lost));
    }
    Broker_.release(Query, *Answer.Grant, Result);
    Total.Tokens += Result.Tokens;
    MayHaveRun |= needsCancel(Result.End);
    if (!Total.FirstToken)
      Total.FirstToken = Result.FirstToken;
    if (Result.End == AttemptEnd::Complete) {
      Broker_.recordAnswered(Query.Request->Model);
      Total.End = Outcome::Answered;
      co_return Total;
    }
    logWarning("attempt_failed")
        .field("request_id", Query.RequestId)
        .field("attempt", Query.Attempt)
        .field("endpoint", Answer.Grant->Endpoint)
        .field("end", nameOf(Result.End))
        .field("tokens", Total.Tokens)
        .field("detail", Result.Detail);
    if (Cancelled_ || !mayRetry(Query, Result)) {
      Total.Failure = describeFailure(Result);
      break;
    }
    Query.Tried.push_back(Answer.Grant->Endpoint);
    ++Query.Attempt;
    Query.ResumeFrom = Total.Tokens;
  }
  Total.Failure->Effect = MayHaveRun ? Ran::Unknown : Ran::NotRun;
  Total.End = outcomeOf(Total.Failure->Kind);
  co_return Total;
}

void RequestRunner::cancel() {
  Cancelled_ = true;
  if (Attempt_)
    Attempt_->cancel();
  else
    Broker_.giveUp(RequestId_);
}

} // namespace cassiashed
