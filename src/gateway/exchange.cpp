#include "gateway/exchange_internal.h"

#include "cassiashed/balancing/shutdown_admission.h"
#include "cassiashed/base/hash.h"
#include "gateway/placement_log.h"
#include "http/peek.h"

namespace cassiashed::gateway {
namespace {

/// Deadline of a request if neither its caller nor its route states one.
constexpr Duration DefaultDeadline{30000};
/// A request that only cold endpoints could serve waits for them during this
/// fraction of its first-byte target; then it is refused.
constexpr double ColdWaitFraction = 0.125;
constexpr Duration ColdRetryInterval{15};
/// `Retry-After` of a request that is refused in favour of others, as a
/// fraction of its remaining time. The retry should come as late as possible,
/// but callers wait for at most a third of that time.
constexpr double RetryAfterFraction = 0.3;
/// Delay before placement is retried for a request that waits for less loaded
/// engines. It is random, so that requests that began to wait together do not
/// retry together.
constexpr int MinPlacementRetryMs = 40;
constexpr int MaxPlacementRetryMs = 90;
/// A stream that broke midway waits this long for an endpoint that can resume
/// it. Its caller could only start the same search at another node.
constexpr Duration MaxResumeWait{1500};
/// Weight of an output token relative to a prompt token in the value of a
/// request: an output token takes a whole decode step, a prompt token a small
/// part of a prefill step.
constexpr double OutputTokenWeight = 10;
constexpr double TokensPerValue = 10000;
/// How often a request whose endpoint is silent checks whether another one
/// could take over.
constexpr Duration SilenceCheckPeriod{250};
/// How often the connection of a caller with unread bytes is looked at. Its run
/// should end within half a second of its leaving.
constexpr Duration CallerCheckPeriod{200};
constexpr Duration QuarantineRetryAfter{5000};
constexpr Duration NoConfigRetryAfter{1000};
/// Another node may know the keys; a caller that retries may reach it.
constexpr Duration KeysUnknownRetryAfter{300};

} // namespace

Duration Exchange::remainingTime() const {
  return std::chrono::duration_cast<Duration>(Deadline_ - State_.now());
}

int Exchange::resolve(std::string &Reason) {
  Config_ = State_.Config;
  if (!Config_) {
    Reason = "no configuration yet";
    return 503;
  }
  const std::string_view Target = Request_.Target;
  const std::string_view Path = Target.substr(0, Target.find('?'));
  std::string_view Host = http::findHeader(Request_.Fields, "Host");
  Route_ = Config_->findRoute(Host, Path);
  if (!Route_) {
    Host = Host.substr(0, Host.rfind(':'));
    Route_ = Config_->findRoute(Host, Path);
  }
  if (!Route_) {
    Reason = "no route";
    return 404;
  }
  if (Config_->HasWorkspaces) {
    const bool NeedsKey =
        !Route_->AllowsAnonymous || !RequestHead_.ApiKey.empty();
    if (NeedsKey && !State_.knowsKeys()) {
      Reason = "cannot tell which keys are valid";
      return 503;
    }
    Workspace_ = Config_->findWorkspace(RequestHead_.ApiKey);
    if (!Workspace_ && !Route_->AllowsAnonymous) {
      Reason = "unknown key";
      return 401;
    }
  }
  Service_ = Config_->findService(chooseService());
  if (!Service_) {
    Reason = "the route's service is not configured";
    return 503;
  }
  return 0;
}

bool Exchange::isKeyStillValid() const {
  if (!Workspace_ || !State_.Settings.Bounds.RevokeFailClosed)
    return true;
  if (!State_.knowsKeys())
    return false;
  const catalog::Workspace *Current =
      State_.Config->findWorkspace(RequestHead_.ApiKey);
  return Current && Current->Name == Workspace_->Name;
}

std::string Exchange::chooseService() {
  double Total = 0;
  for (const catalog::WeightedService &Candidate : Route_->Services)
    Total += std::max(0.0, Candidate.Weight);
  std::uniform_real_distribution<double> Pick(0, Total);
  double RemainingWeight = Total > 0 ? Pick(State_.Random) : 0;
  for (const catalog::WeightedService &Candidate : Route_->Services) {
    RemainingWeight -= std::max(0.0, Candidate.Weight);
    if (RemainingWeight < 0)
      return Candidate.Service;
  }
  return Route_->Services.back().Service;
}

void Exchange::preparePlacementRequest() {
  Duration Total = RequestHead_.Deadline.value_or(DefaultDeadline);
  if (Route_->Timeout.count() > 0)
    Total = std::min(Total, Route_->Timeout);
  Deadline_ = Request_.ReceivedAt + Total;
  ContentHash_ =
      hashBytes(Request_.Body,
                hashBytes(Request_.Target, hashBytes(RequestHead_.ApiKey)));
  DispatchRequest_.Target = Service_;
  DispatchRequest_.Regions = Route_->Regions;
  balancing::PlacementRequest &Work = DispatchRequest_.Work;
  Work.Id = State_.NextWorkId++;
  Work.RequestClass = hashBytes(
      Service_->Name + '/' + std::to_string(Route_->FirstByteTarget.count()) +
      '/' + std::to_string(Route_->TokenGapTarget.count()));
  Work.PromptTokens = RequestHead_.PromptTokens;
  Work.OutputTokens = RequestHead_.OutputTokens;
  Work.MaxTokenGapMs = static_cast<double>(Route_->TokenGapTarget.count());
  Work.Value = (RequestHead_.PromptTokens +
                OutputTokenWeight * RequestHead_.OutputTokens) /
               TokensPerValue;
}

bool Exchange::isTooLateToStart(double FirstTokenMs) const {
  // Nobody else can finish an answer that has started.
  if (!State_.Stopping || AnswerStarted_)
    return false;
  balancing::RequestAtShutdown Request;
  Request.Remaining = remainingTime();
  Request.Expected = Request.Remaining;
  if (Service_->Engine)
    Request.Expected = balancing::expectedDuration(
        *Service_->Engine, FirstTokenMs, RequestHead_.MaxOutputTokens);
  Request.SinceShutdown =
      std::chrono::duration_cast<Duration>(State_.now() - State_.StoppingSince);
  return !balancing::canFinishBeforeShutdown(Request,
                                             State_.Settings.Bounds.Grace);
}

double Exchange::idleFirstTokenMs() const {
  return Service_->Engine ? engine::prefillMs(*Service_->Engine, 0,
                                              RequestHead_.PromptTokens)
                          : 0;
}

void Exchange::armTimeoutTimer() {
  const TimePoint At = std::min(Deadline_, EndpointDeadline_);
  if (At >= TimerExpiry_)
    return; // onTimeout() rearms the timer after the earlier expiry
  TimerExpiry_ = At;
  TimeoutTimer_.expires_at(At);
  std::weak_ptr<Exchange> Weak = weak_from_this();
  TimeoutTimer_.async_wait([Weak](Code Failure) {
    const auto Self = Weak.lock();
    if (Self && !Failure)
      Self->onTimeout();
  });
}

void Exchange::setEndpointDeadline(TimePoint At) {
  EndpointDeadline_ = At;
  armTimeoutTimer();
}

void Exchange::onTimeout() {
  TimerExpiry_ = TimePoint::max();
  const TimePoint Now = State_.now();
  if (Now >= Deadline_) {
    cancel(CancelReason::DeadlinePassed);
    return;
  }
  if (Now >= EndpointDeadline_ && ActiveConnection_) {
    // An attempt that should continue a broken stream is the only one left,
    // also before its head has arrived.
    const bool CanGoOnElsewhere =
        AnswerStarted_ ? (IsRelaying_ || Suspended_) && canResumeElsewhere()
                       : canRetryElsewhere();
    if (CanGoOnElsewhere)
      abandonEndpoint();
    else
      EndpointDeadline_ = Now + SilenceCheckPeriod;
  }
  armTimeoutTimer();
}

void Exchange::abandonEndpoint() {
  EndpointTimedOut_ = true;
  EndpointDeadline_ = TimePoint::max();
  Code Ignored;
  if (canSuspend())
    ActiveConnection_->Socket.cancel(Ignored); // the attempt may be resumed
  else
    ActiveConnection_->Socket.close(Ignored);
}

bool Exchange::canRetryElsewhere() {
  if (!Route_->isRetryable())
    return false;
  DispatchRequest_.Work.DeadlineMs =
      static_cast<double>(remainingTime().count());
  return !State_.Dispatcher
              .choose(DispatchRequest_, State_.now(), State_.Random)
              .Endpoints.empty();
}

bool Exchange::canSuspend() const {
  if (Suspended_)
    return false;
  // Before the answer has begun, the caller of a silent endpoint is told so
  // unless another one is tried here.
  return AnswerStarted_ ||
         (Route_->Kind == CallKind::Stream && canSpendAttempt());
}

bool Exchange::canSpendAttempt() const {
  return allowsAnotherAttempt() && isKeyStillValid() &&
         State_.Retries.canSpendRetry(Service_->Name, State_.sharingNodes(),
                                      State_.now());
}

bool Exchange::canResumeElsewhere() {
  return isAnswerResumable() && canSpendAttempt() && canRetryElsewhere();
}

void Exchange::cancel(CancelReason Reason) {
  if (CancelReason_ != CancelReason::None)
    return;
  CancelReason_ = Reason;
  Code Ignored;
  if (ActiveConnection_)
    ActiveConnection_->Socket.close(Ignored);
  Suspended_.reset();
  // Aborts a write to a caller that does not read.
  if (AnswerStarted_)
    Caller_.cancel(Ignored);
}

void Exchange::watchCaller() {
  std::weak_ptr<Exchange> Weak = weak_from_this();
  Caller_.async_wait(Tcp::socket::wait_read, [Weak](Code Failure) {
    const auto Self = Weak.lock();
    if (!Self || Failure)
      return;
    const http::Readable State = http::probeReadable(Self->Caller_);
    if (State == http::Readable::Nothing)
      Self->watchCaller();
    else if (State == http::Readable::Closed)
      Self->cancel(CancelReason::CallerDisconnected);
    else
      Self->watchCallerBehindBytes();
  });
}

void Exchange::watchCallerBehindBytes() {
  if (http::hasPeerEnded(Caller_)) {
    cancel(CancelReason::CallerDisconnected);
    return;
  }
  std::weak_ptr<Exchange> Weak = weak_from_this();
  CallerCheckTimer_.expires_after(CallerCheckPeriod);
  CallerCheckTimer_.async_wait([Weak](Code Failure) {
    const auto Self = Weak.lock();
    if (Self && !Failure)
      Self->watchCallerBehindBytes();
  });
}

PlacementDecision Exchange::decideLocally(TimePoint Now,
                                          const PlacementContext &Context) {
  PlacementDecision Decision;
  // Placers use up the request limit of cold engines, so a node that decides
  // without them sends none there.
  DispatchRequest_.ColdStartSharers.reset();
  if (State_.Placement->isUsedFor(*Service_))
    DispatchRequest_.ColdStartSharers = 0;
  Decision.Chosen =
      State_.Dispatcher.choose(DispatchRequest_, Now, State_.Random);
  const bool FoundEndpoint = !Decision.Chosen.Endpoints.empty();
  if (Service_->Engine && FoundEndpoint && !Context.IsRetry) {
    const balancing::AdmissionDecision Decided =
        State_.Admission.decide(Decision.Chosen, DispatchRequest_.Work,
                                Context.WaitedMs, Context.TotalMs, Now);
    Decision.Next = Decided.Next;
    Decision.Chosen.Urgent = Decided.Urgent;
    if (Decided.Next == balancing::Admission::Refuse)
      logAdmissionRefusal(State_, DispatchRequest_, Decision.Chosen,
                          Decided.Reason, Now);
  }
  if (Service_->Engine && !FoundEndpoint) {
    if (!Context.IsRetry)
      State_.Admission.recordPlacementFailure(Decision.Chosen,
                                              DispatchRequest_.Work, Now);
    logPlacementFailure(State_, DispatchRequest_, Decision.Chosen, Now);
  }
  Decision.RetryPlacementAfter = placementRetryDelay();
  return Decision;
}

Duration Exchange::placementRetryDelay() {
  std::uniform_int_distribution<int> Spread(MinPlacementRetryMs,
                                            MaxPlacementRetryMs);
  return Duration(Spread(State_.Random));
}

std::vector<std::string> Exchange::endpointsNotToUse() const {
  std::vector<std::string> Ids = ExcludedIds_;
  const TimePoint Now = State_.now();
  for (const auto &[Id, Known] : State_.Directory.all())
    if (Known->Entry.Service == Service_->Name &&
        (Known->IsLeaving || Known->PausedUntil > Now))
      Ids.push_back(Id);
  return Ids;
}

http::Task<PlacementDecision> Exchange::decidePlacement(TimePoint Now) {
  PlacementContext Context;
  Context.WaitedMs =
      std::chrono::duration<double, std::milli>(Now - Request_.ReceivedAt)
          .count();
  Context.TotalMs =
      std::chrono::duration<double, std::milli>(Deadline_ - Request_.ReceivedAt)
          .count();
  Context.IsRetry = SentAttempts_ > 0;
  if (State_.Placement->isUsedFor(*Service_)) {
    Context.ExcludedIds = endpointsNotToUse();
    std::optional<PlacementDecision> Shared =
        co_await State_.Placement->ask(DispatchRequest_, Context);
    if (Shared)
      co_return std::move(*Shared);
  }
  co_return decideLocally(State_.now(), Context);
}

http::Task<Dispatch> Exchange::chooseEndpoints() {
  const TimePoint WaitUntil =
      State_.now() + std::chrono::duration_cast<TimePoint::duration>(
                         Route_->FirstByteTarget * ColdWaitFraction);
  // A new id for each attempt: a placer may receive the end of the last attempt
  // after the question for the next one.
  DispatchRequest_.Work.Id = State_.NextWorkId++;
  const TimePoint ResumeUntil = State_.now() + MaxResumeWait;
  Dispatch Chosen;
  while (true) {
    if (isTooLateToStart(idleFirstTokenMs())) {
      Chosen = Dispatch{};
      Chosen.Failure = balancing::DispatchFailure::ShuttingDown;
      break;
    }
    const TimePoint Now = State_.now();
    State_.Dispatcher.setNodeCount(State_.sharingNodes());
    DispatchRequest_.Work.DeadlineMs =
        static_cast<double>(remainingTime().count());
    DispatchRequest_.Work.FirstTokenMs =
        std::chrono::duration<double, std::milli>(Request_.ReceivedAt +
                                                  Route_->FirstByteTarget - Now)
            .count();
    PlacementDecision Decision = co_await decidePlacement(Now);
    Chosen = std::move(Decision.Chosen);
    IsCountedByPlacer_ = Decision.IsCounted;
    Placer_ = Decision.Placer;
    DispatchRequest_.Work.Urgent = Chosen.Urgent;
    if (CancelReason_ != CancelReason::None) {
      finishWork();
      break;
    }
    Duration RetryDelay = ColdRetryInterval;
    if (Decision.Next == balancing::Admission::Refuse) {
      Chosen = Dispatch{};
      Chosen.Failure = balancing::DispatchFailure::CostsOthers;
      Chosen.RetryAfter = std::chrono::duration_cast<Duration>(
          remainingTime() * RetryAfterFraction);
      break;
    }
    if (Decision.Next == balancing::Admission::Wait) {
      RetryDelay = Decision.RetryPlacementAfter;
    } else {
      if (!Chosen.Endpoints.empty())
        break;
      const bool CanWaitForWarmUp =
          Chosen.Failure == balancing::DispatchFailure::AllCold &&
          Now + ColdRetryInterval < WaitUntil;
      const bool CanWaitToResume =
          AnswerStarted_ && !SuspendedSendsAgain_ && Now < ResumeUntil;
      if (!CanWaitForWarmUp && !CanWaitToResume)
        break;
      if (CanWaitToResume)
        RetryDelay = placementRetryDelay();
    }
    co_await http::sleepFor(RetryDelay);
  }
  if (!Chosen.Endpoints.empty() && isTooLateToStart(Chosen.FirstTokenMs)) {
    finishWork();
    Chosen = Dispatch{};
    Chosen.Failure = balancing::DispatchFailure::ShuttingDown;
  }
  co_return Chosen;
}

bool Exchange::isAnswerResumable() const {
  // Resumes after the last event that the caller received.
  return Route_->Resumable && RelaysEvents_ && Continuity_.canContinue();
}

bool Exchange::allowsAnotherAttempt() const {
  return Route_->isRetryable() &&
         SentAttempts_ < std::max(1, Route_->MaxAttempts);
}

bool Exchange::shouldRetry(AttemptResult Result) {
  if (CancelReason_ != CancelReason::None || KeyNotConfirmed_)
    return false;
  switch (Result) {
  case AttemptResult::Answered:
    return false;
  case AttemptResult::NotSent:
    return true;
  case AttemptResult::NotRun:
    break;
  case AttemptResult::Failed:
  case AttemptResult::FailedAnswer:
    if (!Route_->isRetryable())
      return false;
    break;
  case AttemptResult::Broken:
  case AttemptResult::Suspended:
    if (AnswerStarted_ && !isAnswerResumable())
      return false;
    break;
  }
  if (SentAttempts_ >= std::max(1, Route_->MaxAttempts))
    return false;
  return State_.Retries.trySpendRetry(Service_->Name, State_.sharingNodes(),
                                      State_.now());
}

bool Exchange::canKeepConnection() {
  if (!Request_.KeepAlive || !State_.Stopping)
    return Request_.KeepAlive;
  // The next request is already here and needs an answer too.
  return Request_.IsFollowed ||
         http::probeReadable(Caller_) == http::Readable::Bytes;
}

void Exchange::endUnanswered() {
  if (!AnswerStarted_)
    cancel(CancelReason::ShuttingDown);
}

http::Task<bool> Exchange::run() {
  State_.ActiveRequests.insert(this);
  RequestHead_ = State_.Protocol.readCallerHead(Request_.Fields);
  std::string Reason;
  const int Refusal = resolve(Reason);
  if (Refusal != 0) {
    std::optional<Duration> RetryAfter;
    if (Refusal == 503)
      RetryAfter = Config_ ? KeysUnknownRetryAfter : NoConfigRetryAfter;
    co_await answerWithError(Refusal, RetryAfter, Reason);
  } else {
    preparePlacementRequest();
    Body_ = std::make_shared<const std::string>(std::move(Request_.Body));
    Request_.Body.clear();
    const TimePoint Now = State_.now();
    if (State_.Crashes.isRefused(ContentHash_, Now)) {
      co_await answerWithError(503, QuarantineRetryAfter,
                               "content crashed endpoints");
    } else {
      armTimeoutTimer();
      watchCaller();
      Dispatch Chosen;
      AttemptResult Last = AttemptResult::NotSent;
      bool Retry = true;
      while (Retry) {
        Chosen = co_await chooseEndpoints();
        Retry =
            !Chosen.Endpoints.empty() && CancelReason_ == CancelReason::None;
        if (Retry) {
          Last = co_await attempt(Chosen);
          Retry = !SuspendedSendsAgain_ && shouldRetry(Last);
        }
        if (Last == AttemptResult::Answered)
          Suspended_.reset();
        while (!Retry && Suspended_) {
          Last = co_await resumeSuspended();
          Retry = shouldRetry(Last);
        }
      }
      co_await sendFinalAnswer(Last, Chosen);
    }
  }
  if (Outcome_.empty())
    Outcome_ = CancelReason_ == CancelReason::CallerDisconnected ? "caller_gone"
               : AnswerComplete_                                 ? "answered"
                                                                 : "broken_off";
  State_.Metrics->countOutcome(
      Route_ ? catalog::nameOf(Route_->Kind) : "unrouted", Outcome_);
  if (Service_ && Service_->Engine)
    State_.Metrics->countPrompt(Route_->Name, RequestHead_.PromptTokens,
                                Outcome_);
  State_.Log.write("request_ended", State_.now(), [&](LogLine &Line) {
    Line.field("id", RequestHead_.AttemptId)
        .field("route", Route_ ? Route_->Name : "none")
        .field("workspace", Workspace_ ? Workspace_->Name : "none")
        .field("outcome", Outcome_)
        .field("prompt_tokens", RequestHead_.PromptTokens)
        .field("attempts", SentAttempts_)
        .field("longest_pause_ms", LongestTokenGap_.count())
        .field("took_ms", std::chrono::duration_cast<Duration>(
                              State_.now() - Request_.ReceivedAt)
                              .count());
  });
  TimeoutTimer_.cancel();
  CallerCheckTimer_.cancel();
  Code Ignored;
  Caller_.cancel(Ignored);
  State_.ActiveRequests.erase(this);
  co_return AnswerComplete_ &&Request_.KeepAlive;
}

void endUnansweredRequests(GatewayState &State) {
  for (Exchange *Request : State.ActiveRequests)
    Request->endUnanswered();
}

http::Task<bool> serveRequest(GatewayState &State, Tcp::socket &Caller,
                              ReceivedRequest &Request) {
  const auto Handler = std::make_shared<Exchange>(State, Caller, Request);
  const bool KeepAlive = co_await Handler->run();
  co_return KeepAlive;
}

} // namespace cassiashed::gateway
