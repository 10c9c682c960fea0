#include "node/gang_runner.h"

#include "cassiashed/base/event_log.h"
#include <algorithm>
#include <deque>

namespace cassiashed {
namespace {

using http::Task;
using scheduling::GroupReservation;
using scheduling::GroupReservationState;
using scheduling::ReservationAction;
using scheduling::ReservationActionKind;

constexpr Duration StartPause = std::chrono::milliseconds(50);

/// Longest time without an event while one segment is computed: 500,000
/// tokens at 2,000 tokens/s, the slowest engine in the configuration's range.
constexpr Duration SegmentPatience = std::chrono::minutes(5);

scheduling::GrantRequest makeWhole(const GrantQuery &Query) {
  scheduling::GrantRequest Whole;
  Whole.RequestId = Query.RequestId;
  Whole.Attempt = Query.Attempt;
  Whole.Workspace = Query.Workspace;
  Whole.Weight = Query.Weight;
  Whole.PromptTokens = Query.Request->PromptTokens;
  Whole.MaxTokens = Query.Request->MaxTokens;
  Whole.Class = scheduling::LengthClass::Huge;
  Whole.Priority = scheduling::enginePriorityOf(Whole.Class);
  Whole.Deadline = Query.Deadline;
  return Whole;
}

std::vector<scheduling::ReservationPart>
listParts(const std::vector<GangEngine> &Engines) {
  std::vector<scheduling::ReservationPart> Parts;
  Parts.reserve(Engines.size());
  for (const GangEngine &Engine : Engines)
    Parts.push_back({Engine.Endpoint, Engine.Tokens});
  return Parts;
}

std::uint64_t milliseconds(TimePoint From, TimePoint Until) {
  const auto Left = std::chrono::duration_cast<Duration>(Until - From);
  return static_cast<std::uint64_t>(std::max(Left, Duration(0)).count());
}

GrantRequestMessage makeOffer(const ReservationAction &Action, TimePoint Now) {
  const scheduling::GrantRequest &Request = Action.Request;
  GrantRequestMessage Offer;
  Offer.RequestId = Request.RequestId;
  Offer.Attempt = Request.Attempt;
  Offer.Endpoint = Action.Endpoint;
  Offer.Workspace = Request.Workspace;
  Offer.Weight = Request.Weight;
  Offer.Priority = Request.Priority;
  Offer.LengthClass = static_cast<std::uint32_t>(Request.Class);
  Offer.PromptTokens = Request.PromptTokens;
  Offer.MaxTokens = Request.MaxTokens;
  Offer.DeadlineMs = milliseconds(Now, Request.Deadline);
  if (Request.HoldUntil)
    Offer.HoldMs =
        std::max<std::uint64_t>(1, milliseconds(Now, *Request.HoldUntil));
  return Offer;
}

GrantOutcome toWireOutcome(scheduling::GrantOutcome Outcome) {
  using Ledger = scheduling::GrantOutcome;
  if (Outcome == Ledger::Completed)
    return GrantOutcome::Completed;
  return Outcome == Ledger::EndpointFailed ? GrantOutcome::EndpointFailed
                                           : GrantOutcome::Cancelled;
}

} // namespace

RunningAt GangRunner::placeOf(const Part &Target) {
  return {Target.Engine.Endpoint, Target.Engine.Zone, Target.Engine.Address,
          Target.Incarnation};
}

Task<GangRunner::Actions> GangRunner::offer(GrantQuery Query,
                                            ReservationAction Action,
                                            GroupReservation &Reservation) {
  GrantRequestMessage Request = makeOffer(Action, Clock_.now());
  const GrantReplyMessage Reply =
      co_await Owners_.request(std::move(Request), Query.Deadline);
  if (Reply.Status != GrantStatus::Granted) {
    Refusal_.Kind = Reply.ReasonCode == GaveUp ? ErrorKind::CallerGone
                                               : ErrorKind::NoCapacity;
    Refusal_.Message = Reply.ReasonCode;
    co_return Reservation.failed(Action.Endpoint, Clock_.now());
  }
  for (Part &Entry : Parts_)
    if (Entry.Engine.Endpoint == Action.Endpoint) {
      Entry.Owner = Reply.Owner;
      Entry.GrantId = Reply.GrantId;
      Entry.Incarnation = Reply.EndpointIncarnation;
    }
  scheduling::Grant Granted;
  Granted.Id = Reply.GrantId;
  Granted.RequestId = Reply.RequestId;
  Granted.Attempt = Reply.Attempt;
  Granted.Incarnation = Reply.EndpointIncarnation;
  Granted.Tokens = Reply.Tokens;
  Granted.Expiry = Clock_.now() + Duration(Reply.ExpiryMs);
  co_return Reservation.granted(Action.Endpoint, Granted, Clock_.now());
}

/// Waits until short requests have left the memory of the part.
Task<GangRunner::Actions> GangRunner::startPart(GrantQuery Query,
                                                ReservationAction Action,
                                                GroupReservation &Reservation) {
  GrantHoldMessage Start;
  Start.Endpoint = Action.Endpoint;
  Start.GrantId = Action.GrantId;
  Start.Start = true;
  std::string Owner;
  for (const Part &Entry : Parts_)
    if (Entry.Engine.Endpoint == Action.Endpoint)
      Owner = Entry.Owner;
  while (!Cancelled_ && Clock_.now() < Query.Deadline) {
    std::string Peer = Owner;
    GrantHoldMessage Message = Start;
    const HoldState State =
        co_await Owners_.hold(std::move(Peer), std::move(Message));
    if (State == HoldState::Started)
      co_return Reservation.started(Action.Endpoint, Action.GrantId,
                                    Clock_.now());
    if (State == HoldState::Gone)
      break;
    co_await http::sleepFor(StartPause);
  }
  Refusal_.Kind = ErrorKind::NoCapacity;
  Refusal_.Message = "a reserved engine was lost";
  co_return Reservation.failed(Action.Endpoint, Clock_.now());
}

void GangRunner::release(const ReservationAction &Action) {
  GrantReleaseItem Item;
  Item.RequestId = Action.Request.RequestId;
  Item.Attempt = Action.Request.Attempt;
  Item.Endpoint = Action.Endpoint;
  Item.GrantId = Action.GrantId;
  Item.Outcome = toWireOutcome(Action.Outcome);
  for (const Part &Entry : Parts_)
    if (Entry.Engine.Endpoint == Action.Endpoint && !Entry.Owner.empty())
      Owners_.release(Entry.Owner, Item);
}

Task<GangRunner::Actions> GangRunner::perform(GrantQuery Query,
                                              ReservationAction Action,
                                              GroupReservation &Reservation) {
  Actions Next;
  switch (Action.Kind) {
  case ReservationActionKind::Offer:
    Next = co_await offer(std::move(Query), std::move(Action), Reservation);
    break;
  case ReservationActionKind::Start:
    Next = co_await startPart(std::move(Query), std::move(Action), Reservation);
    break;
  case ReservationActionKind::SetExpectedStart: {
    GrantHoldMessage Expect;
    Expect.Endpoint = Action.Endpoint;
    Expect.GrantId = Action.GrantId;
    Expect.ExpectedInMs = milliseconds(Clock_.now(), Action.ExpectedStart);
    for (const Part &Entry : Parts_)
      if (Entry.Engine.Endpoint == Action.Endpoint) {
        std::string Owner = Entry.Owner;
        co_await Owners_.hold(std::move(Owner), Expect);
      }
    break;
  }
  case ReservationActionKind::Release:
  case ReservationActionKind::Cancel:
    release(Action);
    break;
  }
  co_return Next;
}

Task<bool> GangRunner::reserve(GrantQuery Query,
                               GroupReservation &Reservation) {
  Actions First = Reservation.begin(Clock_.now());
  std::deque<ReservationAction> Pending(First.begin(), First.end());
  while (!Pending.empty()) {
    ReservationAction Action = std::move(Pending.front());
    Pending.pop_front();
    GrantQuery Copy = Query;
    Actions Next =
        co_await perform(std::move(Copy), std::move(Action), Reservation);
    Pending.insert(Pending.end(), Next.begin(), Next.end());
  }
  co_return Reservation.state() == GroupReservationState::Running;
}

Task<AttemptResult> GangRunner::runSegment(const GrantQuery &Query,
                                           const Part &Target,
                                           std::uint64_t PromptTokens,
                                           bool Last,
                                           const TokenConsumer &Consume) {
  CompletionRequest Segment = *Query.Request;
  if (!Last) {
    Segment.Prompt.resize(PromptTokens * BytesPerToken);
    Segment.PromptTokens = PromptTokens;
    Segment.MaxTokens = 0;
  }
  AttemptInput Input;
  Input.RequestId = Query.RequestId;
  Input.Attempt = Query.Attempt;
  Input.Node = Node_;
  Input.Priority = scheduling::enginePriorityOf(scheduling::LengthClass::Huge);
  Input.ResumeFrom = Last ? Query.ResumeFrom : 0;
  Input.Deadline = Query.Deadline;
  Input.FirstEventTimeout = SegmentPatience;
  Attempt_ = makeEngineAttempt(Executor_);
  http::Address Engine = Target.Engine.Address;
  AttemptResult Result = co_await Attempt_->run(std::move(Engine), Segment,
                                                std::move(Input), Consume);
  Attempt_.reset();
  co_return Result;
}

Task<AttemptResult> GangRunner::compute(const GrantQuery &Query,
                                        const TokenConsumer &Consume) {
  AttemptResult Result;
  std::uint64_t Computed = 0;
  for (std::size_t Index = 0; Index < Parts_.size(); ++Index) {
    const Part &Target = Parts_[Index];
    const bool Last = Index + 1 == Parts_.size();
    if (!Exports_.empty()) {
      http::Address Engine = Target.Engine.Address;
      KvExport Source = Exports_.back();
      const bool Imported = co_await importKv(
          std::move(Engine), std::move(Source), Query.RequestId);
      if (!Imported) {
        Result.End = AttemptEnd::EngineLost;
        Result.Detail = "the KV cache could not be imported";
        co_return Result;
      }
    }
    Computed += Target.Engine.Tokens;
    Result = co_await runSegment(Query, Target, Computed, Last, Consume);
    if (Result.End == AttemptEnd::EngineLost) {
      RunningAt Place = placeOf(Target);
      co_await Crashes_.investigate(std::move(Place));
    }
    if (Last || Result.End != AttemptEnd::Complete)
      co_return Result;
    const auto Left =
        std::chrono::duration_cast<Duration>(Query.Deadline - Clock_.now());
    http::Address Engine = Target.Engine.Address;
    std::optional<KvExport> Kept = co_await exportKv(
        std::move(Engine), Query.RequestId, std::max(Left, Duration(1)));
    if (!Kept) {
      Result.End = AttemptEnd::EngineLost;
      Result.Detail = "the KV cache could not be exported";
      co_return Result;
    }
    Exports_.push_back(std::move(*Kept));
  }
  co_return Result;
}

Task<RunResult> GangRunner::run(GrantQuery Query,
                                std::vector<GangEngine> Engines,
                                TokenConsumer Consume) {
  RunResult Total;
  RequestId_ = Query.RequestId;
  const std::string &Content = Query.Request->ContentHash;
  if (auto Refused = co_await Crashes_.admit(Content, Query.Deadline)) {
    Total.Failure = std::move(*Refused);
    Total.End = outcomeOf(Total.Failure->Kind);
    co_return Total;
  }
  std::sort(Engines.begin(), Engines.end(),
            [](const GangEngine &Left, const GangEngine &Right) {
              return Left.Endpoint < Right.Endpoint;
            });
  GroupReservation Reservation(makeWhole(Query), listParts(Engines), {});
  for (const GangEngine &Engine : Engines)
    Parts_.push_back({Engine, "", 0, 0});
  GrantQuery Copy = Query;
  const bool Reserved = co_await reserve(std::move(Copy), Reservation);
  if (!Reserved || Cancelled_) {
    for (const ReservationAction &Action :
         Reservation.finish(scheduling::GrantOutcome::Cancelled, Clock_.now()))
      release(Action);
    Crashes_.abandon(Content);
    Total.Failure = Cancelled_ ? Error{ErrorKind::CallerGone} : Refusal_;
    Total.Failure->Effect = Ran::NotRun;
    Total.End = outcomeOf(Total.Failure->Kind);
    co_return Total;
  }
  logEvent("gang_reserved")
      .field("request_id", Query.RequestId)
      .field("engines", Parts_.size())
      .field("tokens", Query.Request->PromptTokens);
  Total.Attempts = 1;
  Total.Endpoint = Parts_.back().Engine.Endpoint;
  for (const Part &Target : Parts_)
    Crashes_.begin(placeOf(Target), Content);
  const AttemptResult Result = co_await compute(Query, Consume);
  const bool Complete = Result.End == AttemptEnd::Complete;
  if (!Complete)
    for (const Part &Target : Parts_) {
      http::Address Engine = Target.Engine.Address;
      co_await cancelAtEngine(std::move(Engine), Query.RequestId,
                              Query.Attempt);
    }
  for (const KvExport &Kept : Exports_) {
    KvExport Source = Kept;
    co_await releaseKv(std::move(Source));
  }
  for (const ReservationAction &Action :
       Reservation.finish(Complete ? scheduling::GrantOutcome::Completed
                                   : scheduling::GrantOutcome::Failed,
                          Clock_.now()))
    release(Action);
  for (const Part &Target : Parts_)
    Crashes_.end(placeOf(Target), Content, Complete);
  Total.Tokens = Result.Tokens;
  Total.FirstToken = Result.FirstToken;
  if (Complete) {
    Total.End = Outcome::Answered;
    co_return Total;
  }
  Total.Failure = describeFailure(Result);
  Total.Failure->Effect = Ran::Unknown;
  Total.End = outcomeOf(Total.Failure->Kind);
  co_return Total;
}

void GangRunner::cancel() {
  Cancelled_ = true;
  if (Attempt_)
    Attempt_->cancel();
  else
    Owners_.giveUp(RequestId_);
}

} // namespace cassiashed
