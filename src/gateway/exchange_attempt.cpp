#include "gateway/exchange_internal.h"

#include "gateway/duty_runner.h"
#include "http/peek.h"
#include <array>
#include <boost/asio/write.hpp>

namespace cassiashed::gateway {
namespace {

/// Covers several round trips between zones and the endpoint's own handshake.
constexpr Duration ConnectTimeout{400};
/// Delays before memory that was in use is asked for again. Engines free memory
/// when a request ends, some times a second.
constexpr Duration MinReservationRetryDelay{60};
constexpr Duration MaxReservationRetryDelay{480};
/// Priorities at the engine; 0 is served first.
constexpr int UrgentPriority = 3;
constexpr int NonUrgentPriority = 8;

} // namespace

std::string_view nameOf(AttemptResult Result) {
  static constexpr std::array<std::string_view, 7> Names = {
      "answered",      "not_sent", "not_run",  "failed",
      "failed_answer", "broken",   "suspended"};
  return Names[static_cast<std::size_t>(Result)];
}

http::Task<bool> Exchange::reserve(const Dispatch &Chosen) {
  ReservationPlans_.clear();
  for (std::size_t Index = 1; Index < Chosen.Parts.size(); ++Index) {
    if (Chosen.Parts[Index].ReservedTokens <= 0)
      continue;
    const catalog::Endpoint &Helper = Chosen.Endpoints[Index]->Entry;
    ReservationPlans_.push_back({Helper.Host, Helper.Port,
                                 std::to_string(DispatchRequest_.Work.Id) +
                                     "-" + std::to_string(SentAttempts_) + "-" +
                                     std::to_string(Index),
                                 Chosen.Parts[Index].ReservedTokens});
  }
  if (ReservationPlans_.empty())
    co_return true;
  ReservationOptions Options;
  // If this process ends, its reservations stay until they expire, so they
  // have to expire within the bounds.
  Options.Lifetime = std::min(State_.Settings.Bounds.ReservationFree * 3 / 4,
                              State_.Settings.Bounds.ReservationMax);
  Options.RenewalInterval = Options.Lifetime / 3;
  const catalog::Endpoint &DecodeEngine = Chosen.Endpoints.front()->Entry;
  Options.DecodeEngine = {DecodeEngine.Host, DecodeEngine.Port};
  Reservations_ = makeReservations(State_.Context, State_.Protocol, Options);
  std::vector<ReservationPlan> Plans = ReservationPlans_;
  const bool Reserved = co_await Reservations_->acquire(std::move(Plans));
  if (!Reserved)
    Reservations_.reset();
  co_return Reserved;
}

Duration Exchange::reservationRetryDelay() {
  const Duration Longest = std::min(
      MaxReservationRetryDelay,
      MinReservationRetryDelay * (1 << std::min(8, FailedReservations_)));
  ++FailedReservations_;
  std::uniform_int_distribution<Duration::rep> Spread(Longest.count() / 2,
                                                      Longest.count());
  return Duration(Spread(State_.Random));
}

void Exchange::releaseReservations() {
  if (!Reservations_)
    return;
  Reservations_->release();
  Reservations_.reset();
}

http::Task<EndpointConnectionPtr>
Exchange::openConnection(const EndpointRef &Endpoint) {
  EndpointConnectionPtr Connection;
  // A request that must not run twice gets a new connection: on a reused one, a
  // reset does not show whether the request arrived. So does a request without
  // an id: its answer cannot be told from one to an earlier request.
  if (Route_->isRetryable() && SentAttempts_ == 0 &&
      !RequestHead_.AttemptId.empty())
    Connection = State_.Pool.takeIdle(Endpoint->Number, State_.now());
  if (!Connection) {
    const Duration Timeout = std::min(ConnectTimeout, remainingTime());
    State_.Pool.closeIdleAbove(Endpoint->Number,
                               State_.connectionShare(*Endpoint));
    Connection = co_await State_.Pool.connect(Endpoint->Entry, Endpoint->Number,
                                              Timeout);
    if (!Connection) {
      State_.recordOutcome(*Endpoint, EndpointOutcome::Unreachable);
      State_.confirmCrashes(*Endpoint);
    }
  }
  co_return Connection;
}

std::string Exchange::formatForwardedHead(const Dispatch &Chosen) {
  Forwarding Added;
  Added.EndpointId = Chosen.Endpoints.front()->Entry.Id;
  if (Workspace_)
    Added.Workspace = Workspace_->Name;
  Added.Remaining = remainingTime();
  Added.Priority =
      DispatchRequest_.Work.Urgent ? UrgentPriority : NonUrgentPriority;
  Added.LastEventId = Continuity_.lastId().empty() ? RequestHead_.LastEventId
                                                   : Continuity_.lastId();
  std::size_t NextPlan = 0;
  for (std::size_t Index = 1; Index < Chosen.Endpoints.size(); ++Index) {
    HelperAssignment Helper;
    Helper.Address = Chosen.Endpoints[Index]->Entry.address();
    if (Chosen.Parts[Index].ReservedTokens > 0 &&
        NextPlan < ReservationPlans_.size())
      Helper.ReservationId = ReservationPlans_[NextPlan++].Id;
    Added.Helpers.push_back(std::move(Helper));
  }
  const http::Headers Fields =
      State_.Protocol.makeForwardedFields(Request_.Fields, Added);
  return formatRequestHead(Request_.Method, Request_.Target, Fields,
                           Body_->size(), Request_.HasBody);
}

void Exchange::cancelIfCallerLeft() {
  const http::Readable State = http::probeReadable(Caller_);
  if (State == http::Readable::Closed ||
      (State == http::Readable::Bytes && http::hasPeerEnded(Caller_)))
    cancel(CancelReason::CallerDisconnected);
}

bool Exchange::excludeUnusable(const Dispatch &Chosen) {
  bool AllUsable = true;
  for (const EndpointRef &Endpoint : Chosen.Endpoints) {
    if (State_.Directory.isUsable(*Endpoint) &&
        Endpoint->PausedUntil <= State_.now())
      continue;
    AllUsable = false;
    exclude(*Endpoint);
    State_.Log.write("endpoint_left_before_send", State_.now(),
                     [&](LogLine &Line) {
                       Line.field("id", RequestHead_.AttemptId)
                           .field("endpoint", Endpoint->Entry.Id);
                     });
  }
  return AllUsable;
}

void Exchange::recordSent(const Dispatch &Chosen) {
  const TimePoint Now = State_.now();
  Assignment Work;
  Work.Request = DispatchRequest_.Work;
  for (std::size_t Index = 0; Index < Chosen.Endpoints.size(); ++Index)
    Work.Parts.push_back(
        {Chosen.Endpoints[Index]->Entry.Id, Chosen.Parts[Index]});
  State_.Load.assign(Work, Now);
  if (!IsCountedByPlacer_ && isWorkAnnounced())
    State_.Nodes->announceStart(Work, "");
  IsWorkAssigned_ = true;
  if (SentAttempts_ == 0)
    State_.Retries.recordFirstAttempt(Service_->Name, Now);
  ++SentAttempts_;
  const EndpointRef &Endpoint = Chosen.Endpoints.front();
  exclude(*Endpoint);
  if (Endpoint->ColdUntil > Now && !IsCountedByPlacer_)
    State_.Cold.recordSent(Endpoint->Number, Now);
  SentAt_ = Now;
  State_.expectFirstToken(*Endpoint, DispatchRequest_.Work,
                          Chosen.FirstTokenMs);
  std::string Helpers;
  for (std::size_t Index = 1; Index < Chosen.Endpoints.size(); ++Index) {
    if (!Helpers.empty())
      Helpers += ',';
    Helpers += Chosen.Endpoints[Index]->Entry.Id;
  }
  State_.Log.write("attempt_sent", Now, [&](LogLine &Line) {
    Line.field("id", RequestHead_.AttemptId)
        .field("attempt", SentAttempts_)
        .field("service", Service_->Name)
        .field("endpoint", Endpoint->Entry.Id)
        .field("engines", Chosen.Endpoints.size())
        .field("helpers", Helpers)
        .field("prompt_tokens", DispatchRequest_.Work.PromptTokens)
        .field("predicted_ms", static_cast<int>(Chosen.FirstTokenMs))
        .field("loss_others", Chosen.LossToOthers)
        .field("loss_later", Chosen.LossToLater)
        .field("urgent", Chosen.Urgent)
        .field("work", DispatchRequest_.Work.Id)
        .field("placer", Placer_)
        .field("left_ms", remainingTime().count())
        .field("config", Config_->Version);
  });
}

bool Exchange::isWorkAnnounced() const {
  return Service_->Engine || !State_.Nodes->hasRoles();
}

void Exchange::exclude(const catalog::KnownEndpoint &Endpoint) {
  DispatchRequest_.Excluded.insert(Endpoint.Number);
  ExcludedIds_.push_back(Endpoint.Entry.Id);
}

void Exchange::finishWork() {
  if (!IsWorkAssigned_ && !IsCountedByPlacer_)
    return;
  IsWorkAssigned_ = false;
  IsCountedByPlacer_ = false;
  State_.finishWork(DispatchRequest_.Work.Id);
  if (isWorkAnnounced())
    State_.Nodes->announceFinish(DispatchRequest_.Work.Id);
}

void Exchange::recordFirstByte(const Dispatch &Chosen) {
  if (Reservations_)
    Reservations_->recordAnswerStarted();
  if (FirstByteSeen_)
    return;
  FirstByteSeen_ = true;
  if (State_.Duties && Workspace_ && !IsUsageCounted_) {
    IsUsageCounted_ = true;
    State_.Duties->countRequest(Workspace_->Name);
  }
  const TimePoint Now = State_.now();
  State_.Load.markStarted(DispatchRequest_.Work.Id, Now);
  if (Service_->Engine) {
    State_.Nodes->announceFirstToken(DispatchRequest_.Work.Id);
    const double ActualMs =
        std::chrono::duration<double, std::milli>(Now - SentAt_).count();
    State_.Metrics->observePrediction(Chosen.FirstTokenMs, ActualMs);
    State_.Log.write("first_token", Now, [&](LogLine &Line) {
      Line.field("id", RequestHead_.AttemptId)
          .field("endpoint", Chosen.Endpoints.front()->Entry.Id)
          .field("engines", Chosen.Endpoints.size())
          .field("prompt_tokens", DispatchRequest_.Work.PromptTokens)
          .field("predicted_ms", static_cast<int>(Chosen.FirstTokenMs))
          .field("seen_ms", static_cast<int>(ActualMs));
    });
  }
  State_.Metrics->observeFirstByte(
      catalog::nameOf(Route_->Kind), Workspace_ ? Workspace_->Name : "none",
      std::chrono::duration_cast<Duration>(Now - Request_.ReceivedAt));
}

void Exchange::recordTokenGap() {
  const TimePoint Now = State_.now();
  if (LastPieceSentAt_ != TimePoint())
    LongestTokenGap_ =
        std::max(LongestTokenGap_,
                 std::chrono::duration_cast<Duration>(Now - LastPieceSentAt_));
  LastPieceSentAt_ = Now;
}

void Exchange::recordInterruption(const EndpointRef &Endpoint) {
  const TimePoint Now = State_.now();
  if (CancelReason_ != CancelReason::None || SuspendedSendsAgain_)
    return; // this node closed the connection
  State_.recordOutcome(*Endpoint, EndpointTimedOut_
                                      ? EndpointOutcome::Unresponsive
                                      : EndpointOutcome::Broken);
  if (!EndpointTimedOut_)
    State_.InterruptedRuns.push_back({ContentHash_, Endpoint, Now});
}

http::Task<AttemptResult> Exchange::attempt(const Dispatch &Chosen) {
  const EndpointRef Endpoint = Chosen.Endpoints.front();
  const bool Reserved = co_await reserve(Chosen);
  if (!Reserved) {
    finishWork();
    co_await http::sleepFor(reservationRetryDelay());
    co_return AttemptResult::NotSent;
  }
  EndpointConnectionPtr Connection;
  if (CancelReason_ == CancelReason::None)
    Connection = co_await openConnection(Endpoint);
  KeyNotConfirmed_ = CancelReason_ == CancelReason::None && !isKeyStillValid();
  if (KeyNotConfirmed_) {
    finishWork();
    releaseReservations();
    co_return AttemptResult::NotSent;
  }
  if (!Connection)
    exclude(*Endpoint);
  cancelIfCallerLeft();
  const bool AllUsable = excludeUnusable(Chosen);
  // The shutdown may have begun, or gone on, while memory was reserved.
  if (!Connection || CancelReason_ != CancelReason::None || !AllUsable ||
      SuspendedSendsAgain_ || isTooLateToStart(Chosen.FirstTokenMs)) {
    finishWork();
    releaseReservations();
    co_return AttemptResult::NotSent;
  }
  ActiveConnection_ = Connection.get();
  EndpointTimedOut_ = false;
  FailureCause_.clear();
  EndpointFraming_.reset();
  FirstByteSeen_ = false;
  const auto Sending = std::make_shared<PendingWrite>();
  Sending->Head = formatForwardedHead(Chosen);
  Sending->Body = Body_;
  recordSent(Chosen);
  const std::array<asio::const_buffer, 2> Buffers = {
      asio::buffer(Sending->Head), asio::buffer(*Sending->Body)};
  asio::async_write(Connection->Socket, Buffers,
                    [Sending](Code Failure, std::size_t) {
                      Sending->Done = true;
                      Sending->Failure = Failure;
                    });
  std::unique_ptr<ResponseParser> Parser = makeResponseParser();
  const AttemptResult Result =
      co_await receive(Chosen, Connection, Sending, std::move(Parser));
  ActiveConnection_ = nullptr;
  IsRelaying_ = false;
  setEndpointDeadline(TimePoint::max());
  Connection.reset();
  finishWork();
  releaseReservations();
  logAttemptEnd(Endpoint, Result);
  co_return Result;
}

void Exchange::logAttemptEnd(const EndpointRef &Endpoint,
                             AttemptResult Result) {
  State_.Metrics->countAttempt(nameOf(Result));
  State_.Log.write("attempt_ended", State_.now(), [&](LogLine &Line) {
    Line.field("id", RequestHead_.AttemptId)
        .field("attempt", SentAttempts_)
        .field("endpoint", Endpoint->Entry.Id)
        .field("result", nameOf(Result))
        .field("framing", EndpointFraming_ ? nameOf(*EndpointFraming_) : "none")
        .field("silent", EndpointTimedOut_)
        .field("cause", FailureCause_);
  });
}

} // namespace cassiashed::gateway
