#include "gateway/exchange_parts.h"

#include "cassiashed/balancing/shutdown_admission.h"
#include "cassiashed/base/hash.h"
#include "gateway/placement_log.h"
#include "http/peek.h"

namespace cassiashed::gateway {
namespace {

/// Deadline of a request whose caller and route state none.
constexpr Duration DefaultDeadline{30000};
/// A request that only cold endpoints could serve waits for them this part of
/// its target, then it is refused.
constexpr double WaitPart = 0.125;
constexpr Duration WaitStep{15};
/// A request that is refused for others' sake should come back as late as its
/// caller still waits for it: callers wait for a third of the time left.
constexpr double ReturnPart = 0.3;
/// How often a late request looks for calm engines; spread so that requests
/// which began to wait together do not look together.
constexpr int WaitStepMinMs = 40;
constexpr int WaitStepMaxMs = 90;
/// Token price of an output token relative to a prompt token, for the value of
/// a request: decoding takes a step, prefill a small part of one.
constexpr double OutputTokenWeight = 10;
constexpr double TokensPerValue = 10000;
constexpr Duration QuarantineRetry{5000};
constexpr Duration NoConfigRetry{1000};
/// Another node may know the keys; callers reach one when they come back.
constexpr Duration KeysUnknownRetry{300};

} // namespace

Duration Exchange::left() const {
  return std::chrono::duration_cast<Duration>(EndsAt_ - State_.now());
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
    const bool NeedsKey = !Route_->AllowsAnonymous || !Head_.ApiKey.empty();
    if (NeedsKey && !State_.knowsKeys()) {
      Reason = "cannot tell which keys are valid";
      return 503;
    }
    Workspace_ = Config_->findWorkspace(Head_.ApiKey);
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

bool Exchange::keyStillHolds() const {
  if (!Workspace_ || !State_.Settings.Bounds.RevokeFailClosed)
    return true;
  if (!State_.knowsKeys())
    return false;
  const catalog::Workspace *Now = State_.Config->findWorkspace(Head_.ApiKey);
  return Now && Now->Name == Workspace_->Name;
}

std::string Exchange::chooseService() {
  double Total = 0;
  for (const catalog::WeightedService &Each : Route_->Services)
    Total += std::max(0.0, Each.Weight);
  std::uniform_real_distribution<double> Pick(0, Total);
  double At = Total > 0 ? Pick(State_.Random) : 0;
  for (const catalog::WeightedService &Each : Route_->Services) {
    At -= std::max(0.0, Each.Weight);
    if (At < 0)
      return Each.Service;
  }
  return Route_->Services.back().Service;
}

void Exchange::prepareWork() {
  Duration Total = Head_.Deadline.value_or(DefaultDeadline);
  if (Route_->Timeout.count() > 0)
    Total = std::min(Total, Route_->Timeout);
  EndsAt_ = Request_.ReceivedAt + Total;
  Content_ = hashBytes(Request_.Body,
                       hashBytes(Request_.Target, hashBytes(Head_.ApiKey)));
  Wanted_.Target = Service_;
  Wanted_.Regions = Route_->Regions;
  balancing::PlacementRequest &Work = Wanted_.Work;
  Work.Id = State_.NextWorkId++;
  Work.RequestClass = hashBytes(
      Service_->Name + '/' + std::to_string(Route_->FirstByteTarget.count()) +
      '/' + std::to_string(Route_->TokenGapTarget.count()));
  Work.PromptTokens = Head_.PromptTokens;
  Work.OutputTokens = Head_.OutputTokens;
  Work.MaxTokenGapMs = static_cast<double>(Route_->TokenGapTarget.count());
  Work.Value = (Head_.PromptTokens + OutputTokenWeight * Head_.OutputTokens) /
               TokensPerValue;
}

bool Exchange::isTooLateToStart() const {
  if (!State_.Stopping)
    return false;
  Duration Expected = left();
  if (Service_->Engine)
    Expected = std::min(Expected, balancing::expectedDuration(
                                      *Service_->Engine, Head_.PromptTokens,
                                      Head_.MaxOutputTokens));
  const auto SinceStop =
      std::chrono::duration_cast<Duration>(State_.now() - State_.StopBegan);
  return !balancing::canFinishBeforeShutdown(Expected, SinceStop,
                                             State_.Settings.Bounds.Grace);
}

void Exchange::armLimit() {
  const TimePoint At = std::min(EndsAt_, SilentAt_);
  if (At >= ArmedFor_)
    return; // the earlier expiry arms the next one
  ArmedFor_ = At;
  Limit_.expires_at(At);
  std::weak_ptr<Exchange> Weak = weak_from_this();
  Limit_.async_wait([Weak](Code Failure) {
    const auto Self = Weak.lock();
    if (Self && !Failure)
      Self->onLimit();
  });
}

void Exchange::setSilenceLimit(TimePoint At) {
  SilentAt_ = At;
  armLimit();
}

void Exchange::onLimit() {
  ArmedFor_ = TimePoint::max();
  const TimePoint Now = State_.now();
  if (Now >= EndsAt_) {
    end(Ending::TimedOut);
    return;
  }
  if (Now >= SilentAt_ && Current_) {
    Silent_ = true;
    SilentAt_ = TimePoint::max();
    Code Ignored;
    Current_->Socket.close(Ignored);
  }
  armLimit();
}

void Exchange::end(Ending Why) {
  if (Ending_ != Ending::None)
    return;
  Ending_ = Why;
  Code Ignored;
  if (Current_)
    Current_->Socket.close(Ignored);
  // Ends a write to a caller that does not read.
  if (AnswerBegun_)
    Caller_.cancel(Ignored);
}

void Exchange::watchCaller() {
  std::weak_ptr<Exchange> Weak = weak_from_this();
  Caller_.async_wait(Tcp::socket::wait_read, [Weak](Code Failure) {
    const auto Self = Weak.lock();
    if (!Self || Failure)
      return;
    const http::Readable Next = http::probeReadable(Self->Caller_);
    if (Next == http::Readable::Nothing)
      Self->watchCaller();
    else if (Next == http::Readable::Closed)
      Self->end(Ending::CallerGone);
    // Otherwise the next request is already there.
  });
}

PlacementDecision Exchange::decideAlone(TimePoint Now,
                                        const PlacementContext &Context) {
  PlacementDecision Decision;
  // The placers use what cold engines bear.
  Wanted_.ColdStartSharers.reset();
  if (State_.Placement->isUsedFor(*Service_))
    Wanted_.ColdStartSharers = 0;
  Decision.Chosen = State_.Dispatcher.choose(Wanted_, Now, State_.Random);
  const bool HasEngine = !Decision.Chosen.Endpoints.empty();
  if (Service_->Engine && HasEngine && !Context.IsRetry) {
    const balancing::AdmissionDecision Decided = State_.Admission.decide(
        Decision.Chosen, Wanted_.Work, Context.WaitedMs, Context.TotalMs, Now);
    Decision.Next = Decided.Next;
    Decision.Chosen.Urgent = Decided.Urgent;
    if (Decided.Next == balancing::Admission::Refuse)
      logAdmissionRefusal(State_, Wanted_, Decision.Chosen, Decided.Reason,
                          Now);
  }
  if (Service_->Engine && !HasEngine) {
    if (!Context.IsRetry)
      State_.Admission.recordPlacementFailure(Decision.Chosen, Wanted_.Work,
                                              Now);
    logPlacementFailure(State_, Wanted_, Decision.Chosen, Now);
  }
  std::uniform_int_distribution<int> Spread(WaitStepMinMs, WaitStepMaxMs);
  Decision.LookAgain = Duration(Spread(State_.Random));
  return Decision;
}

http::Task<PlacementDecision> Exchange::decide(TimePoint Now) {
  PlacementContext Context;
  Context.WaitedMs =
      std::chrono::duration<double, std::milli>(Now - Request_.ReceivedAt)
          .count();
  Context.TotalMs =
      std::chrono::duration<double, std::milli>(EndsAt_ - Request_.ReceivedAt)
          .count();
  Context.IsRetry = Sends_ > 0;
  if (State_.Placement->isUsedFor(*Service_)) {
    Context.ExcludedIds = ExcludedIds_;
    std::optional<PlacementDecision> Shared =
        co_await State_.Placement->ask(Wanted_, Context);
    if (Shared)
      co_return std::move(*Shared);
  }
  co_return decideAlone(State_.now(), Context);
}

http::Task<Dispatch> Exchange::dispatch() {
  const TimePoint GiveUpAt =
      State_.now() + std::chrono::duration_cast<TimePoint::duration>(
                         Route_->FirstByteTarget * WaitPart);
  // The end of the last attempt may be heard after the question for the next.
  Wanted_.Work.Id = State_.NextWorkId++;
  Dispatch Chosen;
  while (true) {
    const TimePoint Now = State_.now();
    State_.Dispatcher.setNodeCount(State_.sharingNodes());
    Wanted_.Work.DeadlineMs = static_cast<double>(left().count());
    Wanted_.Work.FirstTokenMs =
        std::chrono::duration<double, std::milli>(Request_.ReceivedAt +
                                                  Route_->FirstByteTarget - Now)
            .count();
    PlacementDecision Decision = co_await decide(Now);
    Chosen = std::move(Decision.Chosen);
    IsCounted_ = Decision.IsCounted;
    Placer_ = Decision.Placer;
    Wanted_.Work.Urgent = Chosen.Urgent;
    if (Ending_ != Ending::None) {
      finishWork();
      break;
    }
    Duration Step = WaitStep;
    if (Decision.Next == balancing::Admission::Refuse) {
      Chosen = Dispatch{};
      Chosen.Failure = balancing::DispatchFailure::CostsOthers;
      Chosen.RetryAfter =
          std::chrono::duration_cast<Duration>(left() * ReturnPart);
      break;
    }
    if (Decision.Next == balancing::Admission::Wait) {
      Step = Decision.LookAgain;
    } else {
      const bool CanWait =
          Chosen.Failure == balancing::DispatchFailure::AllCold &&
          Now + WaitStep < GiveUpAt;
      if (!Chosen.Endpoints.empty() || !CanWait)
        break;
    }
    co_await http::sleepFor(Step);
  }
  co_return Chosen;
}

bool Exchange::mayTryAgain(AttemptEnd End) {
  if (Ending_ != Ending::None || KeyLapsed_)
    return false;
  switch (End) {
  case AttemptEnd::Answered:
    return false;
  case AttemptEnd::NotSent:
    return true;
  case AttemptEnd::NotRun:
    break;
  case AttemptEnd::Failed:
  case AttemptEnd::FailedAnswer:
    if (!Route_->isRetryable())
      return false;
    break;
  case AttemptEnd::Broken:
    // Goes on after the last event that the caller has.
    if (!Route_->Resumable || CallerHead_.Body == Framing::Length)
      return false;
    break;
  }
  if (Sends_ >= std::max(1, Route_->MaxAttempts))
    return false;
  return State_.Retries.tryConsume(Service_->Name, State_.sharingNodes(),
                                   State_.now());
}

http::Task<bool> Exchange::run() {
  ++State_.ActiveRequests;
  Head_ = State_.Protocol.readCallerHead(Request_.Fields);
  std::string Reason;
  const int Refusal = resolve(Reason);
  if (Refusal != 0) {
    std::optional<Duration> RetryAfter;
    if (Refusal == 503)
      RetryAfter = Config_ ? KeysUnknownRetry : NoConfigRetry;
    co_await answerOwn(Refusal, RetryAfter, Reason);
  } else {
    prepareWork();
    Body_ = std::make_shared<const std::string>(std::move(Request_.Body));
    Request_.Body.clear();
    const TimePoint Now = State_.now();
    if (State_.Crashes.isRefused(Content_, Now)) {
      co_await answerOwn(503, QuarantineRetry, "content crashed endpoints");
    } else if (isTooLateToStart()) {
      co_await answerOwn(503, Duration(0), "stopping");
    } else {
      armLimit();
      watchCaller();
      Dispatch Chosen;
      AttemptEnd Last = AttemptEnd::NotSent;
      bool Again = true;
      while (Again) {
        Chosen = co_await dispatch();
        if (Chosen.Endpoints.empty() || Ending_ != Ending::None)
          break;
        Last = co_await attempt(Chosen);
        Again = mayTryAgain(Last);
      }
      co_await answerEnd(Last, Chosen);
    }
  }
  if (Outcome_.empty())
    Outcome_ = Ending_ == Ending::CallerGone ? "caller_gone"
               : AnswerComplete_             ? "answered"
                                             : "broken_off";
  State_.Metrics->countOutcome(
      Route_ ? catalog::nameOf(Route_->Kind) : "unrouted", Outcome_);
  if (Service_ && Service_->Engine)
    State_.Metrics->countPrompt(Route_->Name, Head_.PromptTokens, Outcome_);
  State_.Log.write("request_ended", State_.now(), [&](LogLine &Line) {
    Line.field("id", Head_.AttemptId)
        .field("route", Route_ ? Route_->Name : "none")
        .field("workspace", Workspace_ ? Workspace_->Name : "none")
        .field("outcome", Outcome_)
        .field("prompt_tokens", Head_.PromptTokens)
        .field("attempts", Sends_)
        .field("longest_pause_ms", LongestPause_.count())
        .field("took_ms", std::chrono::duration_cast<Duration>(
                              State_.now() - Request_.ReceivedAt)
                              .count());
  });
  Limit_.cancel();
  Code Ignored;
  Caller_.cancel(Ignored);
  --State_.ActiveRequests;
  co_return AnswerComplete_ &&Request_.KeepAlive && !State_.Stopping;
}

http::Task<bool> serveRequest(GatewayState &State, Tcp::socket &Caller,
                              ReceivedRequest &Request) {
  const auto Work = std::make_shared<Exchange>(State, Caller, Request);
  const bool KeepAlive = co_await Work->run();
  co_return KeepAlive;
}

} // namespace cassiashed::gateway
