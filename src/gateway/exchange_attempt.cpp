#include "gateway/exchange_parts.h"

#include "cassiashed/balancing/first_byte_timeout.h"
#include <array>
#include <boost/asio/write.hpp>
#include <limits>

namespace cassiashed::gateway {
namespace {

/// Longest wait for a connection to an endpoint: several round trips between
/// zones and the endpoint's own handshake.
constexpr Duration ConnectLimit{400};
constexpr std::uint32_t EndpointHeadBytes = 64 * 1024;
/// Answers to earlier requests that are skipped on one connection.
constexpr int MaxForeignAnswers = 3;
/// Bytes of them that are read; more cost more than a new attempt.
constexpr std::size_t MaxForeignBytes = 256 * 1024;
/// Priorities at the engine, 0 is first.
constexpr int UrgentPriority = 3;
constexpr int LatePriority = 8;

} // namespace

std::string_view nameOf(AttemptEnd End) {
  static constexpr std::array<std::string_view, 6> Names = {
      "answered", "not_sent", "not_run", "failed", "failed_answer", "broken"};
  return Names[static_cast<std::size_t>(End)];
}

http::Task<bool> Exchange::reserve(const Dispatch &Chosen) {
  Plans_.clear();
  for (std::size_t Index = 1; Index < Chosen.Parts.size(); ++Index) {
    if (Chosen.Parts[Index].ReservedTokens <= 0)
      continue;
    const catalog::Endpoint &Entry = Chosen.Endpoints[Index]->Entry;
    Plans_.push_back({Entry.Host, Entry.Port,
                      std::to_string(Wanted_.Work.Id) + "-" +
                          std::to_string(Sends_) + "-" + std::to_string(Index),
                      Chosen.Parts[Index].ReservedTokens});
  }
  if (Plans_.empty())
    co_return true;
  ReservationOptions Options;
  // A process that ends leaves its reservations until they lapse.
  Options.Hold = std::min(State_.Settings.Bounds.ReservationFree * 3 / 4,
                          State_.Settings.Bounds.ReservationMax);
  Options.Renew = Options.Hold / 3;
  const catalog::Endpoint &Writer = Chosen.Endpoints.front()->Entry;
  Options.Writer = {Writer.Host, Writer.Port};
  Reservations_ = makeReservations(State_.Context, State_.Protocol, Options);
  std::vector<ReservationPlan> Plans = Plans_;
  const bool Reserved = co_await Reservations_->acquire(std::move(Plans));
  if (!Reserved)
    Reservations_.reset();
  co_return Reserved;
}

void Exchange::releaseReservations() {
  if (!Reservations_)
    return;
  Reservations_->release();
  Reservations_.reset();
}

http::Task<LinkRef> Exchange::openLink(const EndpointRef &Peer) {
  LinkRef Link;
  // A request that must not run twice gets a connection of its own: on one
  // that was used before, a reset does not tell whether the request arrived.
  if (Route_->isRetryable() && Sends_ == 0)
    Link = State_.Pool.takeIdle(Peer->Number, State_.now());
  if (!Link) {
    const Duration Limit = std::min(ConnectLimit, left());
    State_.Pool.makeRoom(Peer->Number, State_.connectionShare(*Peer));
    Link = co_await State_.Pool.connect(Peer->Entry, Peer->Number, Limit);
    if (!Link) {
      State_.recordOutcome(*Peer, EndpointOutcome::Unreachable);
      State_.confirmCrashes(*Peer);
    }
  }
  co_return Link;
}

std::string Exchange::formatForward(const Dispatch &Chosen) {
  Forwarding Added;
  Added.EndpointId = Chosen.Endpoints.front()->Entry.Id;
  if (Workspace_)
    Added.Workspace = Workspace_->Name;
  Added.Remaining = left();
  Added.Priority = Wanted_.Work.Urgent ? UrgentPriority : LatePriority;
  Added.LastEventId =
      Events_.lastId().empty() ? Head_.LastEventId : Events_.lastId();
  std::size_t Plan = 0;
  for (std::size_t Index = 1; Index < Chosen.Endpoints.size(); ++Index) {
    HelperAssignment Helper;
    Helper.Address = Chosen.Endpoints[Index]->Entry.address();
    if (Chosen.Parts[Index].ReservedTokens > 0 && Plan < Plans_.size())
      Helper.ReservationId = Plans_[Plan++].Id;
    Added.Helpers.push_back(std::move(Helper));
  }
  const http::Headers Fields =
      State_.Protocol.makeForwardedFields(Request_.Fields, Added);
  return formatRequestHead(Request_.Method, Request_.Target, Fields,
                           Body_->size(), Request_.HasBody);
}

bool Exchange::excludeLeft(const Dispatch &Chosen) {
  bool AllStay = true;
  for (const EndpointRef &Each : Chosen.Endpoints) {
    if (State_.Directory.isUsable(*Each))
      continue;
    AllStay = false;
    exclude(*Each);
    State_.Log.write(
        "endpoint_left_before_send", State_.now(), [&](LogLine &Line) {
          Line.field("id", Head_.AttemptId).field("endpoint", Each->Entry.Id);
        });
  }
  return AllStay;
}

void Exchange::beginWork(const Dispatch &Chosen) {
  const TimePoint Now = State_.now();
  Assignment Work;
  Work.Request = Wanted_.Work;
  for (std::size_t Index = 0; Index < Chosen.Endpoints.size(); ++Index)
    Work.Parts.push_back(
        {Chosen.Endpoints[Index]->Entry.Id, Chosen.Parts[Index]});
  State_.Load.assign(Work, Now);
  if (!IsCounted_ && isWorkShared())
    State_.Nodes->announceStart(Work, "");
  WorkActive_ = true;
  if (Sends_ == 0)
    State_.Retries.recordFirstAttempt(Service_->Name, Now);
  ++Sends_;
  const EndpointRef &Peer = Chosen.Endpoints.front();
  exclude(*Peer);
  if (Peer->ColdUntil > Now && !IsCounted_)
    State_.Cold.recordSent(Peer->Number, Now);
  SentAt_ = Now;
  State_.expectFirstToken(*Peer, Wanted_.Work, Chosen.FirstTokenMs);
  std::string Helpers;
  for (std::size_t Index = 1; Index < Chosen.Endpoints.size(); ++Index) {
    if (!Helpers.empty())
      Helpers += ',';
    Helpers += Chosen.Endpoints[Index]->Entry.Id;
  }
  State_.Log.write("attempt_sent", Now, [&](LogLine &Line) {
    Line.field("id", Head_.AttemptId)
        .field("attempt", Sends_)
        .field("service", Service_->Name)
        .field("endpoint", Peer->Entry.Id)
        .field("engines", Chosen.Endpoints.size())
        .field("helpers", Helpers)
        .field("prompt_tokens", Wanted_.Work.PromptTokens)
        .field("predicted_ms", static_cast<int>(Chosen.FirstTokenMs))
        .field("loss_others", Chosen.LossToOthers)
        .field("loss_later", Chosen.LossToLater)
        .field("urgent", Chosen.Urgent)
        .field("work", Wanted_.Work.Id)
        .field("placer", Placer_)
        .field("left_ms", left().count())
        .field("config", Config_->Version);
  });
}

bool Exchange::isWorkShared() const {
  return Service_->Engine || !State_.Nodes->hasRoles();
}

void Exchange::exclude(const catalog::KnownEndpoint &Which) {
  Wanted_.Excluded.insert(Which.Number);
  ExcludedIds_.push_back(Which.Entry.Id);
}

void Exchange::finishWork() {
  if (!WorkActive_ && !IsCounted_)
    return;
  WorkActive_ = false;
  IsCounted_ = false;
  State_.finishWork(Wanted_.Work.Id);
  if (isWorkShared())
    State_.Nodes->announceFinish(Wanted_.Work.Id);
}

void Exchange::noteFirstByte(const Dispatch &Chosen) {
  if (FirstByteSeen_)
    return;
  FirstByteSeen_ = true;
  if (Reservations_)
    Reservations_->recordAnswerStarted();
  const TimePoint Now = State_.now();
  State_.Load.markStarted(Wanted_.Work.Id, Now);
  if (Service_->Engine) {
    State_.Nodes->announceFirstToken(Wanted_.Work.Id);
    const double SeenMs =
        std::chrono::duration<double, std::milli>(Now - SentAt_).count();
    State_.Metrics->observePrediction(Chosen.FirstTokenMs, SeenMs);
    State_.Log.write("first_token", Now, [&](LogLine &Line) {
      Line.field("id", Head_.AttemptId)
          .field("endpoint", Chosen.Endpoints.front()->Entry.Id)
          .field("engines", Chosen.Endpoints.size())
          .field("prompt_tokens", Wanted_.Work.PromptTokens)
          .field("predicted_ms", static_cast<int>(Chosen.FirstTokenMs))
          .field("seen_ms", static_cast<int>(SeenMs));
    });
  }
  State_.Metrics->observeFirstByte(
      catalog::nameOf(Route_->Kind), Workspace_ ? Workspace_->Name : "none",
      std::chrono::duration_cast<Duration>(Now - Request_.ReceivedAt));
}

void Exchange::notePiece() {
  const TimePoint Now = State_.now();
  if (LastPieceAt_ != TimePoint())
    LongestPause_ =
        std::max(LongestPause_,
                 std::chrono::duration_cast<Duration>(Now - LastPieceAt_));
  LastPieceAt_ = Now;
}

void Exchange::noteBroken(const EndpointRef &Peer) {
  const TimePoint Now = State_.now();
  if (Ending_ != Ending::None)
    return; // this node closed the connection
  State_.recordOutcome(*Peer, Silent_ ? EndpointOutcome::Silent
                                      : EndpointOutcome::Broken);
  if (!Silent_)
    State_.InterruptedRuns.push_back({Content_, Peer, Now});
}

http::Task<AttemptEnd> Exchange::attempt(const Dispatch &Chosen) {
  const EndpointRef Peer = Chosen.Endpoints.front();
  const bool Reserved = co_await reserve(Chosen);
  if (!Reserved) {
    finishWork();
    co_return AttemptEnd::NotSent;
  }
  LinkRef Link;
  if (Ending_ == Ending::None)
    Link = co_await openLink(Peer);
  KeyLapsed_ = Ending_ == Ending::None && !keyStillHolds();
  if (KeyLapsed_) {
    finishWork();
    releaseReservations();
    co_return AttemptEnd::NotSent;
  }
  if (!Link)
    exclude(*Peer);
  const bool AllStay = excludeLeft(Chosen);
  if (!Link || Ending_ != Ending::None || !AllStay) {
    finishWork();
    releaseReservations();
    co_return AttemptEnd::NotSent;
  }
  Current_ = Link.get();
  Silent_ = false;
  Cause_.clear();
  FirstByteSeen_ = false;
  const auto Sending = std::make_shared<PendingWrite>();
  Sending->Head = formatForward(Chosen);
  Sending->Body = Body_;
  beginWork(Chosen);
  const std::array<asio::const_buffer, 2> Buffers = {
      asio::buffer(Sending->Head), asio::buffer(*Sending->Body)};
  asio::async_write(Link->Socket, Buffers,
                    [Sending](Code Failure, std::size_t) {
                      Sending->Done = true;
                      Sending->Failure = Failure;
                    });
  AttemptEnd End = co_await receive(Chosen, Link, Sending);
  Current_ = nullptr;
  setSilenceLimit(TimePoint::max());
  Link.reset();
  finishWork();
  releaseReservations();
  State_.Metrics->countAttempt(nameOf(End));
  State_.Log.write("attempt_ended", State_.now(), [&](LogLine &Line) {
    Line.field("id", Head_.AttemptId)
        .field("attempt", Sends_)
        .field("endpoint", Peer->Entry.Id)
        .field("result", nameOf(End))
        .field("silent", Silent_)
        .field("cause", Cause_);
  });
  co_return End;
}

TimePoint Exchange::firstByteLimit(const Dispatch &Chosen) const {
  balancing::SentRequest Sent;
  Sent.IsStream = Route_->Kind == CallKind::Stream;
  Sent.Predicted =
      Duration(static_cast<Duration::rep>(std::min(1e6, Chosen.FirstTokenMs)));
  Sent.Engines = Chosen.Endpoints.size();
  Sent.Left = left();
  Sent.CanRetryElsewhere =
      Route_->isRetryable() && Sends_ < Route_->MaxAttempts;
  const std::optional<Duration> Limit = balancing::firstByteTimeout(Sent);
  return Limit ? State_.now() + *Limit : TimePoint::max();
}

http::Task<AttemptEnd>
Exchange::receive(const Dispatch &Chosen, LinkRef &Link,
                  const std::shared_ptr<PendingWrite> &Sending) {
  const EndpointRef Peer = Chosen.Endpoints.front();
  const bool IsStream = Route_->Kind == CallKind::Stream;
  setSilenceLimit(firstByteLimit(Chosen));
  std::optional<ResponseParser> Parser;
  EndpointHead Answer;
  bool Matches = false;
  std::size_t ForeignBytes = 0;
  for (int Skipped = 0; !Matches && Skipped <= MaxForeignAnswers; ++Skipped) {
    Parser.emplace();
    Parser->header_limit(EndpointHeadBytes);
    // Boost 1.74 takes an absent limit for one of 0 when a length is stated.
    Parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    if (Request_.Method == "HEAD")
      Parser->skip(true);
    Code Failure;
    co_await bhttp::async_read_header(Link->Socket, Link->Buffer, *Parser,
                                      intoCode(Failure));
    if (Failure) {
      Cause_ = Failure.message();
      noteBroken(Peer);
      MayHaveRun_ = true;
      co_return AttemptEnd::Failed;
    }
    const int Status = static_cast<int>(Parser->get().result_int());
    if (Status >= 100 && Status < 200)
      continue;
    const http::Headers Fields = endToEndFields(Parser->get());
    Answer = State_.Protocol.readEndpointHead(Status, Fields);
    // An answer to an earlier request may stand before this one's.
    Matches = Answer.AttemptId.empty() || Head_.AttemptId.empty() ||
              Answer.AttemptId == Head_.AttemptId;
    while (!Matches && !Parser->is_done()) {
      std::string Ignored;
      const bool Read = co_await readPiece(*Link, *Parser, Ignored);
      ForeignBytes += Ignored.size();
      if (ForeignBytes > MaxForeignBytes)
        Cause_ = "an answer to another request without end";
      if (!Read || ForeignBytes > MaxForeignBytes) {
        noteBroken(Peer);
        MayHaveRun_ = true;
        co_return AttemptEnd::Failed;
      }
    }
  }
  if (!Matches) {
    Cause_ = "answers to other requests";
    MayHaveRun_ = true;
    co_return AttemptEnd::Failed;
  }
  const int Status = static_cast<int>(Parser->get().result_int());
  if (Answer.ColdRemaining && Answer.ColdRemaining->count() > 0)
    State_.Directory.markCold(Peer, *Answer.ColdRemaining, State_.now());
  if (Answer.NotRun || Answer.WrongEndpoint) {
    State_.recordOutcome(*Peer, Answer.WrongEndpoint
                                    ? EndpointOutcome::Unreachable
                                    : EndpointOutcome::Refused);
    State_.Log.write("endpoint_refused", State_.now(), [&](LogLine &Line) {
      Line.field("id", Head_.AttemptId)
          .field("endpoint", Peer->Entry.Id)
          .field("status", Status)
          .field("at_fault", Answer.FaultyAddress);
    });
    co_return AttemptEnd::NotRun;
  }
  MayHaveRun_ = true;
  const bool Success = Status >= 200 && Status < 300;
  if (Success && !Answer.HasSignature) {
    Cause_ = "success without a signature";
    State_.recordOutcome(*Peer, EndpointOutcome::Broken);
    co_return AttemptEnd::Failed;
  }
  AttemptEnd End;
  if (IsStream && Success) {
    if (!AnswerBegun_)
      CallerHead_ = makeAnswerHead(*Parser);
    noteFirstByte(Chosen);
    End = co_await relayStream(*Link, *Parser);
  } else {
    if (AnswerBegun_)
      co_return AttemptEnd::Broken; // a resumed stream was answered otherwise
    End = co_await relayWhole(*Link, *Parser);
    noteFirstByte(Chosen);
  }
  if (End == AttemptEnd::Answered || End == AttemptEnd::FailedAnswer) {
    State_.recordOutcome(*Peer, Status >= 500 ? EndpointOutcome::FailedAnswer
                                              : EndpointOutcome::Answered);
    State_.Crashes.recordCompletion(Content_);
    if (Sending->Done && !Sending->Failure && Parser->is_done() &&
        Parser->keep_alive() && Ending_ == Ending::None) {
      const std::string KeepAlive(Parser->get()[bhttp::field::keep_alive]);
      const std::size_t At = KeepAlive.find("timeout=");
      Link->IdleLimit = Duration(
          At == std::string::npos
              ? std::chrono::seconds(0)
              : std::chrono::seconds(std::atoi(KeepAlive.c_str() + At + 8)));
      State_.Pool.giveBack(std::move(Link), State_.now());
    }
  } else if (End == AttemptEnd::Failed || End == AttemptEnd::Broken) {
    noteBroken(Peer);
  }
  co_return End;
}

} // namespace cassiashed::gateway
