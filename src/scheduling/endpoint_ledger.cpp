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

/// Released grants that are looked for in reports. A request that an endpoint
/// still holds after this many more releases is counted as foreign only.
constexpr std::size_t MaxReleases = 512;

/// Output beyond this is not taken into account when predicting an end; it
/// keeps the multiplication in range whatever the caller asks for.
constexpr std::uint64_t MaxPredictedOutput = 1000000;

/// Weight of one more observation in the running mean of holding times.
constexpr double HoldSmoothing = 1.0 / 32;

enum class HoldState : std::uint8_t {
  Running,
  Held,     ///< part of a prompt over several engines, not started
  Starting, ///< waits for the short requests that use its memory
  Expired,  ///< its time passed; the endpoint may still hold its memory
};

/// A granted attempt.
struct Holder {
  Grant Info;
  LengthClass Class = LengthClass::Short;
  HoldState State = HoldState::Running;
  std::uint64_t Key = 0;    ///< hash of request id and attempt
  std::uint64_t IdHash = 0; ///< hash of the request id alone
  std::uint64_t Tokens = 0; ///< reserved, corrected upwards by reports
  std::uint64_t PrefillTokens = 0;
  std::optional<double> PrefillPosition;
  TimePoint GrantedAt;
  TimePoint Deadline;
  TimePoint ExpectedStart; ///< while held
  TimePoint ExpectedEnd;
  std::uint64_t Lent = 0;   ///< tokens of a held part used by short requests
  std::uint64_t Lender = 0; ///< grant whose memory is used, 0: the endpoint's
};

/// A grant that ended, for comparison with reports.
struct Release {
  Grant Info;
  std::uint64_t IdHash;
  TimePoint At;
};

/// Places of the overdue waiters that limit what may be granted.
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
        Recent_(Options_.RememberFor, Options_.MaxRemembered),
        NextId_(std::max<std::uint64_t>(Options_.FirstGrantId, 1)) {}

  OfferAnswer offer(GrantRequest Request, TimePoint Now) override;
  void release(std::uint64_t GrantId, GrantOutcome Outcome,
               TimePoint Now) override;
  void cancel(std::string_view RequestId, std::uint32_t Attempt,
              TimePoint Now) override;
  void adopt(const GrantRequest &Request, const Grant &Running,
             TimePoint Now) override;
  void report(const LoadReport &Report, TimePoint Now) override;
  void setShare(Share InForce, TimePoint Now) override;
  void setLeaving(bool Leaving, TimePoint Now) override;
  void setExpectedStart(std::uint64_t GrantId, TimePoint Start,
                        TimePoint Now) override;
  StartResult start(std::uint64_t GrantId, TimePoint Now) override;
  LedgerEvents poll(TimePoint Now) override;
  LoadHint hint(TimePoint Now) override;
  LedgerStats stats() const override;
  std::vector<Grant> grants() const override;

private:
  using Holders = std::unordered_map<std::uint64_t, Holder>;

  TimePoint advance(TimePoint Now) { return Now_ = std::max(Now_, Now); }
  bool mayGrant() const;
  bool fits(const Waiter &Candidate);
  std::uint64_t lenderFor(const Waiter &Candidate);
  TimePoint predictEnd(const Waiter &Candidate);
  TimePoint predictRoom(std::uint64_t Tokens) const;
  void predictRoomFor(std::size_t Overdue);
  OverdueWaiters findOverdue() const;
  bool canStart(const Waiter &Overdue) const;
  std::uint64_t shorterPart(const Waiter &Overdue) const;
  bool mayPass(const Waiter &Later, const Waiter &Overdue, bool Borrows);
  bool passes(std::size_t Index, const OverdueWaiters &Overdue, bool Borrows);
  std::optional<std::size_t> chooseNext(std::uint64_t &Lender);
  bool shortsWait() const;
  std::uint32_t longPrefills();
  std::chrono::microseconds predictStart(std::uint64_t Tokens,
                                         LengthClass Class);
  std::optional<RefusalReason> reasonToRefuse(const GrantRequest &Request);

  void dispatch();
  void grantWaiter(std::size_t Index, std::uint64_t Lender);
  void checkOrder(const Waiter &Chosen, bool Borrows);
  void refuseWaiter(std::size_t Index, RefusalReason Reason);
  void refuseAll(RefusalReason Reason);
  void refuseHopeless();
  void reclaimExpired();
  void insert(Holder Arrival);
  void end(Holders::iterator Found, bool Completed);
  void beginRunning(Holder &Part);
  void loseAll();
  void useReport(const LoadReport &Report);

  LedgerOptions Options_;
  MemoryBudget Memory_;
  ColdStart Cold_;
  FairShare Fair_;
  PrefillBacklog Prefill_;
  WaitQueue Queue_;
  RecentRequests Recent_;
  std::uint64_t NextId_;
  TimePoint Now_{};

  Holders Holders_; ///< by grant id
  std::unordered_map<std::uint64_t, std::uint64_t> IdOfKey_;
  std::set<std::pair<TimePoint, std::uint64_t>> Expiries_;
  /// Long prompts that were in prefill when last looked at.
  std::vector<std::uint64_t> LongPrefills_;
  std::vector<std::uint64_t> Held_; ///< ids in state Held or Starting
  std::deque<Release> Releases_;    ///< the latest ones

  std::uint64_t Incarnation_ = 0;
  std::uint64_t EarlierIncarnation_ = 0;
  std::optional<TimePoint> ReportedAt_; ///< when the last report was measured
  TimePoint ReportNotBefore_{};
  std::uint32_t ForeignRequests_ = 0;
  bool OrderedToLeave_ = false;
  bool ReportedLeaving_ = false;
  Share Wanted_ = Share::None;
  Share InForce_ = Share::None;
  TimePoint WantedSince_{};
  std::optional<TimePoint> ShortWaitedAt_;
  double MeanHoldSeconds_ = 0; ///< 0: nothing observed

  std::uint64_t Offering_ = 0; ///< key whose answer `offer` returns itself
  LedgerEvents Events_;
  LedgerStats Counters_;
};

std::uint64_t keyOf(std::string_view RequestId, std::uint32_t Attempt) {
  // Seed 0 is the hash of the id alone.
  return hashBytes(RequestId, std::uint64_t{Attempt} + 1);
}

bool Ledger::mayGrant() const {
  return InForce_ != Share::None && !OrderedToLeave_ && !ReportedLeaving_ &&
         ReportedAt_ && *ReportedAt_ >= ReportNotBefore_ &&
         Now_ - *ReportedAt_ <= Options_.MaxReportAge;
}

bool Ledger::shortsWait() const {
  return Queue_.count(LengthClass::Short) > 0 ||
         (ShortWaitedAt_ &&
          Now_ - *ShortWaitedAt_ < Options_.ShortDemandWindow);
}

std::uint32_t Ledger::longPrefills() {
  std::erase_if(LongPrefills_, [this](std::uint64_t Id) {
    const auto Found = Holders_.find(Id);
    return Found == Holders_.end() ||
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
  if (shortsWait() && !Memory_.fitsLongPart(Candidate.Tokens))
    return false;
  return LongPrefills_.size() < Options_.MaxLongPrefills;
}

/// The held part whose memory a short request can use because it ends before
/// that part's expected start; 0 if there is none.
std::uint64_t Ledger::lenderFor(const Waiter &Candidate) {
  if (Candidate.Class != LengthClass::Short || Candidate.Request->HoldUntil)
    return 0;
  const TimePoint End = predictEnd(Candidate);
  for (const std::uint64_t Id : Held_) {
    const Holder &Part = Holders_.at(Id);
    if (Part.State == HoldState::Held && End < Part.ExpectedStart &&
        Part.Lent + Candidate.Tokens <= Part.Tokens)
      return Id;
  }
  return 0;
}

/// When the waiter would end if it were granted now and used all its tokens.
TimePoint Ledger::predictEnd(const Waiter &Candidate) {
  const GrantRequest &Request = *Candidate.Request;
  const std::uint64_t Output =
      std::min<std::uint64_t>(Request.MaxTokens, MaxPredictedOutput);
  return Now_ + Prefill_.delay(Candidate.Class, Now_) +
         Prefill_.prefillTime(Request.PromptTokens) +
         Options_.TokenInterval * static_cast<std::int64_t>(Output);
}

/// When running requests will have left room for this many tokens.
TimePoint Ledger::predictRoom(std::uint64_t Tokens) const {
  std::vector<std::pair<TimePoint, std::uint64_t>> Ends;
  Ends.reserve(Holders_.size());
  for (const auto &[Id, Running] : Holders_)
    if (Running.Lender == 0)
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

void Ledger::predictRoomFor(std::size_t Overdue) {
  const Waiter &Blocked = Queue_.at(Overdue);
  if (Blocked.RoomAt || Options_.PassOverdue == Backfill::None ||
      (Options_.PassOverdue == Backfill::HeldParts &&
       !Blocked.Request->HoldUntil))
    return;
  Queue_.setRoomAt(Overdue, predictRoom(Blocked.Tokens));
}

/// The oldest overdue waiters, without those that could not start even if this
/// node's requests all ended.
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

/// A long prompt stays within the part for long prompts while short requests
/// wait, unless it alone needs more.
bool Ledger::canStart(const Waiter &Overdue) const {
  return Memory_.fits(Overdue.Tokens) &&
         (!isLong(Overdue.Class) || !shortsWait() ||
          Memory_.fitsLongPart(Overdue.Tokens) ||
          Overdue.Tokens > Memory_.longPart());
}

/// Memory that shorter classes may hold while a long prompt is overdue.
std::uint64_t Ledger::shorterPart(const Waiter &Overdue) const {
  const std::uint64_t Limit = Memory_.limit();
  return std::min(Limit - std::min(Limit, Memory_.longPart()),
                  Limit - std::min(Limit, Overdue.Tokens));
}

/// Whether a later waiter may start before an overdue one: only a shorter
/// class before a long prompt, and only in memory that the long prompt is not
/// served from or that is predicted to be free again in time.
bool Ledger::mayPass(const Waiter &Later, const Waiter &Overdue, bool Borrows) {
  if (!isLong(Overdue.Class) || isLong(Later.Class))
    return false;
  if (Borrows || Memory_.usedByShorter() + Later.Tokens <= shorterPart(Overdue))
    return true;
  return Overdue.RoomAt && Later.Class == LengthClass::Short &&
         predictEnd(Later) <= *Overdue.RoomAt;
}

bool Ledger::passes(std::size_t Index, const OverdueWaiters &Overdue,
                    bool Borrows) {
  for (const std::optional<std::size_t> &Older :
       {Overdue.Shorter, Overdue.Long})
    if (Older && *Older < Index &&
        !mayPass(Queue_.at(Index), Queue_.at(*Older), Borrows))
      return false;
  return true;
}

/// The waiter to be granted next; `Lender` is set if it uses the memory of a
/// held part.
std::optional<std::size_t> Ledger::chooseNext(std::uint64_t &Lender) {
  const OverdueWaiters Overdue = findOverdue();
  if (Overdue.Long)
    predictRoomFor(*Overdue.Long);
  auto [First, Second] = std::minmax(Overdue.Shorter, Overdue.Long);
  for (const std::optional<std::size_t> &Older : {First, Second})
    if (Older && canStart(Queue_.at(*Older)) && passes(*Older, Overdue, false))
      return Older;
  if (const auto Next = Queue_.next(Now_, [&](std::size_t Index) {
        return fits(Queue_.at(Index)) && passes(Index, Overdue, false);
      }))
    return Next;
  if (Held_.empty())
    return std::nullopt;
  const auto Borrower = Queue_.next(Now_, [&](std::size_t Index) {
    return lenderFor(Queue_.at(Index)) != 0 && passes(Index, Overdue, true);
  });
  if (Borrower)
    Lender = lenderFor(Queue_.at(*Borrower));
  return Borrower;
}

std::chrono::microseconds Ledger::predictStart(std::uint64_t Tokens,
                                               LengthClass Class) {
  double Seconds = 0;
  const std::uint64_t Needed = Queue_.tokensUpTo(Class) + Tokens;
  const std::uint64_t Free = Memory_.free();
  // Memory becomes free at the rate (reserved / mean holding time).
  if (Needed > Free && Memory_.used() > 0)
    Seconds = static_cast<double>(Needed - Free) * MeanHoldSeconds_ /
              static_cast<double>(Memory_.used());
  if (Cold_.cold()) {
    const std::uint64_t Limit = shareOf(Cold_.limit(), InForce_);
    const std::uint64_t Ahead = Holders_.size() + Queue_.size();
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
  if (Wanted_ == Share::None)
    return RefusalReason::NoShare;
  if (OrderedToLeave_ || ReportedLeaving_)
    return RefusalReason::Leaving;
  const std::uint64_t Tokens = tokensOf(Request);
  if (ReportedAt_ && InForce_ != Share::None &&
      Tokens > Memory_.largestRequest())
    return RefusalReason::TooLarge;
  const std::uint64_t Prompt =
      Request.PromptTokens -
      std::min(Request.CachedTokens, Request.PromptTokens);
  if (Now_ + predictStart(Tokens, Request.Class) +
          Prefill_.prefillTime(Prompt) >
      Request.Deadline)
    return RefusalReason::Late;
  return std::nullopt;
}

OfferAnswer Ledger::offer(GrantRequest Request, TimePoint Now) {
  advance(Now);
  reclaimExpired();
  OfferAnswer Answer;
  const std::uint64_t Key = keyOf(Request.RequestId, Request.Attempt);
  const auto Refuse = [&](RefusalReason Reason) {
    Answer.Result = OfferResult::Refused;
    Answer.Reason = Reason;
  };
  if (const auto Known = IdOfKey_.find(Key); Known != IdOfKey_.end()) {
    Answer.Result = OfferResult::Granted;
    Answer.Granted = Holders_.at(Known->second).Info;
  } else if (Queue_.find(Key)) {
    Answer.Result = OfferResult::Queued;
  } else if (const auto Ended = Recent_.find(Key, Now_)) {
    Refuse(*Ended);
  } else if (const auto Reason = reasonToRefuse(Request)) {
    ++Counters_.Offered;
    ++Counters_.Refused;
    Recent_.add(Key, *Reason, Now_);
    Refuse(*Reason);
  } else {
    ++Counters_.Offered;
    Waiter Arrival;
    Arrival.Since = Now_;
    Arrival.Key = Key;
    Arrival.Tokens = tokensOf(Request);
    Arrival.Class = Request.Class;
    Arrival.Use = &Fair_.pin(Request.Workspace, Request.Weight, Now_);
    Arrival.Request = std::make_unique<GrantRequest>(std::move(Request));
    Queue_.add(std::move(Arrival));
    Offering_ = Key;
    dispatch();
    while (Queue_.size() > Options_.MaxWaiting) {
      const double Scale = Fair_.scale(Now_);
      const std::size_t Victim = Queue_.mostDemanding(Scale);
      refuseWaiter(Victim, Queue_.exceedsAnotherDemand(Victim, Scale)
                               ? RefusalReason::OverShare
                               : RefusalReason::QueueFull);
    }
    Offering_ = 0;
    if (const auto Granted = IdOfKey_.find(Key); Granted != IdOfKey_.end()) {
      Answer.Result = OfferResult::Granted;
      Answer.Granted = Holders_.at(Granted->second).Info;
    } else if (Queue_.find(Key)) {
      Answer.Result = OfferResult::Queued;
    } else {
      Refuse(Recent_.find(Key, Now_).value_or(RefusalReason::QueueFull));
    }
  }
  Answer.Load = hint(Now_);
  return Answer;
}

void Ledger::dispatch() {
  if (!mayGrant())
    return;
  longPrefills();
  while (Queue_.size() > 0 &&
         Cold_.allows(Holders_.size(), ForeignRequests_, InForce_)) {
    std::uint64_t Lender = 0;
    const auto Chosen = chooseNext(Lender);
    if (!Chosen)
      break;
    grantWaiter(*Chosen, Lender);
  }
  for (std::size_t Index = 0; Index < Queue_.size(); ++Index)
    if (Queue_.at(Index).Class == LengthClass::Short &&
        !Memory_.fits(Queue_.at(Index).Tokens)) {
      ShortWaitedAt_ = Now_;
      break;
    }
}

void Ledger::grantWaiter(std::size_t Index, std::uint64_t Lender) {
  const TimePoint End = predictEnd(Queue_.at(Index));
  const Waiter Chosen = Queue_.take(Index);
  const GrantRequest &Request = *Chosen.Request;
  checkOrder(Chosen, Lender != 0);
  CASSIASHED_INVARIANT(
      Cold_.allows(Holders_.size(), ForeignRequests_, InForce_),
      "the limit of a cold endpoint is exceeded");
  Fair_.addUse(*Chosen.Use, Chosen.Tokens, Now_);
  Fair_.unpin(*Chosen.Use);

  Holder Arrival;
  Arrival.Info.Id = NextId_++;
  Arrival.Info.RequestId = Request.RequestId;
  Arrival.Info.Attempt = Request.Attempt;
  Arrival.Info.Node = Request.Node;
  Arrival.Info.Incarnation = Incarnation_;
  Arrival.Info.Tokens = Chosen.Tokens;
  Arrival.Info.SendBy = Now_ + Options_.SendWithin;
  Arrival.Info.Expiry =
      std::min(Request.Deadline, Request.HoldUntil.value_or(Request.Deadline));
  Arrival.Class = Chosen.Class;
  Arrival.State = Request.HoldUntil ? HoldState::Held : HoldState::Running;
  Arrival.Key = Chosen.Key;
  Arrival.Tokens = Chosen.Tokens;
  Arrival.PrefillTokens = Request.PromptTokens -
                          std::min(Request.CachedTokens, Request.PromptTokens);
  Arrival.GrantedAt = Now_;
  Arrival.Deadline = Request.Deadline;
  Arrival.ExpectedStart = Now_;
  Arrival.ExpectedEnd = Request.HoldUntil ? Arrival.Info.Expiry : End;
  Arrival.Lender = Lender;
  if (Lender == 0) {
    Memory_.reserve(Chosen.Tokens, Chosen.Class);
  } else {
    Holder &Part = Holders_.at(Lender);
    Part.Lent += Chosen.Tokens;
    CASSIASHED_INVARIANT(Part.Lent <= Part.Tokens,
                         "more memory of a held part is used than it holds");
  }
  ++Counters_.Granted;
  if (Chosen.Key != Offering_)
    Events_.Granted.push_back(Arrival.Info);
  insert(std::move(Arrival));
}

/// Asserts the bound on waiting: see `WaitQueue`.
void Ledger::checkOrder(const Waiter &Chosen, bool Borrows) {
  const OverdueWaiters Overdue = findOverdue();
  for (const std::optional<std::size_t> &Older :
       {Overdue.Shorter, Overdue.Long})
    CASSIASHED_INVARIANT(!Older || Queue_.at(*Older).Since >= Chosen.Since ||
                             mayPass(Chosen, Queue_.at(*Older), Borrows),
                         "an overdue waiter was passed by a later one");
}

void Ledger::insert(Holder Arrival) {
  Arrival.IdHash = hashBytes(Arrival.Info.RequestId);
  const std::uint64_t Id = Arrival.Info.Id;
  Expiries_.emplace(Arrival.Info.Expiry, Id);
  IdOfKey_.emplace(Arrival.Key, Id);
  Holder &Placed = Holders_.emplace(Id, std::move(Arrival)).first->second;
  if (Placed.State == HoldState::Running)
    beginRunning(Placed);
  else
    Held_.push_back(Id);
}

void Ledger::beginRunning(Holder &Part) {
  Part.State = HoldState::Running;
  Part.PrefillPosition = Prefill_.add(Part.PrefillTokens, Part.Class, Now_);
  if (isLong(Part.Class))
    LongPrefills_.push_back(Part.Info.Id);
}

void Ledger::refuseWaiter(std::size_t Index, RefusalReason Reason) {
  const Waiter Gone = Queue_.take(Index);
  Fair_.unpin(*Gone.Use);
  Recent_.add(Gone.Key, Reason, Now_);
  ++Counters_.Refused;
  if (Gone.Key != Offering_)
    Events_.Refused.push_back({Gone.Request->RequestId, Gone.Request->Attempt,
                               Gone.Request->Node, Reason});
}

void Ledger::refuseAll(RefusalReason Reason) {
  while (Queue_.size() > 0)
    refuseWaiter(Queue_.size() - 1, Reason);
}

/// Refuses waiters that cannot start any more.
void Ledger::refuseHopeless() {
  const std::uint64_t Largest = ReportedAt_ && InForce_ != Share::None
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
  const auto Found = Holders_.find(GrantId);
  if (Found == Holders_.end())
    return;
  if (Outcome == GrantOutcome::Completed)
    Cold_.addCompleted();
  // The endpoint may have restarted cold; the next report tells.
  if (Outcome == GrantOutcome::EndpointFailed)
    ReportNotBefore_ = Now_;
  end(Found, Outcome == GrantOutcome::Completed);
}

void Ledger::cancel(std::string_view RequestId, std::uint32_t Attempt,
                    TimePoint Now) {
  advance(Now);
  const std::uint64_t Key = keyOf(RequestId, Attempt);
  // An answer that was not announced yet is withdrawn.
  const auto Same = [&](const auto &Answer) {
    return Answer.Attempt == Attempt && Answer.RequestId == RequestId;
  };
  std::erase_if(Events_.Granted, Same);
  std::erase_if(Events_.Refused, Same);
  if (const auto Known = IdOfKey_.find(Key); Known != IdOfKey_.end()) {
    const std::uint64_t Id = Known->second;
    end(Holders_.find(Id), false);
    return;
  }
  if (const auto Index = Queue_.find(Key)) {
    Fair_.unpin(*Queue_.take(*Index).Use);
  }
  Recent_.add(Key, RefusalReason::AlreadyEnded, Now_);
}

/// Gives back everything that a granted attempt holds.
void Ledger::end(Holders::iterator Found, bool Completed) {
  Holder Gone = std::move(Found->second);
  Holders_.erase(Found);
  if (const auto Known = IdOfKey_.find(Gone.Key);
      Known != IdOfKey_.end() && Known->second == Gone.Info.Id)
    IdOfKey_.erase(Known);
  Expiries_.erase({Gone.Info.Expiry, Gone.Info.Id});
  Recent_.add(Gone.Key, RefusalReason::AlreadyEnded, Now_);
  if (Releases_.size() >= MaxReleases)
    Releases_.pop_front();
  Releases_.push_back({Gone.Info, Gone.IdHash, Now_});
  if (Gone.PrefillPosition)
    Prefill_.remove(*Gone.PrefillPosition, Gone.PrefillTokens, Gone.Class,
                    Now_);
  if (Completed) {
    const double Seconds =
        std::chrono::duration<double>(Now_ - Gone.GrantedAt).count();
    MeanHoldSeconds_ =
        MeanHoldSeconds_ == 0
            ? Seconds
            : MeanHoldSeconds_ + (Seconds - MeanHoldSeconds_) * HoldSmoothing;
  }
  if (Gone.Lender == 0) {
    Memory_.release(Gone.Tokens, Gone.Class);
  } else {
    Holder &Part = Holders_.at(Gone.Lender);
    Part.Lent -= Gone.Tokens;
    if (Part.State == HoldState::Starting && Part.Lent == 0) {
      std::erase(Held_, Part.Info.Id);
      beginRunning(Part);
      Events_.Started.push_back(Part.Info);
    }
  }
  if (std::erase(Held_, Gone.Info.Id) == 0)
    return;
  // Requests that used this part's memory now use the endpoint's.
  for (auto &[Id, Other] : Holders_)
    if (Other.Lender == Gone.Info.Id) {
      Other.Lender = 0;
      Memory_.add(Other.Tokens, Other.Class);
    }
}

/// Takes grants back whose time passed. Parts that were not started hold
/// nothing at the endpoint. The memory of others stays reserved until the
/// cancellation is confirmed by `release` or by a report.
void Ledger::reclaimExpired() {
  while (!Expiries_.empty() && Expiries_.begin()->first <= Now_) {
    const auto Found = Holders_.find(Expiries_.begin()->second);
    Holder &Late = Found->second;
    ++Counters_.Expired;
    Events_.Expired.push_back(Late.Info);
    if (Late.State != HoldState::Running) {
      end(Found, false);
      continue;
    }
    Late.State = HoldState::Expired;
    Expiries_.erase(Expiries_.begin());
    IdOfKey_.erase(Late.Key);
    Recent_.add(Late.Key, RefusalReason::AlreadyEnded, Now_);
  }
}

void Ledger::adopt(const GrantRequest &Request, const Grant &Running,
                   TimePoint Now) {
  advance(Now);
  const std::uint64_t Key = keyOf(Request.RequestId, Request.Attempt);
  if (IdOfKey_.contains(Key) || Holders_.contains(Running.Id) ||
      Recent_.find(Key, Now_) || Running.Expiry <= Now_ ||
      (ReportedAt_ && Running.Incarnation != Incarnation_))
    return;
  if (const auto Index = Queue_.find(Key))
    Fair_.unpin(*Queue_.take(*Index).Use);
  if (!ReportedAt_)
    Incarnation_ = Running.Incarnation;
  Holder Arrival;
  Arrival.Info = Running;
  Arrival.Class = Request.Class;
  Arrival.Key = Key;
  Arrival.Tokens = Running.Tokens;
  Arrival.GrantedAt = Now_;
  Arrival.Deadline = Request.Deadline;
  Arrival.ExpectedEnd = Running.Expiry;
  Memory_.add(Running.Tokens, Request.Class);
  insert(std::move(Arrival));
  // The last report counted this attempt as foreign.
  ReportNotBefore_ = Now_;
}

void Ledger::setShare(Share InForce, TimePoint Now) {
  advance(Now);
  Wanted_ = InForce;
  WantedSince_ = Now_;
  if (shareOf(3, InForce) <= shareOf(3, InForce_)) {
    InForce_ = InForce;
    Memory_.setShare(InForce_);
  }
  if (Wanted_ == Share::None)
    refuseAll(RefusalReason::NoShare);
}

void Ledger::setLeaving(bool Leaving, TimePoint Now) {
  advance(Now);
  OrderedToLeave_ = Leaving;
  if (Leaving)
    refuseAll(RefusalReason::Leaving);
}

void Ledger::report(const LoadReport &Report, TimePoint Now) {
  advance(Now);
  if (ReportedAt_ && Report.MeasuredAt <= *ReportedAt_)
    return;
  if (Report.Incarnation != Incarnation_) {
    // A delayed report of the incarnation before does not end this one.
    if (ReportedAt_ && Report.Incarnation == EarlierIncarnation_)
      return;
    loseAll();
    EarlierIncarnation_ = Incarnation_;
    Incarnation_ = Report.Incarnation;
    Cold_.reset();
  }
  ReportedAt_ = Report.MeasuredAt;
  ReportedLeaving_ = Report.State == EndpointState::Leaving;
  if (!ReportedLeaving_)
    Cold_.setWarm(Report.State == EndpointState::Warm);
  Memory_.setCapacity(Report.CapacityTokens);
  useReport(Report);
  if (Wanted_ != InForce_ && Report.MeasuredAt >= WantedSince_) {
    InForce_ = Wanted_;
    Memory_.setShare(InForce_);
  }
  if (ReportedLeaving_)
    refuseAll(RefusalReason::Leaving);
}

/// Corrects what is reserved and what others hold.
void Ledger::useReport(const LoadReport &Report) {
  std::unordered_set<std::uint64_t> Named;
  for (const HeldRequest &Entry : Report.Requests)
    Named.insert(hashBytes(Entry.RequestId));
  std::vector<std::uint64_t> Confirmed;
  for (const auto &[Id, Late] : Holders_) {
    if (Late.State != HoldState::Expired ||
        Late.Info.Expiry > Report.MeasuredAt)
      continue;
    if (Named.contains(Late.IdHash))
      Events_.Orphans.push_back(Late.Info);
    else
      Confirmed.push_back(Id);
  }
  for (const std::uint64_t Id : Confirmed)
    end(Holders_.find(Id), false);

  std::unordered_map<std::uint64_t, Holder *> Own;
  for (auto &[Id, Running] : Holders_)
    Own.emplace(Running.IdHash, &Running);
  std::uint64_t Listed = 0;
  std::uint64_t Foreign = 0;
  ForeignRequests_ = 0;
  for (const HeldRequest &Entry : Report.Requests) {
    Listed += Entry.Tokens;
    const std::uint64_t IdHash = hashBytes(Entry.RequestId);
    if (const auto Found = Own.find(IdHash); Found != Own.end()) {
      Holder &Running = *Found->second;
      if (Entry.Tokens <= Running.Tokens)
        continue;
      if (Running.Lender != 0) {
        // It no longer fits what it borrowed.
        Holders_.at(Running.Lender).Lent -= Running.Tokens;
        Running.Lender = 0;
        Memory_.add(Running.Tokens, Running.Class);
      }
      Memory_.add(Entry.Tokens - Running.Tokens, Running.Class);
      Running.Tokens = Entry.Tokens;
      continue;
    }
    const auto Released = std::find_if(
        Releases_.rbegin(), Releases_.rend(),
        [IdHash](const Release &Done) { return Done.IdHash == IdHash; });
    if (Released != Releases_.rend()) {
      if (Released->At >= Report.MeasuredAt)
        continue;
      Events_.Orphans.push_back(Released->Info);
    }
    Foreign += Entry.Tokens;
    ++ForeignRequests_;
  }
  // Exports and requests that the endpoint does not list. Own releases since
  // the measurement are not subtracted: their memory may have been free before.
  if (Report.HeldTokens > Listed)
    Foreign += Report.HeldTokens - Listed;
  Memory_.setForeign(Foreign);
}

void Ledger::loseAll() {
  // A part whose borrowers end would otherwise be reported as started.
  for (const std::uint64_t Id : Held_)
    Holders_.at(Id).State = HoldState::Held;
  while (!Holders_.empty()) {
    const auto Found = Holders_.begin();
    ++Counters_.Lost;
    Events_.Lost.push_back(Found->second.Info);
    end(Found, false);
  }
  Releases_.clear();
  Prefill_.clear();
}

void Ledger::setExpectedStart(std::uint64_t GrantId, TimePoint Start,
                              TimePoint Now) {
  advance(Now);
  const auto Found = Holders_.find(GrantId);
  if (Found != Holders_.end() && Found->second.State == HoldState::Held)
    Found->second.ExpectedStart = Start;
}

StartResult Ledger::start(std::uint64_t GrantId, TimePoint Now) {
  advance(Now);
  reclaimExpired();
  const auto Found = Holders_.find(GrantId);
  if (Found == Holders_.end())
    return StartResult::Gone;
  Holder &Part = Found->second;
  if (Part.State == HoldState::Running)
    return StartResult::Started;
  if (Part.State == HoldState::Held) {
    // From here on the grant lasts as long as the request.
    Expiries_.erase({Part.Info.Expiry, GrantId});
    Part.Info.Expiry = Part.Deadline;
    Expiries_.emplace(Part.Info.Expiry, GrantId);
    Part.State = HoldState::Starting;
    Part.Info.SendBy = Now_ + Options_.SendWithin;
  }
  if (Part.Lent > 0)
    return StartResult::Pending;
  std::erase(Held_, GrantId);
  beginRunning(Part);
  return StartResult::Started;
}

LedgerEvents Ledger::poll(TimePoint Now) {
  advance(Now);
  reclaimExpired();
  refuseHopeless();
  dispatch();
  return std::exchange(Events_, {});
}

LoadHint Ledger::hint(TimePoint Now) {
  advance(Now);
  LoadHint Hint;
  Hint.FreeTokens = mayGrant() ? Memory_.free() : 0;
  Hint.Running = static_cast<std::uint32_t>(Holders_.size());
  Hint.Waiting = static_cast<std::uint32_t>(Queue_.size());
  Hint.Incarnation = Incarnation_;
  Hint.Cold = Cold_.cold();
  Hint.Leaving = OrderedToLeave_ || ReportedLeaving_;
  for (int Class = 0; Class < LengthClassCount; ++Class)
    Hint.Start[static_cast<std::size_t>(Class)] =
        predictStart(0, static_cast<LengthClass>(Class));
  return Hint;
}

LedgerStats Ledger::stats() const {
  LedgerStats Stats = Counters_;
  Stats.Running = static_cast<std::uint32_t>(Holders_.size());
  Stats.Waiting = static_cast<std::uint32_t>(Queue_.size());
  Stats.LimitTokens = Memory_.limit();
  Stats.ReservedTokens = Memory_.used();
  Stats.LongTokens = Memory_.usedByLong();
  Stats.ForeignTokens = Memory_.foreign();
  Stats.ForeignRequests = ForeignRequests_;
  Stats.ColdLimit = Cold_.cold() ? Cold_.limit() : 0;
  Stats.InForce = InForce_;
  return Stats;
}

std::vector<Grant> Ledger::grants() const {
  std::vector<Grant> All;
  All.reserve(Holders_.size());
  for (const auto &[Id, Running] : Holders_)
    All.push_back(Running.Info);
  return All;
}

} // namespace

std::unique_ptr<EndpointLedger> makeEndpointLedger(LedgerOptions Options) {
  return std::make_unique<Ledger>(std::move(Options));
}

} // namespace cassiashed::scheduling
