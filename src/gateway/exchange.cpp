#include "gateway/exchange.h"

#include "cassiashed/balancing/admission.h"
#include "cassiashed/balancing/stop_window.h"
#include "cassiashed/base/hash.h"
#include "gateway/event_assembler.h"
#include "gateway/reservations.h"
#include "http/peek.h"
#include <array>
#include <boost/asio/write.hpp>
#include <limits>

namespace cassiashed::gateway {
namespace {

using balancing::Assignment;
using balancing::Dispatch;
using balancing::DispatchRequest;
using balancing::EndpointOutcome;
using catalog::CallKind;
using catalog::EndpointRef;
using ResponseParser = bhttp::response_parser<bhttp::buffer_body>;

/// Longest wait for a connection to an endpoint: several round trips between
/// zones and the endpoint's own handshake.
constexpr Duration ConnectLimit{400};
/// Deadline of a request whose caller and route state none.
constexpr Duration DefaultDeadline{30000};
/// Answers up to this size are read whole before they are passed on, so that
/// one that breaks off can be replaced by another attempt.
constexpr std::size_t BufferedAnswerBytes = 64 * 1024;
constexpr std::size_t PieceBytes = 8 * 1024;
constexpr std::uint32_t EndpointHeadBytes = 64 * 1024;
/// Answers to earlier requests that are skipped on one connection.
constexpr int MaxForeignAnswers = 3;
/// A stream without a first event for longer than its predicted time by this
/// factor and slack goes to another endpoint.
constexpr double SilenceFactor = 3;
constexpr Duration FirstEventSlack{1500};
/// Shortest silence that ends a running stream; engines stall for 1.5 s on
/// work that depends on a lost one before they say so.
constexpr Duration LeastStreamSilence{2500};
/// Part of the time a plain call has left that one endpoint may use up
/// silently when another one could be asked.
constexpr double PlainSilencePart = 0.5;
/// A request that only cold endpoints could serve waits for them this part of
/// its target, then it is refused.
constexpr double WaitPart = 0.125;
constexpr Duration WaitStep{15};
/// A request that is refused for others' sake should come back as late as its
/// caller still waits for it: callers wait for a third of the time left.
constexpr double ReturnPart = 0.3;
/// How often a late request looks for calm engines; spread so that requests
/// which began to wait together do not look together.
constexpr int LateStepMinMs = 40;
constexpr int LateStepMaxMs = 90;
/// Priorities at the engine, 0 is first.
constexpr int UrgentPriority = 3;
constexpr int LatePriority = 8;
/// Token price of an output token relative to a prompt token, for the value of
/// a request: decoding takes a step, prefill a small part of one.
constexpr double OutputTokenWeight = 10;
constexpr double TokensPerValue = 10000;
constexpr Duration QuarantineRetry{5000};
constexpr Duration NoConfigRetry{1000};

enum class Ending { None, CallerGone, TimedOut };

/// How one attempt ended.
enum class AttemptEnd {
  Answered,     ///< a final answer went to the caller
  NotSent,      ///< the endpoint got nothing of the request
  NotRun,       ///< the endpoint states that it did not run the request
  Failed,       ///< may have run; nothing went to the caller
  FailedAnswer, ///< the endpoint's own failure, kept for the caller
  Broken,       ///< broke off after a part went to the caller
};

std::string_view nameOf(AttemptEnd End) {
  static constexpr std::array<std::string_view, 6> Names = {
      "answered", "not_sent", "not_run", "failed", "failed_answer", "broken"};
  return Names[static_cast<std::size_t>(End)];
}

/// Buffers of a request on its way to an endpoint; kept until the write ends,
/// also if the attempt is over before.
struct PendingWrite {
  std::string Head;
  std::shared_ptr<const std::string> Body;
  bool Done = false;
  Code Failure;
};

/// A whole answer that is held back because another attempt may do better.
struct HeldAnswer {
  AnswerHead Head;
  std::string Body;
};

class Exchange : public std::enable_shared_from_this<Exchange> {
public:
  Exchange(GatewayState &State, Tcp::socket &Caller, ReceivedRequest &Request)
      : State_(State), Caller_(Caller), Request_(Request),
        Limit_(State.Context) {}

  http::Task<bool> run();

private:
  // Before the first attempt.
  /// Returns the status to refuse with, or 0.
  int resolve(std::string &Reason);
  void prepareWork();
  /// Whether the process stops before the request could end.
  bool isTooLateToStart() const;
  std::string chooseService();

  // Time limits and the caller's end.
  void armLimit();
  void setSilenceLimit(TimePoint At);
  void onLimit();
  void watchCaller();
  void end(Ending Why);

  // Attempts.
  http::Task<Dispatch> dispatch();
  /// Whether the request is sent now, waits or is refused for others' sake.
  balancing::Admission decideAdmission(const Dispatch &Chosen,
                                       TimePoint Now) const;
  http::Task<bool> reserve(const Dispatch &Chosen);
  /// Gives reserved memory back. Every attempt ends with it, sent or not:
  /// reservations are renewed until they are released.
  void releaseReservations();
  http::Task<LinkRef> openLink(const EndpointRef &Peer);
  http::Task<AttemptEnd> attempt(const Dispatch &Chosen);
  http::Task<AttemptEnd> receive(const Dispatch &Chosen, LinkRef &Link,
                                 const std::shared_ptr<PendingWrite> &Sending);
  http::Task<AttemptEnd> relayStream(EndpointLink &Link,
                                     ResponseParser &Parser);
  http::Task<AttemptEnd> relayWhole(EndpointLink &Link, ResponseParser &Parser);
  http::Task<bool> readPiece(EndpointLink &Link, ResponseParser &Parser,
                             std::string &Piece);
  http::Task<bool> writeToCaller(std::string Bytes);
  std::string formatForward(const Dispatch &Chosen);
  void beginWork(const Dispatch &Chosen);
  void finishWork();
  void noteFirstByte(const Dispatch &Chosen);
  void noteBroken(const EndpointRef &Peer);
  /// Measures the pauses between pieces of a stream.
  void notePiece();
  AnswerHead makeAnswerHead(const ResponseParser &Parser) const;

  http::Task<void> answerOwn(int Status, std::optional<Duration> RetryAfter,
                             std::string Reason);
  http::Task<void> answerEnd(AttemptEnd Last, const Dispatch &Chosen);
  bool mayTryAgain(AttemptEnd End);
  Duration left() const;

  GatewayState &State_;
  Tcp::socket &Caller_;
  ReceivedRequest &Request_;
  CallerHead Head_;
  std::shared_ptr<const catalog::ServiceConfig> Config_;
  const catalog::Route *Route_ = nullptr;
  const catalog::Workspace *Workspace_ = nullptr;
  const catalog::Service *Service_ = nullptr;
  std::shared_ptr<const std::string> Body_;
  std::uint64_t Content_ = 0;
  DispatchRequest Wanted_;

  asio::steady_timer Limit_;
  TimePoint EndsAt_;
  TimePoint SilentAt_ = TimePoint::max();
  TimePoint ArmedFor_ = TimePoint::max();
  Ending Ending_ = Ending::None;
  bool Silent_ = false;
  std::string Cause_; ///< why the last attempt broke
  EndpointLink *Current_ = nullptr;

  std::shared_ptr<Reservations> Reservations_;
  std::vector<ReservationPlan> Plans_;
  int Sends_ = 0;
  bool MayHaveRun_ = false;
  bool AnswerBegun_ = false;
  bool AnswerComplete_ = false;
  bool WorkActive_ = false;
  bool FirstByteSeen_ = false;
  TimePoint SentAt_;
  TimePoint LastPieceAt_; ///< of the stream; unset before the first piece
  Duration LongestPause_{0};
  EventAssembler Events_;
  AnswerHead CallerHead_; ///< of the stream that the caller gets
  std::optional<HeldAnswer> Held_;
  std::string Outcome_;
};

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
  Work.PromptTokens = Head_.PromptTokens;
  Work.OutputTokens = Head_.OutputTokens;
  Work.PauseMs = static_cast<double>(Route_->PauseTarget.count());
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
  return !balancing::mayStartWhileStopping(Expected, SinceStop,
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
    const http::Readable Next = http::peek(Self->Caller_);
    if (Next == http::Readable::Nothing)
      Self->watchCaller();
    else if (Next == http::Readable::Closed)
      Self->end(Ending::CallerGone);
    // Otherwise the next request is already there.
  });
}

balancing::Admission Exchange::decideAdmission(const Dispatch &Chosen,
                                               TimePoint Now) const {
  const balancing::PlacementRequest &Work = Wanted_.Work;
  if (!Service_->Engine || Sends_ > 0)
    return balancing::Admission::Send;
  const double WaitedMs =
      std::chrono::duration<double, std::milli>(Now - Request_.ReceivedAt)
          .count();
  const double TotalMs =
      std::chrono::duration<double, std::milli>(EndsAt_ - Request_.ReceivedAt)
          .count();
  return balancing::decideAdmission(Chosen, Work, WaitedMs, TotalMs);
}

http::Task<Dispatch> Exchange::dispatch() {
  const TimePoint GiveUpAt =
      State_.now() + std::chrono::duration_cast<TimePoint::duration>(
                         Route_->FirstByteTarget * WaitPart);
  Dispatch Chosen;
  while (true) {
    const TimePoint Now = State_.now();
    State_.Dispatcher.setNodeCount(State_.sharingNodes());
    Wanted_.Work.DeadlineMs = static_cast<double>(left().count());
    Wanted_.Work.FirstTokenMs =
        std::chrono::duration<double, std::milli>(Request_.ReceivedAt +
                                                  Route_->FirstByteTarget - Now)
            .count();
    Chosen = State_.Dispatcher.choose(Wanted_, Now, State_.Random);
    Wanted_.Work.Urgent = Chosen.Urgent;
    const bool CanWait =
        Chosen.Failure == balancing::DispatchFailure::AllCold &&
        Now + WaitStep < GiveUpAt;
    if (Ending_ != Ending::None)
      break;
    Duration Step = WaitStep;
    if (!Chosen.Endpoints.empty()) {
      const balancing::Admission Next = decideAdmission(Chosen, Now);
      if (Next == balancing::Admission::Send)
        break;
      if (Next == balancing::Admission::Refuse) {
        Chosen = Dispatch{};
        Chosen.Failure = balancing::DispatchFailure::AllBusy;
        Chosen.RetryAfter =
            std::chrono::duration_cast<Duration>(left() * ReturnPart);
        break;
      }
      std::uniform_int_distribution<int> Spread(LateStepMinMs, LateStepMaxMs);
      Step = Duration(Spread(State_.Random));
    } else if (!CanWait) {
      break;
    }
    co_await http::sleepFor(Step);
  }
  co_return Chosen;
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
  if (Route_->mayRepeat() && Sends_ == 0)
    Link = State_.Pool.takeIdle(Peer->Number, State_.now());
  if (!Link) {
    const Duration Limit = std::min(ConnectLimit, left());
    State_.Pool.makeRoom(Peer->Number, State_.connectionShare(*Peer));
    Link = co_await State_.Pool.connect(Peer->Entry, Peer->Number, Limit);
    if (!Link) {
      State_.Health.note(Peer->Number, EndpointOutcome::Unreachable,
                         State_.now());
      State_.Nodes->announceSilence(Peer->Entry.Id);
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
  Added.Left = left();
  Added.Priority = Wanted_.Work.Urgent ? UrgentPriority : LatePriority;
  Added.LastEventId =
      Events_.lastId().empty() ? Head_.LastEventId : Events_.lastId();
  std::size_t Plan = 0;
  for (std::size_t Index = 1; Index < Chosen.Endpoints.size(); ++Index) {
    HelperUse Helper;
    Helper.Address = Chosen.Endpoints[Index]->Entry.address();
    if (Chosen.Parts[Index].ReservedTokens > 0 && Plan < Plans_.size())
      Helper.ReservationId = Plans_[Plan++].Id;
    Added.Helpers.push_back(std::move(Helper));
  }
  const http::Headers Fields =
      State_.Protocol.forwardFields(Request_.Fields, Added);
  return formatRequestHead(Request_.Method, Request_.Target, Fields,
                           Body_->size(), Request_.HasBody);
}

void Exchange::beginWork(const Dispatch &Chosen) {
  const TimePoint Now = State_.now();
  Assignment Work;
  Work.Request = Wanted_.Work;
  for (std::size_t Index = 0; Index < Chosen.Endpoints.size(); ++Index)
    Work.Parts.push_back(
        {Chosen.Endpoints[Index]->Entry.Id, Chosen.Parts[Index]});
  State_.Load.assign(Work, Now);
  State_.Nodes->announceStart(Work);
  WorkActive_ = true;
  if (Sends_ == 0)
    State_.Retries.noteFirst(Service_->Name, Now);
  ++Sends_;
  const EndpointRef &Peer = Chosen.Endpoints.front();
  Wanted_.Excluded.insert(Peer->Number);
  if (Peer->ColdUntil > Now)
    State_.Cold.noteSent(Peer->Number, Now);
  SentAt_ = Now;
  State_.Health.noteSent(
      Peer->Number,
      Duration(static_cast<Duration::rep>(std::min(1e6, Chosen.FirstTokenMs))),
      Now);
  State_.Log.write("attempt_sent", Now, [&](LogLine &Line) {
    Line.field("id", Head_.AttemptId)
        .field("attempt", Sends_)
        .field("service", Service_->Name)
        .field("endpoint", Peer->Entry.Id)
        .field("engines", Chosen.Endpoints.size())
        .field("prompt_tokens", Wanted_.Work.PromptTokens)
        .field("predicted_ms", static_cast<int>(Chosen.FirstTokenMs))
        .field("loss_others", Chosen.LossToOthers)
        .field("loss_later", Chosen.LossToLater)
        .field("urgent", Chosen.Urgent)
        .field("left_ms", left().count())
        .field("config", Config_->Version);
  });
}

void Exchange::finishWork() {
  if (!WorkActive_)
    return;
  WorkActive_ = false;
  State_.Load.finish(Wanted_.Work.Id, State_.now());
  State_.Nodes->announceFinish(Wanted_.Work.Id);
}

void Exchange::noteFirstByte(const Dispatch &Chosen) {
  if (FirstByteSeen_)
    return;
  FirstByteSeen_ = true;
  if (Reservations_)
    Reservations_->noteBegun();
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
  State_.Health.note(
      Peer->Number, Silent_ ? EndpointOutcome::Silent : EndpointOutcome::Broken,
      Now);
  if (Silent_)
    State_.Nodes->announceSilence(Peer->Entry.Id);
  else
    State_.BrokenRuns.push_back({Content_, Peer, Now});
}

http::Task<AttemptEnd> Exchange::attempt(const Dispatch &Chosen) {
  const EndpointRef Peer = Chosen.Endpoints.front();
  const bool Reserved = co_await reserve(Chosen);
  if (!Reserved)
    co_return AttemptEnd::NotSent;
  LinkRef Link;
  if (Ending_ == Ending::None)
    Link = co_await openLink(Peer);
  // The endpoint may have left while the connection was made.
  if (!Link || Ending_ != Ending::None || !State_.Directory.isUsable(*Peer)) {
    Wanted_.Excluded.insert(Peer->Number);
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

http::Task<AttemptEnd>
Exchange::receive(const Dispatch &Chosen, LinkRef &Link,
                  const std::shared_ptr<PendingWrite> &Sending) {
  const EndpointRef Peer = Chosen.Endpoints.front();
  const bool IsStream = Route_->Kind == CallKind::Stream;
  if (IsStream)
    setSilenceLimit(State_.now() + FirstEventSlack +
                    std::chrono::milliseconds(static_cast<int>(
                        std::min(1e6, Chosen.FirstTokenMs * SilenceFactor))));
  else if (Route_->mayRepeat() && Sends_ < Route_->MaxAttempts)
    setSilenceLimit(State_.now() + std::chrono::duration_cast<Duration>(
                                       left() * PlainSilencePart));
  std::optional<ResponseParser> Parser;
  EndpointHead Answer;
  bool Matches = false;
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
      if (!Read) {
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
  if (Answer.ColdFor && Answer.ColdFor->count() > 0)
    State_.Directory.markCold(Peer, *Answer.ColdFor, State_.now());
  if (Answer.NotRun || Answer.WrongEndpoint) {
    State_.Health.note(Peer->Number,
                       Answer.WrongEndpoint ? EndpointOutcome::Unreachable
                                            : EndpointOutcome::Refused,
                       State_.now());
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
  if (Success && !Answer.Signed) {
    Cause_ = "success without a signature";
    State_.Health.note(Peer->Number, EndpointOutcome::Broken, State_.now());
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
    State_.Health.note(Peer->Number,
                       Status >= 500 ? EndpointOutcome::FailedAnswer
                                     : EndpointOutcome::Answered,
                       State_.now());
    State_.Crashes.noteCompleted(Content_);
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

AnswerHead Exchange::makeAnswerHead(const ResponseParser &Parser) const {
  AnswerHead Result;
  Result.Status = static_cast<int>(Parser.get().result_int());
  Result.Reason = std::string(Parser.get().reason());
  Result.Fields = endToEndFields(Parser.get());
  Result.HasBody =
      Request_.Method != "HEAD" && Result.Status != 204 && Result.Status != 304;
  Result.KeepAlive = Request_.KeepAlive && !State_.Stopping;
  const auto Length = Parser.content_length();
  if (Length) {
    Result.Length = *Length;
  } else if (Request_.IsOldVersion) {
    Result.Body = Framing::Close;
    Result.KeepAlive = false;
  } else {
    Result.Body = Framing::Chunked;
  }
  return Result;
}

http::Task<bool> Exchange::readPiece(EndpointLink &Link, ResponseParser &Parser,
                                     std::string &Piece) {
  Piece.resize(PieceBytes);
  std::size_t Count = 0;
  while (Count == 0 && !Parser.is_done()) {
    Parser.get().body().data = Piece.data();
    Parser.get().body().size = Piece.size();
    Parser.get().body().more = true;
    Code Failure;
    co_await bhttp::async_read_some(Link.Socket, Link.Buffer, Parser,
                                    intoCode(Failure));
    if (Failure && Failure != bhttp::error::need_buffer) {
      Cause_ = Failure.message();
      Piece.clear();
      co_return false;
    }
    Count = Piece.size() - Parser.get().body().size;
  }
  State_.Health.noteHeard(Link.Number, State_.Pool.busyCount(Link.Number) > 1,
                          State_.now());
  Piece.resize(Count);
  co_return true;
}

http::Task<bool> Exchange::writeToCaller(std::string Bytes) {
  Code Failure;
  co_await asio::async_write(Caller_, asio::buffer(Bytes), intoCode(Failure));
  if (Failure && Ending_ == Ending::None)
    end(Ending::CallerGone);
  co_return !Failure;
}

http::Task<AttemptEnd> Exchange::relayStream(EndpointLink &Link,
                                             ResponseParser &Parser) {
  const Duration Silence =
      std::max(LeastStreamSilence, std::chrono::duration_cast<Duration>(
                                       Route_->PauseTarget * SilenceFactor));
  // A stream whose length is stated, or that cannot be resumed, passes
  // through byte by byte.
  const bool ByEvents =
      Route_->Resumable && CallerHead_.Body != Framing::Length;
  std::string Piece;
  while (true) {
    setSilenceLimit(State_.now() + Silence);
    const bool Read = co_await readPiece(Link, Parser, Piece);
    const bool Complete = Read && Parser.is_done();
    if (!Read) {
      Events_.dropRest();
      co_return AnswerBegun_ ? AttemptEnd::Broken : AttemptEnd::Failed;
    }
    std::string Out = ByEvents ? Events_.take(Piece) : Piece;
    if (Complete && ByEvents) {
      Out += Events_.rest();
      Events_.dropRest();
    }
    std::string Bytes;
    if (!AnswerBegun_ && (!Out.empty() || Complete))
      Bytes = formatAnswerHead(CallerHead_);
    if (!Out.empty())
      Bytes += CallerHead_.Body == Framing::Chunked ? formatChunk(Out) : Out;
    if (Complete && CallerHead_.Body == Framing::Chunked)
      Bytes += LastChunk;
    if (!Bytes.empty()) {
      notePiece();
      AnswerBegun_ = true;
      setSilenceLimit(TimePoint::max());
      const bool Written = co_await writeToCaller(std::move(Bytes));
      if (!Written)
        co_return AttemptEnd::Broken;
    }
    if (Complete) {
      AnswerComplete_ = true;
      co_return AttemptEnd::Answered;
    }
  }
}

http::Task<AttemptEnd> Exchange::relayWhole(EndpointLink &Link,
                                            ResponseParser &Parser) {
  HeldAnswer Answer;
  Answer.Head = makeAnswerHead(Parser);
  std::string Piece;
  while (!Parser.is_done() && Answer.Body.size() < BufferedAnswerBytes) {
    const bool Read = co_await readPiece(Link, Parser, Piece);
    if (!Read)
      co_return AttemptEnd::Failed;
    Answer.Body += Piece;
  }
  if (Parser.is_done()) {
    if (Answer.Head.Body == Framing::Chunked) {
      Answer.Head.Body = Framing::Length;
      Answer.Head.Length = Answer.Body.size();
    }
    const bool ServerFailure = Answer.Head.Status >= 500;
    Held_ = std::move(Answer);
    co_return ServerFailure ? AttemptEnd::FailedAnswer : AttemptEnd::Answered;
  }
  // Too large to hold: passed on as it comes.
  AnswerBegun_ = true;
  std::string Bytes = formatAnswerHead(Answer.Head);
  Bytes += Answer.Head.Body == Framing::Chunked ? formatChunk(Answer.Body)
                                                : Answer.Body;
  Answer.Body.clear();
  while (true) {
    const bool Written = co_await writeToCaller(std::move(Bytes));
    if (!Written)
      co_return AttemptEnd::Broken;
    if (Parser.is_done())
      break;
    const bool Read = co_await readPiece(Link, Parser, Piece);
    if (!Read)
      co_return AttemptEnd::Broken;
    Bytes = Answer.Head.Body == Framing::Chunked && !Piece.empty()
                ? formatChunk(Piece)
                : Piece;
    if (Parser.is_done() && Answer.Head.Body == Framing::Chunked)
      Bytes += LastChunk;
  }
  AnswerComplete_ = true;
  Request_.KeepAlive = Answer.Head.KeepAlive;
  co_return AttemptEnd::Answered;
}

http::Task<void> Exchange::answerOwn(int Status,
                                     std::optional<Duration> RetryAfter,
                                     std::string Reason) {
  Outcome_ = "own_" + std::to_string(Status);
  State_.Log.write("request_refused", State_.now(), [&](LogLine &Line) {
    Line.field("id", Head_.AttemptId)
        .field("status", Status)
        .field("reason", Reason)
        .field("attempts", Sends_)
        .field("prompt_tokens", Head_.PromptTokens)
        .field("waited_ms", std::chrono::duration_cast<Duration>(
                                State_.now() - Request_.ReceivedAt)
                                .count())
        .field("config", Config_ ? Config_->Version : 0);
  });
  const bool KeepAlive = Request_.KeepAlive && !State_.Stopping;
  AnswerComplete_ = co_await sendOwnAnswer(
      State_, Caller_, Status, Head_.AttemptId, RetryAfter, KeepAlive, Reason);
}

bool Exchange::mayTryAgain(AttemptEnd End) {
  if (Ending_ != Ending::None)
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
    if (!Route_->mayRepeat())
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
  return State_.Retries.trySpend(Service_->Name, State_.sharingNodes(),
                                 State_.now());
}

http::Task<void> Exchange::answerEnd(AttemptEnd Last, const Dispatch &Chosen) {
  if (Ending_ == Ending::CallerGone || AnswerComplete_)
    co_return;
  if (AnswerBegun_) {
    Outcome_ = "broken_off";
    co_return; // the connection is closed, so the answer looks incomplete
  }
  if (Held_) {
    Held_->Head.KeepAlive = Request_.KeepAlive && !State_.Stopping;
    std::string Bytes = formatAnswerHead(Held_->Head);
    if (Held_->Head.HasBody)
      Bytes += Held_->Body;
    AnswerBegun_ = true;
    const bool Written = co_await writeToCaller(std::move(Bytes));
    AnswerComplete_ = Written;
    if (Held_->Head.Body == Framing::Close)
      Request_.KeepAlive = false;
    Outcome_ = Last == AttemptEnd::Answered ? "answered" : "endpoint_failed";
    co_return;
  }
  if (MayHaveRun_) {
    if (Ending_ == Ending::TimedOut)
      co_await answerOwn(504, std::nullopt, "no answer in time");
    else
      co_await answerOwn(502, std::nullopt, "the endpoint failed");
    co_return;
  }
  std::optional<Duration> RetryAfter = Chosen.RetryAfter;
  std::string Reason(balancing::nameOf(Chosen.Failure));
  if (Chosen.Failure == balancing::DispatchFailure::None) {
    RetryAfter = Duration(200);
    Reason = "refused by the endpoint";
  }
  if (Ending_ == Ending::TimedOut)
    RetryAfter.reset();
  co_await answerOwn(503, RetryAfter, std::move(Reason));
}

http::Task<bool> Exchange::run() {
  ++State_.ActiveRequests;
  Head_ = State_.Protocol.readCallerHead(Request_.Fields);
  std::string Reason;
  const int Refusal = resolve(Reason);
  if (Refusal != 0) {
    std::optional<Duration> RetryAfter;
    if (Refusal == 503)
      RetryAfter = NoConfigRetry;
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
  State_.Log.write("request_ended", State_.now(), [&](LogLine &Line) {
    Line.field("id", Head_.AttemptId)
        .field("route", Route_ ? Route_->Name : "none")
        .field("workspace", Workspace_ ? Workspace_->Name : "none")
        .field("outcome", Outcome_)
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

} // namespace

http::Task<bool> sendOwnAnswer(GatewayState &State, Tcp::socket &Caller,
                               int Status, const std::string &AttemptId,
                               std::optional<Duration> RetryAfter,
                               bool KeepAlive, std::string Message) {
  AnswerHead Head;
  Head.Status = Status;
  Head.Fields = State.Protocol.refusalFields(AttemptId, RetryAfter);
  Head.Fields.emplace_back("Content-Type", "text/plain");
  Message += '\n';
  Head.Length = Message.size();
  Head.KeepAlive = KeepAlive;
  std::string Bytes = formatAnswerHead(Head) + Message;
  Code Failure;
  co_await asio::async_write(Caller, asio::buffer(Bytes), intoCode(Failure));
  co_return !Failure;
}

http::Task<bool> serveRequest(GatewayState &State, Tcp::socket &Caller,
                              ReceivedRequest &Request) {
  const auto Work = std::make_shared<Exchange>(State, Caller, Request);
  const bool KeepAlive = co_await Work->run();
  co_return KeepAlive;
}

} // namespace cassiashed::gateway
