#include "cassiashed/scheduling/endpoint_ledger.h"

#include "cassiashed/base/hash.h"
#include "cassiashed/base/invariant.h"
#include "cassiashed/scheduling/prefill_backlog.h"
#include "cassiashed/scheduling/recent_requests.h"

#include <algorithm>
#include <deque>
#include <limits>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace cassiashed::scheduling {
namespace {

/// Number of ended grants that are compared with reports. If the endpoint still
/// holds a request after this many later grants ended, its tokens count as
/// foreign and it is no longer reported as an orphan.
constexpr std::size_t MaxEndedGrants = 512;

/// Upper limit, in tokens, of the output that is assumed when predicting the
/// end of a request. Prevents an overflow if a caller sets a very large
/// `MaxTokens`.
constexpr std::uint64_t MaxPredictedOutput = 1000000;

/// Weight of a new observation in the exponential moving average of the time
/// for which grants are held.
constexpr double HoldTimeSmoothing = 1.0 / 32;

enum class GrantState : std::uint8_t {
  Running,
  Held,     ///< part of a split prefill whose memory is reserved, not started
  Starting, ///< held part that waits for the requests using its memory to end
  Expired,  ///< past its expiry; the endpoint may still hold its memory
};

/// A granted attempt that still reserves memory.
struct ActiveGrant {
  Grant Info;
  LengthClass Class = LengthClass::Short;
  GrantState State = GrantState::Running;
  std::uint64_t Key = 0;    ///< hash of request id and attempt
  std::uint64_t IdHash = 0; ///< hash of the request id alone
  std::uint64_t Tokens = 0; ///< reserved; raised if a report shows more
  std::uint64_t PrefillTokens = 0;
  std::optional<double> PrefillPosition;
  TimePoint GrantedAt;
  TimePoint Deadline;
  TimePoint ExpectedStart; ///< only used in state Held
  TimePoint ExpectedEnd;
  std::uint64_t LentTokens = 0; ///< of a held part, used by short requests
  std::uint64_t LenderId = 0;   ///< held part whose memory is used; 0 if none
};

/// A grant that ended, for comparison with reports.
struct EndedGrant {
  Grant Info;
  std::uint64_t IdHash;
  TimePoint At;
};

/// Queue positions of the overdue waiters that limit which later waiters may be
/// granted.
struct OverdueWaiters {
  std::optional<std::size_t> Shorter; ///< oldest of short and medium
  std::optional<std::size_t> Long;    ///< oldest of long and huge
};

class Ledger : public EndpointLedger {
public:
  explicit Ledger(LedgerOptions Options)
      : Options_(std::move(Options)), Memory_(Options_.Memory),
        Cold_(Options_.Cold), Fair_(Options_.Fair),
        Prefill_(Options_.PrefillTokensPerSecond), Queue_(Options_.Waiting),
        EndedAttempts_(Options_.EndedAttemptRetention,
                       Options_.MaxEndedAttempts),
        NextId_(std::max<std::uint64_t>(Options_.FirstGrantId, 1)) {}

  OfferAnswer offer(GrantRequest Request, TimePoint Now) override;
  void release(std::uint64_t GrantId, GrantOutcome Outcome,
               TimePoint Now) override;
  void cancel(std::string_view RequestId, std::uint32_t Attempt,
              TimePoint Now) override;
  void adopt(const GrantRequest &Request, const Grant &Running,
             TimePoint Now) override;
  void report(const LoadReport &Report, TimePoint Now) override;
  void setShare(Share NewShare, TimePoint Now) override;
  void setLeaving(bool Leaving, TimePoint Now) override;
  void setExpectedStart(std::uint64_t GrantId, TimePoint Start,
                        TimePoint Now) override;
  StartResult start(std::uint64_t GrantId, TimePoint Now) override;
  LedgerEvents poll(TimePoint Now) override;
  LoadHint hint(TimePoint Now) override;
  LedgerStats stats() const override;
  std::vector<Grant> grants() const override;

private:
  using GrantMap = std::unordered_map<std::uint64_t, ActiveGrant>;

  TimePoint advance(TimePoint Now) { return Now_ = std::max(Now_, Now); }
  bool mayGrant() const;
  bool fits(const Waiter &Candidate);
  std::uint64_t findLender(const Waiter &Candidate);
  TimePoint predictEnd(const Waiter &Candidate);
  TimePoint predictFitTime(std::uint64_t Tokens) const;
  void updatePredictedFit(std::size_t Overdue);
  OverdueWaiters findOverdue() const;
  bool canStart(const Waiter &Overdue) const;
  std::uint64_t shorterClassLimit(const Waiter &Overdue) const;
  bool mayPass(const Waiter &Later, const Waiter &Overdue, bool Borrows);
  bool mayPassAll(std::size_t Index, const OverdueWaiters &Overdue,
                  bool Borrows);
  std::optional<std::size_t> chooseNext(std::uint64_t &LenderId);
  bool hasShortDemand() const;
  std::uint32_t removeFinishedLongPrefills();
  std::chrono::microseconds predictStartDelay(std::uint64_t Tokens,
                                              LengthClass Class);
  std::optional<RefusalReason> reasonToRefuse(const GrantRequest &Request);

  void dispatch();
  void grantWaiter(std::size_t Index, std::uint64_t LenderId);
  void checkBypassBound(const Waiter &Chosen, bool Borrows);
  void refuseWaiter(std::size_t Index, RefusalReason Reason);
  void refuseAll(RefusalReason Reason);
  void refuseExpiredAndTooLarge();
  void expireGrants();
  void insertGrant(ActiveGrant NewGrant);
  void endGrant(GrantMap::iterator Found, bool Completed);
  void startRunning(ActiveGrant &Started);
  void dropAllGrants();
  void applyHeldRequests(const LoadReport &Report);

  LedgerOptions Options_;
  MemoryBudget Memory_;
  ColdStart Cold_;
  FairShare Fair_;
  PrefillBacklog Prefill_;
  WaitQueue Queue_;
  RecentRequests EndedAttempts_;
  std::uint64_t NextId_;
  TimePoint Now_{};

  GrantMap ActiveGrants_; ///< by grant id
  std::unordered_map<std::uint64_t, std::uint64_t> GrantIdByKey_;
  std::set<std::pair<TimePoint, std::uint64_t>> Expiries_;
  /// Ids of long prompts in prefill, as of the last removal of finished ones.
  std::vector<std::uint64_t> LongPrefills_;
  /// Ids of grants in state Held or Starting.
  std::vector<std::uint64_t> HeldParts_;
  std::deque<EndedGrant> EndedGrants_; ///< the latest `MaxEndedGrants`

  std::uint64_t Incarnation_ = 0;
  std::uint64_t PreviousIncarnation_ = 0;
  std::optional<TimePoint> ReportedAt_; ///< when the last report was measured
  TimePoint MinReportTime_{};
  std::uint32_t ForeignRequests_ = 0;
  bool LeavingRequested_ = false;
  bool ReportedLeaving_ = false;
  Share RequestedShare_ = Share::None;
  Share ActiveShare_ = Share::None;
  TimePoint ShareRequestedAt_{};
  std::optional<TimePoint> ShortWaitedAt_;
  double MeanHoldSeconds_ = 0; ///< 0 before the first observation

  /// Key that `offer` answers directly instead of by an event; 0 if none.
  std::uint64_t OfferedKey_ = 0;
  LedgerEvents Events_;
  LedgerStats Counters_;
};

std::uint64_t keyOf(std::string_view RequestId, std::uint32_t Attempt) {
  // Seed 0 is used for the hash of the request id alone.
  return hashBytes(RequestId, std::uint64_t{Attempt} + 1);
}

bool Ledger::mayGrant() const {
  return ActiveShare_ != Share::None && !LeavingRequested_ &&
         !ReportedLeaving_ && ReportedAt_ && *ReportedAt_ >= MinReportTime_ &&
         Now_ - *ReportedAt_ <= Options_.MaxReportAge;
}

bool Ledger::hasShortDemand() const {
  return Queue_.count(LengthClass::Short) > 0 ||
         (ShortWaitedAt_ &&
          Now_ - *ShortWaitedAt_ < Options_.ShortDemandWindow);
}

std::uint32_t Ledger::removeFinishedLongPrefills() {
  std::erase_if(LongPrefills_, [this](std::uint64_t Id) {
    const auto Found = ActiveGrants_.find(Id);
    return Found == ActiveGrants_.end() ||
           Prefill_.done(*Found->second.PrefillPosition, Found->second.Class,
                         Now_);
  });
  return static_cast<std::uint32_t>(LongPrefills_.size());
}

bool Ledger::fits(const Waiter &Candidate) {
  if (!Memory_.fits(Candidate.Tokens))
    return false;
  if (!isLong(Candidate.Class))
    return true;
  if (hasShortDemand() && !Memory_.fitsLongPart(Candidate.Tokens))
    return false;
  return LongPrefills_.size() < Options_.MaxLongPrefills;
}

/// Returns the id of a held part whose memory a short request can use because
/// the request is predicted to end before the part starts; 0 if there is none.
std::uint64_t Ledger::findLender(const Waiter &Candidate) {
  if (Candidate.Class != LengthClass::Short || Candidate.Request->HoldUntil)
    return 0;
  const TimePoint End = predictEnd(Candidate);
  for (const std::uint64_t Id : HeldParts_) {
    const ActiveGrant &Part = ActiveGrants_.at(Id);
    if (Part.State == GrantState::Held && End < Part.ExpectedStart &&
        Part.LentTokens + Candidate.Tokens <= Part.Tokens)
      return Id;
  }
  return 0;
}

/// Predicts when the waiter would end if it were granted now and produced
/// `MaxTokens` output tokens.
TimePoint Ledger::predictEnd(const Waiter &Candidate) {
  const GrantRequest &Request = *Candidate.Request;
  const std::uint64_t Output =
      std::min<std::uint64_t>(Request.MaxTokens, MaxPredictedOutput);
  return Now_ + Prefill_.delay(Candidate.Class, Now_) +
         Prefill_.prefillTime(Request.PromptTokens) +
         Options_.TokenInterval * static_cast<std::int64_t>(Output);
}

/// Predicts when enough requests will have ended for this many tokens to fit,
/// at most `MaxBackfill` from now. Returns `Now_` if they would not fit even
/// then.
TimePoint Ledger::predictFitTime(std::uint64_t Tokens) const {
  std::vector<std::pair<TimePoint, std::uint64_t>> Ends;
  Ends.reserve(ActiveGrants_.size());
  for (const auto &[Id, Running] : ActiveGrants_)
    if (Running.LenderId == 0)
      Ends.emplace_back(std::max(Running.ExpectedEnd, Now_), Running.Tokens);
  std::sort(Ends.begin(), Ends.end());
  std::uint64_t Free = Memory_.free();
  for (const auto &[End, Freed] : Ends) {
    Free += Freed;
    if (Free >= Tokens)
      return std::min(End, Now_ + Options_.MaxBackfill);
  }
  return Now_;
}

void Ledger::updatePredictedFit(std::size_t Overdue) {
  const Waiter &BlockedWaiter = Queue_.at(Overdue);
  if (BlockedWaiter.PredictedFitTime ||
      Options_.AllowedBackfill == Backfill::None ||
      (Options_.AllowedBackfill == Backfill::HeldParts &&
       !BlockedWaiter.Request->HoldUntil))
    return;
  Queue_.setPredictedFitTime(Overdue, predictFitTime(BlockedWaiter.Tokens));
}

/// Finds the oldest overdue waiters. Skips those that would not fit even if all
/// requests of this node ended.
OverdueWaiters Ledger::findOverdue() const {
  const std::uint64_t Limit = Memory_.limit();
  OverdueWaiters Found;
  Found.Shorter = Queue_.oldestOverdue(Now_, [Limit](const Waiter &Candidate) {
    return !isLong(Candidate.Class) && Candidate.Tokens <= Limit;
  });
  Found.Long = Queue_.oldestOverdue(Now_, [Limit](const Waiter &Candidate) {
    return isLong(Candidate.Class) && Candidate.Tokens <= Limit;
  });
  return Found;
}

/// Whether an overdue waiter fits now. While short requests wait, a long prompt
/// must also fit the part for long prompts, unless it alone exceeds that part.
bool Ledger::canStart(const Waiter &Overdue) const {
  return Memory_.fits(Overdue.Tokens) &&
         (!isLong(Overdue.Class) || !hasShortDemand() ||
          Memory_.fitsLongPart(Overdue.Tokens) ||
          Overdue.Tokens > Memory_.longPart());
}

/// Tokens that short and medium requests may reserve while a long prompt is
/// overdue.
std::uint64_t Ledger::shorterClassLimit(const Waiter &Overdue) const {
  const std::uint64_t Limit = Memory_.limit();
  return std::min(Limit - std::min(Limit, Memory_.longPart()),
                  Limit - std::min(Limit, Overdue.Tokens));
}

/// Whether a later waiter may start before an overdue one. Only short and
/// medium requests may pass a long prompt, and only if they use memory that the
/// long prompt does not need or are predicted to end before the long prompt
/// fits. `Borrows`: the later waiter uses the memory of a held part.
bool Ledger::mayPass(const Waiter &Later, const Waiter &Overdue, bool Borrows) {
  if (!isLong(Overdue.Class) || isLong(Later.Class))
    return false;
  if (Borrows ||
      Memory_.usedByShorter() + Later.Tokens <= shorterClassLimit(Overdue))
    return true;
  return Overdue.PredictedFitTime && Later.Class == LengthClass::Short &&
         predictEnd(Later) <= *Overdue.PredictedFitTime;
}

bool Ledger::mayPassAll(std::size_t Index, const OverdueWaiters &Overdue,
                        bool Borrows) {
  for (const std::optional<std::size_t> &Older :
       {Overdue.Shorter, Overdue.Long})
    if (Older && *Older < Index &&
        !mayPass(Queue_.at(Index), Queue_.at(*Older), Borrows))
      return false;
  return true;
}

/// Chooses the waiter to be granted next. Sets `LenderId` if that waiter uses
/// the memory of a held part.
std::optional<std::size_t> Ledger::chooseNext(std::uint64_t &LenderId) {
  const OverdueWaiters Overdue = findOverdue();
  if (Overdue.Long)
    updatePredictedFit(*Overdue.Long);
  auto [First, Second] = std::minmax(Overdue.Shorter, Overdue.Long);
  for (const std::optional<std::size_t> &Older : {First, Second})
    if (Older && canStart(Queue_.at(*Older)) &&
        mayPassAll(*Older, Overdue, false))
      return Older;
  if (const auto Next = Queue_.next(Now_, [&](std::size_t Index) {
        return fits(Queue_.at(Index)) && mayPassAll(Index, Overdue, false);
      }))
    return Next;
  if (HeldParts_.empty())
    return std::nullopt;
  const auto Borrower = Queue_.next(Now_, [&](std::size_t Index) {
    return findLender(Queue_.at(Index)) != 0 &&
           mayPassAll(Index, Overdue, true);
  });
  if (Borrower)
    LenderId = findLender(Queue_.at(*Borrower));
  return Borrower;
}

std::chrono::microseconds Ledger::predictStartDelay(std::uint64_t Tokens,
                                                    LengthClass Class) {
  double Seconds = 0;
  const std::uint64_t Needed = Queue_.tokensUpTo(Class) + Tokens;
  const std::uint64_t Free = Memory_.free();
  // Memory becomes free at the rate (reserved tokens / mean time held).
  if (Needed > Free && Memory_.used() > 0)
    Seconds = static_cast<double>(Needed - Free) * MeanHoldSeconds_ /
              static_cast<double>(Memory_.used());
  if (Cold_.cold()) {
    const std::uint64_t Limit = shareOf(Cold_.limit(), ActiveShare_);
    const std::uint64_t Ahead = ActiveGrants_.size() + Queue_.size();
    if (Limit > 0 && Ahead >= Limit)
      Seconds =
          std::max(Seconds, static_cast<double>(Ahead + 1 - Limit) *
                                MeanHoldSeconds_ / static_cast<double>(Limit));
  }
  return std::chrono::microseconds(static_cast<std::int64_t>(Seconds * 1e6)) +
         Prefill_.delay(Class, Now_);
}

std::optional<RefusalReason>
Ledger::reasonToRefuse(const GrantRequest &Request) {
  if (Request.Deadline <= Now_)
    return RefusalReason::Expired;
  if (RequestedShare_ == Share::None)
    return RefusalReason::NoShare;
  if (LeavingRequested_ || ReportedLeaving_)
    return RefusalReason::Leaving;
  const std::uint64_t Tokens = tokensOf(Request);
  if (ReportedAt_ && ActiveShare_ != Share::None &&
      Tokens > Memory_.largestRequest())
    return RefusalReason::TooLarge;
  const std::uint64_t Prompt =
      Request.PromptTokens -
      std::min(Request.CachedTokens, Request.PromptTokens);
  if (Now_ + predictStartDelay(Tokens, Request.Class) +
          Prefill_.prefillTime(Prompt) >
      Request.Deadline)
    return RefusalReason::Late;
  return std::nullopt;
}

OfferAnswer Ledger::offer(GrantRequest Request, TimePoint Now) {
  advance(Now);
  expireGrants();
  OfferAnswer Answer;
  const std::uint64_t Key = keyOf(Request.RequestId, Request.Attempt);
  const auto Refuse = [&](RefusalReason Reason) {
    Answer.Result = OfferResult::Refused;
    Answer.Reason = Reason;
  };
  if (const auto Known = GrantIdByKey_.find(Key);
      Known != GrantIdByKey_.end()) {
    Answer.Result = OfferResult::Granted;
    Answer.Granted = ActiveGrants_.at(Known->second).Info;
  } else if (Queue_.find(Key)) {
    Answer.Result = OfferResult::Queued;
  } else if (const auto Ended = EndedAttempts_.find(Key, Now_)) {
    Refuse(*Ended);
  } else if (const auto Reason = reasonToRefuse(Request)) {
    ++Counters_.Offered;
    ++Counters_.Refused;
    EndedAttempts_.add(Key, *Reason, Now_);
    Refuse(*Reason);
  } else {
    ++Counters_.Offered;
    Waiter NewWaiter;
    NewWaiter.Since = Now_;
    NewWaiter.Key = Key;
    NewWaiter.Tokens = tokensOf(Request);
    NewWaiter.Class = Request.Class;
    NewWaiter.Use = &Fair_.pin(Request.Workspace, Request.Weight, Now_);
    NewWaiter.Request = std::make_unique<GrantRequest>(std::move(Request));
    Queue_.add(std::move(NewWaiter));
    OfferedKey_ = Key;
    dispatch();
    while (Queue_.size() > Options_.MaxWaiting) {
      const double Scale = Fair_.scale(Now_);
      const std::size_t Victim = Queue_.mostDemanding(Scale);
      refuseWaiter(Victim, Queue_.exceedsAnotherDemand(Victim, Scale)
                               ? RefusalReason::OverShare
                               : RefusalReason::QueueFull);
    }
    OfferedKey_ = 0;
    if (const auto Granted = GrantIdByKey_.find(Key);
        Granted != GrantIdByKey_.end()) {
      Answer.Result = OfferResult::Granted;
      Answer.Granted = ActiveGrants_.at(Granted->second).Info;
    } else if (Queue_.find(Key)) {
      Answer.Result = OfferResult::Queued;
    } else {
      Refuse(EndedAttempts_.find(Key, Now_).value_or(RefusalReason::QueueFull));
    }
  }
  Answer.Load = hint(Now_);
  return Answer;
}

void Ledger::dispatch() {
  if (!mayGrant())
    return;
  removeFinishedLongPrefills();
  while (Queue_.size() > 0 &&
         Cold_.allows(ActiveGrants_.size(), ForeignRequests_, ActiveShare_)) {
    std::uint64_t LenderId = 0;
    const auto Chosen = chooseNext(LenderId);
    if (!Chosen)
      break;
    grantWaiter(*Chosen, LenderId);
  }
  for (std::size_t Index = 0; Index < Queue_.size(); ++Index)
    if (Queue_.at(Index).Class == LengthClass::Short &&
        !Memory_.fits(Queue_.at(Index).Tokens)) {
      ShortWaitedAt_ = Now_;
      break;
    }
}

void Ledger::grantWaiter(std::size_t Index, std::uint64_t LenderId) {
  const TimePoint End = predictEnd(Queue_.at(Index));
  const Waiter Chosen = Queue_.take(Index);
  const GrantRequest &Request = *Chosen.Request;
  checkBypassBound(Chosen, LenderId != 0);
  CASSIASHED_INVARIANT(
      Cold_.allows(ActiveGrants_.size(), ForeignRequests_, ActiveShare_),
      "the limit of a cold endpoint is exceeded");
  Fair_.addUse(*Chosen.Use, Chosen.Tokens, Now_);
  Fair_.unpin(*Chosen.Use);

  ActiveGrant NewGrant;
  NewGrant.Info.Id = NextId_++;
  NewGrant.Info.RequestId = Request.RequestId;
  NewGrant.Info.Attempt = Request.Attempt;
  NewGrant.Info.Node = Request.Node;
  NewGrant.Info.Incarnation = Incarnation_;
  NewGrant.Info.Tokens = Chosen.Tokens;
  NewGrant.Info.SendBy = Now_ + Options_.SendWithin;
  NewGrant.Info.Expiry =
      std::min(Request.Deadline, Request.HoldUntil.value_or(Request.Deadline));
  NewGrant.Class = Chosen.Class;
  NewGrant.State = Request.HoldUntil ? GrantState::Held : GrantState::Running;
  NewGrant.Key = Chosen.Key;
  NewGrant.Tokens = Chosen.Tokens;
  NewGrant.PrefillTokens = Request.PromptTokens -
                           std::min(Request.CachedTokens, Request.PromptTokens);
  NewGrant.GrantedAt = Now_;
  NewGrant.Deadline = Request.Deadline;
  NewGrant.ExpectedStart = Now_;
  NewGrant.ExpectedEnd = Request.HoldUntil ? NewGrant.Info.Expiry : End;
  NewGrant.LenderId = LenderId;
  if (LenderId == 0) {
    Memory_.reserve(Chosen.Tokens, Chosen.Class);
  } else {
    ActiveGrant &Part = ActiveGrants_.at(LenderId);
    Part.LentTokens += Chosen.Tokens;
    CASSIASHED_INVARIANT(Part.LentTokens <= Part.Tokens,
                         "more memory of a held part is used than it holds");
  }
  ++Counters_.Granted;
  if (Chosen.Key != OfferedKey_)
    Events_.Granted.push_back(NewGrant.Info);
  insertGrant(std::move(NewGrant));
}

/// Checks the limits on passing overdue waiters that `WaitQueue` describes.
void Ledger::checkBypassBound(const Waiter &Chosen, bool Borrows) {
  const OverdueWaiters Overdue = findOverdue();
  for (const std::optional<std::size_t> &Older :
       {Overdue.Shorter, Overdue.Long})
    CASSIASHED_INVARIANT(!Older || Queue_.at(*Older).Since >= Chosen.Since ||
                             mayPass(Chosen, Queue_.at(*Older), Borrows),
                         "an overdue waiter was passed by a later one");
}

void Ledger::insertGrant(ActiveGrant NewGrant) {
  NewGrant.IdHash = hashBytes(NewGrant.Info.RequestId);
  const std::uint64_t Id = NewGrant.Info.Id;
  Expiries_.emplace(NewGrant.Info.Expiry, Id);
  GrantIdByKey_.emplace(NewGrant.Key, Id);
  ActiveGrant &Inserted =
      ActiveGrants_.emplace(Id, std::move(NewGrant)).first->second;
  if (Inserted.State == GrantState::Running)
    startRunning(Inserted);
  else
    HeldParts_.push_back(Id);
}

void Ledger::startRunning(ActiveGrant &Started) {
  Started.State = GrantState::Running;
  Started.PrefillPosition =
      Prefill_.add(Started.PrefillTokens, Started.Class, Now_);
  if (isLong(Started.Class))
    LongPrefills_.push_back(Started.Info.Id);
}

void Ledger::refuseWaiter(std::size_t Index, RefusalReason Reason) {
  const Waiter Refused = Queue_.take(Index);
  Fair_.unpin(*Refused.Use);
  EndedAttempts_.add(Refused.Key, Reason, Now_);
  ++Counters_.Refused;
  if (Refused.Key != OfferedKey_)
    Events_.Refused.push_back({Refused.Request->RequestId,
                               Refused.Request->Attempt, Refused.Request->Node,
                               Reason});
}

void Ledger::refuseAll(RefusalReason Reason) {
  while (Queue_.size() > 0)
    refuseWaiter(Queue_.size() - 1, Reason);
}

/// Refuses waiters that are past their deadline or can no longer fit.
void Ledger::refuseExpiredAndTooLarge() {
  const std::uint64_t Largest = ReportedAt_ && ActiveShare_ != Share::None
                                    ? Memory_.largestRequest()
                                    : std::numeric_limits<std::uint64_t>::max();
  for (std::size_t Index = Queue_.size(); Index-- > 0;) {
    const Waiter &Candidate = Queue_.at(Index);
    if (Candidate.Request->Deadline <= Now_)
      refuseWaiter(Index, RefusalReason::Expired);
    else if (Candidate.Tokens > Largest)
      refuseWaiter(Index, RefusalReason::TooLarge);
  }
}

void Ledger::release(std::uint64_t GrantId, GrantOutcome Outcome,
                     TimePoint Now) {
  advance(Now);
  const auto Found = ActiveGrants_.find(GrantId);
  if (Found == ActiveGrants_.end())
    return;
  if (Outcome == GrantOutcome::Completed)
    Cold_.addCompleted();
  // The endpoint may have restarted cold: grant nothing until a newer report.
  if (Outcome == GrantOutcome::EndpointFailed)
    MinReportTime_ = Now_;
  endGrant(Found, Outcome == GrantOutcome::Completed);
}

void Ledger::cancel(std::string_view RequestId, std::uint32_t Attempt,
                    TimePoint Now) {
  advance(Now);
  const std::uint64_t Key = keyOf(RequestId, Attempt);
  // Drop an answer that `poll` has not returned yet.
  const auto IsSameAttempt = [&](const auto &Answer) {
    return Answer.Attempt == Attempt && Answer.RequestId == RequestId;
  };
  std::erase_if(Events_.Granted, IsSameAttempt);
  std::erase_if(Events_.Refused, IsSameAttempt);
  if (const auto Known = GrantIdByKey_.find(Key);
      Known != GrantIdByKey_.end()) {
    const std::uint64_t Id = Known->second;
    endGrant(ActiveGrants_.find(Id), false);
    return;
  }
  if (const auto Index = Queue_.find(Key)) {
    Fair_.unpin(*Queue_.take(*Index).Use);
  }
  EndedAttempts_.add(Key, RefusalReason::AlreadyEnded, Now_);
}

/// Removes a granted attempt and releases everything reserved for it.
void Ledger::endGrant(GrantMap::iterator Found, bool Completed) {
  ActiveGrant Ended = std::move(Found->second);
  ActiveGrants_.erase(Found);
  if (const auto Known = GrantIdByKey_.find(Ended.Key);
      Known != GrantIdByKey_.end() && Known->second == Ended.Info.Id)
    GrantIdByKey_.erase(Known);
  Expiries_.erase({Ended.Info.Expiry, Ended.Info.Id});
  EndedAttempts_.add(Ended.Key, RefusalReason::AlreadyEnded, Now_);
  if (EndedGrants_.size() >= MaxEndedGrants)
    EndedGrants_.pop_front();
  EndedGrants_.push_back({Ended.Info, Ended.IdHash, Now_});
  if (Ended.PrefillPosition)
    Prefill_.remove(*Ended.PrefillPosition, Ended.PrefillTokens, Ended.Class,
                    Now_);
  if (Completed) {
    const double Seconds =
        std::chrono::duration<double>(Now_ - Ended.GrantedAt).count();
    MeanHoldSeconds_ = MeanHoldSeconds_ == 0
                           ? Seconds
                           : MeanHoldSeconds_ + (Seconds - MeanHoldSeconds_) *
                                                    HoldTimeSmoothing;
  }
  if (Ended.LenderId == 0) {
    Memory_.release(Ended.Tokens, Ended.Class);
  } else {
    ActiveGrant &Part = ActiveGrants_.at(Ended.LenderId);
    Part.LentTokens -= Ended.Tokens;
    if (Part.State == GrantState::Starting && Part.LentTokens == 0) {
      std::erase(HeldParts_, Part.Info.Id);
      startRunning(Part);
      Events_.Started.push_back(Part.Info);
    }
  }
  if (std::erase(HeldParts_, Ended.Info.Id) == 0)
    return;
  // Requests that used the memory of this part now reserve their own.
  for (auto &[Id, Other] : ActiveGrants_)
    if (Other.LenderId == Ended.Info.Id) {
      Other.LenderId = 0;
      Memory_.add(Other.Tokens, Other.Class);
    }
}

/// Processes grants past their expiry. Parts that were not started use no
/// memory at the endpoint and end at once. The memory of other grants stays
/// reserved until `release` or a report confirms that the endpoint has freed
/// it.
void Ledger::expireGrants() {
  while (!Expiries_.empty() && Expiries_.begin()->first <= Now_) {
    const auto Found = ActiveGrants_.find(Expiries_.begin()->second);
    ActiveGrant &PastExpiry = Found->second;
    ++Counters_.Expired;
    Events_.Expired.push_back(PastExpiry.Info);
    if (PastExpiry.State != GrantState::Running) {
      endGrant(Found, false);
      continue;
    }
    PastExpiry.State = GrantState::Expired;
    Expiries_.erase(Expiries_.begin());
    GrantIdByKey_.erase(PastExpiry.Key);
    EndedAttempts_.add(PastExpiry.Key, RefusalReason::AlreadyEnded, Now_);
  }
}

void Ledger::adopt(const GrantRequest &Request, const Grant &Running,
                   TimePoint Now) {
  advance(Now);
  const std::uint64_t Key = keyOf(Request.RequestId, Request.Attempt);
  if (GrantIdByKey_.contains(Key) || ActiveGrants_.contains(Running.Id) ||
      EndedAttempts_.find(Key, Now_) || Running.Expiry <= Now_ ||
      (ReportedAt_ && Running.Incarnation != Incarnation_))
    return;
  if (const auto Index = Queue_.find(Key))
    Fair_.unpin(*Queue_.take(*Index).Use);
  if (!ReportedAt_)
    Incarnation_ = Running.Incarnation;
  ActiveGrant Adopted;
  Adopted.Info = Running;
  Adopted.Class = Request.Class;
  Adopted.Key = Key;
  Adopted.Tokens = Running.Tokens;
  Adopted.GrantedAt = Now_;
  Adopted.Deadline = Request.Deadline;
  Adopted.ExpectedEnd = Running.Expiry;
  Memory_.add(Running.Tokens, Request.Class);
  insertGrant(std::move(Adopted));
  // The last report counted this attempt as foreign: wait for a newer one.
  MinReportTime_ = Now_;
}

void Ledger::setShare(Share NewShare, TimePoint Now) {
  advance(Now);
  RequestedShare_ = NewShare;
  ShareRequestedAt_ = Now_;
  if (shareOf(3, NewShare) <= shareOf(3, ActiveShare_)) {
    ActiveShare_ = NewShare;
    Memory_.setShare(ActiveShare_);
  }
  if (RequestedShare_ == Share::None)
    refuseAll(RefusalReason::NoShare);
}

void Ledger::setLeaving(bool Leaving, TimePoint Now) {
  advance(Now);
  LeavingRequested_ = Leaving;
  if (Leaving)
    refuseAll(RefusalReason::Leaving);
}

void Ledger::report(const LoadReport &Report, TimePoint Now) {
  advance(Now);
  if (ReportedAt_ && Report.MeasuredAt <= *ReportedAt_)
    return;
  if (Report.Incarnation != Incarnation_) {
    // Ignore a delayed report of the previous incarnation.
    if (ReportedAt_ && Report.Incarnation == PreviousIncarnation_)
      return;
    dropAllGrants();
    PreviousIncarnation_ = Incarnation_;
    Incarnation_ = Report.Incarnation;
    Cold_.reset();
  }
  ReportedAt_ = Report.MeasuredAt;
  ReportedLeaving_ = Report.State == EndpointState::Leaving;
  if (!ReportedLeaving_)
    Cold_.setWarm(Report.State == EndpointState::Warm);
  Memory_.setCapacity(Report.CapacityTokens);
  applyHeldRequests(Report);
  if (RequestedShare_ != ActiveShare_ &&
      Report.MeasuredAt >= ShareRequestedAt_) {
    ActiveShare_ = RequestedShare_;
    Memory_.setShare(ActiveShare_);
  }
  if (ReportedLeaving_)
    refuseAll(RefusalReason::Leaving);
}

/// Updates reserved and foreign tokens from the requests that the endpoint
/// reports as held, and finds orphans.
void Ledger::applyHeldRequests(const LoadReport &Report) {
  std::unordered_set<std::uint64_t> ReportedIds;
  for (const HeldRequest &Entry : Report.Requests)
    ReportedIds.insert(hashBytes(Entry.RequestId));
  std::vector<std::uint64_t> Confirmed;
  for (const auto &[Id, PastExpiry] : ActiveGrants_) {
    if (PastExpiry.State != GrantState::Expired ||
        PastExpiry.Info.Expiry > Report.MeasuredAt)
      continue;
    if (ReportedIds.contains(PastExpiry.IdHash))
      Events_.Orphans.push_back(PastExpiry.Info);
    else
      Confirmed.push_back(Id);
  }
  for (const std::uint64_t Id : Confirmed)
    endGrant(ActiveGrants_.find(Id), false);

  std::unordered_map<std::uint64_t, ActiveGrant *> OwnGrants;
  for (auto &[Id, Running] : ActiveGrants_)
    OwnGrants.emplace(Running.IdHash, &Running);
  std::uint64_t ListedTokens = 0;
  std::uint64_t Foreign = 0;
  ForeignRequests_ = 0;
  for (const HeldRequest &Entry : Report.Requests) {
    ListedTokens += Entry.Tokens;
    const std::uint64_t IdHash = hashBytes(Entry.RequestId);
    if (const auto Found = OwnGrants.find(IdHash); Found != OwnGrants.end()) {
      ActiveGrant &Running = *Found->second;
      if (Entry.Tokens <= Running.Tokens)
        continue;
      if (Running.LenderId != 0) {
        // It needs more than it borrowed: reserve its own memory instead.
        ActiveGrants_.at(Running.LenderId).LentTokens -= Running.Tokens;
        Running.LenderId = 0;
        Memory_.add(Running.Tokens, Running.Class);
      }
      Memory_.add(Entry.Tokens - Running.Tokens, Running.Class);
      Running.Tokens = Entry.Tokens;
      continue;
    }
    const auto Ended = std::find_if(
        EndedGrants_.rbegin(), EndedGrants_.rend(),
        [IdHash](const EndedGrant &Done) { return Done.IdHash == IdHash; });
    if (Ended != EndedGrants_.rend()) {
      if (Ended->At >= Report.MeasuredAt)
        continue;
      Events_.Orphans.push_back(Ended->Info);
    }
    Foreign += Entry.Tokens;
    ++ForeignRequests_;
  }
  // Count exports and unlisted requests as foreign. Grants of this ledger that
  // ended since the measurement are not subtracted: the endpoint may have freed
  // their memory before it measured.
  if (Report.HeldTokens > ListedTokens)
    Foreign += Report.HeldTokens - ListedTokens;
  Memory_.setForeign(Foreign);
}

void Ledger::dropAllGrants() {
  // Otherwise a part in state Starting would be reported as started when the
  // requests that use its memory end.
  for (const std::uint64_t Id : HeldParts_)
    ActiveGrants_.at(Id).State = GrantState::Held;
  while (!ActiveGrants_.empty()) {
    const auto Found = ActiveGrants_.begin();
    ++Counters_.Lost;
    Events_.Lost.push_back(Found->second.Info);
    endGrant(Found, false);
  }
  EndedGrants_.clear();
  Prefill_.clear();
}

void Ledger::setExpectedStart(std::uint64_t GrantId, TimePoint Start,
                              TimePoint Now) {
  advance(Now);
  const auto Found = ActiveGrants_.find(GrantId);
  if (Found != ActiveGrants_.end() && Found->second.State == GrantState::Held)
    Found->second.ExpectedStart = Start;
}

StartResult Ledger::start(std::uint64_t GrantId, TimePoint Now) {
  advance(Now);
  expireGrants();
  const auto Found = ActiveGrants_.find(GrantId);
  if (Found == ActiveGrants_.end())
    return StartResult::Gone;
  ActiveGrant &Part = Found->second;
  if (Part.State == GrantState::Running)
    return StartResult::Started;
  if (Part.State == GrantState::Held) {
    // A started part no longer expires at `HoldUntil` but at its deadline.
    Expiries_.erase({Part.Info.Expiry, GrantId});
    Part.Info.Expiry = Part.Deadline;
    Expiries_.emplace(Part.Info.Expiry, GrantId);
    Part.State = GrantState::Starting;
    Part.Info.SendBy = Now_ + Options_.SendWithin;
  }
  if (Part.LentTokens > 0)
    return StartResult::Pending;
  std::erase(HeldParts_, GrantId);
  startRunning(Part);
  return StartResult::Started;
}

LedgerEvents Ledger::poll(TimePoint Now) {
  advance(Now);
  expireGrants();
  refuseExpiredAndTooLarge();
  dispatch();
  return std::exchange(Events_, {});
}

LoadHint Ledger::hint(TimePoint Now) {
  advance(Now);
  LoadHint Hint;
  Hint.FreeTokens = mayGrant() ? Memory_.free() : 0;
  Hint.Running = static_cast<std::uint32_t>(ActiveGrants_.size());
  Hint.Waiting = static_cast<std::uint32_t>(Queue_.size());
  Hint.Incarnation = Incarnation_;
  Hint.Cold = Cold_.cold();
  Hint.Leaving = LeavingRequested_ || ReportedLeaving_;
  for (int Class = 0; Class < LengthClassCount; ++Class)
    Hint.StartDelay[static_cast<std::size_t>(Class)] =
        predictStartDelay(0, static_cast<LengthClass>(Class));
  return Hint;
}

LedgerStats Ledger::stats() const {
  LedgerStats Stats = Counters_;
  Stats.Running = static_cast<std::uint32_t>(ActiveGrants_.size());
  Stats.Waiting = static_cast<std::uint32_t>(Queue_.size());
  Stats.LimitTokens = Memory_.limit();
  Stats.ReservedTokens = Memory_.used();
  Stats.LongTokens = Memory_.usedByLong();
  Stats.ForeignTokens = Memory_.foreign();
  Stats.ForeignRequests = ForeignRequests_;
  Stats.ColdLimit = Cold_.cold() ? Cold_.limit() : 0;
  Stats.ActiveShare = ActiveShare_;
  return Stats;
}

std::vector<Grant> Ledger::grants() const {
  std::vector<Grant> All;
  All.reserve(ActiveGrants_.size());
  for (const auto &[Id, Running] : ActiveGrants_)
    All.push_back(Running.Info);
  return All;
}

} // namespace

std::unique_ptr<EndpointLedger> makeEndpointLedger(LedgerOptions Options) {
  return std::make_unique<Ledger>(std::move(Options));
}

} // namespace cassiashed::scheduling
