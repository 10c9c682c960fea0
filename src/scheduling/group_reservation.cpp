#include "cassiashed/scheduling/group_reservation.h"

#include "cassiashed/base/invariant.h"

#include <algorithm>
#include <utility>

namespace cassiashed::scheduling {

std::optional<std::vector<ReservationPart>>
planGroupReservation(std::uint64_t Tokens,
                     std::vector<ReservationPart> Available,
                     std::size_t MaxParts) {
  std::sort(Available.begin(), Available.end(),
            [](const ReservationPart &Left, const ReservationPart &Right) {
              return std::pair(Right.Tokens, Left.Endpoint) <
                     std::pair(Left.Tokens, Right.Endpoint);
            });
  std::vector<ReservationPart> Parts;
  for (const ReservationPart &Room : Available) {
    if (Tokens == 0 || Parts.size() >= MaxParts || Room.Tokens == 0)
      break;
    Parts.push_back({Room.Endpoint, std::min(Room.Tokens, Tokens)});
    Tokens -= Parts.back().Tokens;
  }
  if (Tokens > 0)
    return std::nullopt;
  std::sort(Parts.begin(), Parts.end(),
            [](const ReservationPart &Left, const ReservationPart &Right) {
              return Left.Endpoint < Right.Endpoint;
            });
  return Parts;
}

GroupReservation::GroupReservation(GrantRequest PromptRequest,
                                   std::vector<ReservationPart> Parts,
                                   GroupReservationOptions Options)
    : PromptRequest_(std::move(PromptRequest)), Options_(Options) {
  CASSIASHED_INVARIANT(!Parts.empty(), "a reservation needs an engine");
  std::sort(Parts.begin(), Parts.end(),
            [](const ReservationPart &Left, const ReservationPart &Right) {
              return Left.Endpoint < Right.Endpoint;
            });
  for (ReservationPart &Part : Parts)
    Members_.push_back({std::move(Part)});
}

GroupReservation::Member *GroupReservation::find(const std::string &Endpoint) {
  const auto Found = std::find_if(Members_.begin(), Members_.end(),
                                  [&Endpoint](const Member &Candidate) {
                                    return Candidate.Part.Endpoint == Endpoint;
                                  });
  return Found == Members_.end() ? nullptr : &*Found;
}

ReservationAction GroupReservation::actionFor(ReservationActionKind Kind,
                                              const Member &Target) const {
  ReservationAction Action;
  Action.Kind = Kind;
  Action.Endpoint = Target.Part.Endpoint;
  Action.GrantId = Target.GrantId;
  Action.Request.RequestId = PromptRequest_.RequestId;
  Action.Request.Attempt = PromptRequest_.Attempt;
  return Action;
}

ReservationAction GroupReservation::offerNext(TimePoint Now) {
  Member &Next = Members_[Acquired_];
  CASSIASHED_INVARIANT(Acquired_ == 0 || Members_[Acquired_ - 1].Part.Endpoint <
                                             Next.Part.Endpoint,
                       "engines are reserved in the order of their names");
  Next.Offered = true;
  ReservationAction Action = actionFor(ReservationActionKind::Offer, Next);
  Action.Request = PromptRequest_;
  Action.Request.PromptTokens = Next.Part.Tokens;
  Action.Request.MaxTokens = 0;
  Action.Request.CachedTokens = 0;
  Action.Request.HoldUntil = HoldUntil_;
  Action.ExpectedStart = Now;
  return Action;
}

std::vector<ReservationAction> GroupReservation::begin(TimePoint Now) {
  HoldUntil_ = std::min(PromptRequest_.Deadline, Now + Options_.StartTimeout);
  return {offerNext(Now)};
}

std::vector<ReservationAction>
GroupReservation::queued(const std::string &Endpoint,
                         std::chrono::microseconds Start, TimePoint Now) {
  std::vector<ReservationAction> Actions;
  const Member *WaitingMember = find(Endpoint);
  if (State_ != GroupReservationState::Acquiring || !WaitingMember ||
      WaitingMember->GrantId != 0)
    return Actions;
  // All parts start together, so none starts before this one. The engines
  // that are asked after it can only delay the start further.
  for (const Member &Granted : Members_)
    if (Granted.GrantId != 0) {
      ReservationAction Action =
          actionFor(ReservationActionKind::SetExpectedStart, Granted);
      Action.ExpectedStart = Now + Start;
      Actions.push_back(std::move(Action));
    }
  return Actions;
}

std::vector<ReservationAction>
GroupReservation::granted(const std::string &Endpoint, const Grant &Part,
                          TimePoint Now) {
  Member *GrantedMember = find(Endpoint);
  if (!GrantedMember)
    return {};
  if (GrantedMember->GrantId == Part.Id &&
      State_ != GroupReservationState::Ended)
    return {}; // duplicate reply
  if (State_ != GroupReservationState::Acquiring || !GrantedMember->Offered ||
      GrantedMember->GrantId != 0) {
    ReservationAction Action =
        actionFor(ReservationActionKind::Release, *GrantedMember);
    Action.GrantId = Part.Id;
    return {Action};
  }
  GrantedMember->GrantId = Part.Id;
  ++Acquired_;
  if (Acquired_ < Members_.size())
    return {offerNext(Now)};
  State_ = GroupReservationState::Starting;
  std::vector<ReservationAction> Actions;
  Actions.reserve(Members_.size());
  for (const Member &Granted : Members_)
    Actions.push_back(actionFor(ReservationActionKind::Start, Granted));
  return Actions;
}

std::vector<ReservationAction>
GroupReservation::started(const std::string &Endpoint, std::uint64_t GrantId,
                          TimePoint) {
  Member *StartedMember = find(Endpoint);
  if (!StartedMember || StartedMember->GrantId != GrantId ||
      State_ != GroupReservationState::Starting)
    return {};
  StartedMember->Started = true;
  if (std::all_of(Members_.begin(), Members_.end(),
                  [](const Member &Entry) { return Entry.Started; }))
    State_ = GroupReservationState::Running;
  return {};
}

std::vector<ReservationAction>
GroupReservation::failed(const std::string &Endpoint, TimePoint) {
  if (State_ == GroupReservationState::Ended || !find(Endpoint))
    return {};
  return releaseAll(GrantOutcome::Failed);
}

std::vector<ReservationAction> GroupReservation::poll(TimePoint Now) {
  const bool TimedOut = State_ == GroupReservationState::Running
                            ? Now >= PromptRequest_.Deadline
                            : Now >= HoldUntil_;
  if (State_ == GroupReservationState::Ended || HoldUntil_ == TimePoint{} ||
      !TimedOut)
    return {};
  return releaseAll(GrantOutcome::Cancelled);
}

std::vector<ReservationAction> GroupReservation::finish(GrantOutcome Outcome,
                                                        TimePoint) {
  if (State_ == GroupReservationState::Ended)
    return {};
  return releaseAll(Outcome);
}

std::vector<ReservationAction>
GroupReservation::releaseAll(GrantOutcome Outcome) {
  State_ = GroupReservationState::Ended;
  std::vector<ReservationAction> Actions;
  for (Member &Entry : Members_) {
    if (!Entry.Offered)
      continue;
    ReservationAction Action =
        actionFor(Entry.GrantId != 0 ? ReservationActionKind::Release
                                     : ReservationActionKind::Cancel,
                  Entry);
    Action.Outcome = Outcome;
    Actions.push_back(std::move(Action));
    Entry.GrantId = 0;
  }
  return Actions;
}

} // namespace cassiashed::scheduling
