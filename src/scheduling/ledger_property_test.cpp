// Property test of two ledgers that share one endpoint. It simulates the
// endpoint, the entry nodes and the network in random order of events: messages
// are late or duplicated, reports lag, the endpoint restarts and the shares
// change.

#include "scheduling_fixture.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <rapidcheck.h>
#include <set>
#include <vector>

using namespace cassiashed;
using namespace cassiashed::scheduling;
using namespace cassiashed::scheduling::fixture;
using namespace std::chrono_literals;

namespace {

struct Step {
  std::uint32_t Kind, First, Second, Third;
};

std::ostream &operator<<(std::ostream &Out, const Step &Value) {
  return Out << Value.Kind << ':' << Value.First << ':' << Value.Second << ':'
             << Value.Third;
}

rc::Gen<std::vector<Step>> steps() {
  return rc::gen::container<std::vector<Step>>(rc::gen::construct<Step>(
      rc::gen::resize(100, rc::gen::inRange<std::uint32_t>(0, 40)),
      rc::gen::resize(100, rc::gen::arbitrary<std::uint32_t>()),
      rc::gen::resize(100, rc::gen::arbitrary<std::uint32_t>()),
      rc::gen::resize(100, rc::gen::arbitrary<std::uint32_t>())));
}

constexpr std::uint64_t Capacity = 30000;
constexpr std::uint64_t Budget = Capacity * 95 / 100;
constexpr int LedgerCount = 2;

enum class Phase { Offered, Granted, Refused, Cancelled, Ended };

struct Attempt {
  GrantRequest Request;
  int Ledger = 0;
  Phase State = Phase::Offered;
  TimePoint OfferedAt;
  std::uint64_t GrantId = 0;
  bool OfferedTwice = false;
  bool CancelProcessed = false; ///< the ledger has processed the cancellation
};

/// A message to a ledger.
struct Message {
  enum class Kind { Offer, Release, Cancel, Report } Type;
  int Ledger;
  GrantRequest Request;
  std::uint64_t GrantId = 0;
  GrantOutcome Outcome = GrantOutcome::Completed;
  LoadReport Report;
};

/// Initial state of the endpoint and its shares. Restarts and changes of the
/// shares empty the ledgers. `SharedWarm` has none of them, so that two ledgers
/// with half of the limits each often reach the limits.
enum class InitialState { Cold, Warm, SharedWarm };

/// A request that runs at the endpoint.
struct Running {
  int Ledger;
  Grant Info;
};

class Simulation {
public:
  explicit Simulation(InitialState Start)
      : Stable_(Start == InitialState::SharedWarm),
        Warm_(Start != InitialState::Cold) {
    LedgerOptions Options;
    Options.MaxWaiting = 12;
    Options.MaxLongPrefills = 1000;
    Options.ShortDemandWindow = 0ms;
    for (int Index = 0; Index < LedgerCount; ++Index) {
      Options.FirstGrantId = (std::uint64_t{1} + Index) << 32;
      Ledgers_.push_back(makeEndpointLedger(Options));
    }
    Shares_[0] = Stable_ ? Share::Half : Share::Full;
    Shares_[1] = Stable_ ? Share::OtherHalf : Share::None;
    for (int Index = 0; Index < LedgerCount; ++Index) {
      Ledgers_[Index]->setShare(Shares_[Index], Now_);
      deliver(reportFor(Index));
    }
  }

  void apply(const Step &Next);
  void drain();

private:
  using AttemptKey = std::pair<int, std::string>;

  Message reportFor(int Ledger) const;
  void deliver(const Message &Incoming);
  void offerNew(const Step &Next);
  void send(std::size_t Index);
  void finish(std::size_t Index, GrantOutcome Outcome, bool Repeat);
  void cancelExpired();
  void restart();
  void changeShares(std::uint32_t Choice);
  void recordGrant(int Ledger, const Grant &Info);
  void recordRefusal(int Ledger, const Refusal &Info);
  void pollAll();
  void checkLimits() const;
  void checkNoFittingWaiter() const;
  Attempt &attemptOf(int Ledger, const std::string &Id) {
    return Attempts_.at({Ledger, Id});
  }

  TimePoint Now_ = Begin;
  std::vector<std::unique_ptr<EndpointLedger>> Ledgers_;
  Share Shares_[LedgerCount] = {Share::None, Share::None};
  std::optional<std::pair<int, Share>> PendingLargerShare_;
  TimePoint PendingLargerShareAt_;
  std::map<AttemptKey, Attempt> Attempts_;
  std::vector<Message> InFlightMessages_;
  std::vector<Running> PendingSends_; ///< granted, not sent to the endpoint yet
  std::vector<Running> RunningRequests_;
  std::vector<std::uint64_t> ExpiredGrantIds_;
  /// Held for a node that no longer exists.
  std::uint64_t ForeignTokens_ = 5000;
  std::uint64_t Incarnation_ = 1;
  std::uint64_t Completed_ = 0;
  bool Stable_; ///< no restarts, clock jumps or changes of shares
  bool Warm_;
  std::uint64_t NextRequestNumber_ = 0;
};

Message Simulation::reportFor(int Ledger) const {
  Message ReportMessage{Message::Kind::Report, Ledger, {}, 0, {}, {}};
  ReportMessage.Report =
      reportOf(Incarnation_, Warm_ ? EndpointState::Warm : EndpointState::Cold,
               Capacity, Now_);
  ReportMessage.Report.HeldTokens = ForeignTokens_;
  for (const Running &Request : RunningRequests_) {
    ReportMessage.Report.Requests.push_back(
        {Request.Info.RequestId, Request.Info.Node, Request.Info.Tokens});
    ReportMessage.Report.HeldTokens += Request.Info.Tokens;
  }
  return ReportMessage;
}

void Simulation::recordGrant(int Ledger, const Grant &Info) {
  Attempt &Recorded = attemptOf(Ledger, Info.RequestId);
  if (Recorded.GrantId == Info.Id)
    return; // answer to a duplicate offer
  RC_ASSERT(!Recorded.CancelProcessed);
  RC_ASSERT(Recorded.State == Phase::Offered ||
            Recorded.State == Phase::Cancelled);
  const LedgerStats Stats = Ledgers_[Ledger]->stats();
  for (const auto &[Key, Other] : Attempts_) {
    const std::uint64_t Needed = tokensOf(Other.Request);
    if (Key.first != Ledger || Other.State != Phase::Offered ||
        Other.OfferedAt == TimePoint{} ||
        Other.OfferedAt >= Recorded.OfferedAt || Now_ - Other.OfferedAt < 8s ||
        Needed > Stats.LimitTokens)
      continue;
    // Only short and medium requests may pass an overdue long one, and only
    // within the memory that it leaves them.
    RC_ASSERT(isLong(Other.Request.Class) && !isLong(Recorded.Request.Class));
    RC_ASSERT(
        Stats.ReservedTokens - Stats.LongTokens <=
        std::min(Stats.LimitTokens * 40 / 100 + 1, Stats.LimitTokens - Needed));
  }
  Recorded.GrantId = Info.Id;
  if (Recorded.State == Phase::Cancelled) {
    // The entry node cancelled the attempt before the grant arrived.
    InFlightMessages_.push_back({Message::Kind::Release,
                                 Ledger,
                                 Recorded.Request,
                                 Info.Id,
                                 GrantOutcome::Cancelled,
                                 {}});
    Recorded.State = Phase::Ended;
    return;
  }
  Recorded.State = Phase::Granted;
  PendingSends_.push_back({Ledger, Info});
}

void Simulation::recordRefusal(int Ledger, const Refusal &Info) {
  Attempt &Recorded = attemptOf(Ledger, Info.RequestId);
  // The duplicate of an offer may already have returned the refusal.
  if (Recorded.State == Phase::Refused && Recorded.OfferedTwice)
    return;
  RC_ASSERT(Recorded.State == Phase::Offered ||
            Recorded.State == Phase::Cancelled);
  RC_ASSERT(!Recorded.CancelProcessed);
  if (Recorded.State == Phase::Offered)
    Recorded.State = Phase::Refused;
}

void Simulation::deliver(const Message &Incoming) {
  EndpointLedger &Ledger = *Ledgers_[Incoming.Ledger];
  switch (Incoming.Type) {
  case Message::Kind::Offer: {
    Attempt &Recorded = attemptOf(Incoming.Ledger, Incoming.Request.RequestId);
    const Phase Before = Recorded.State;
    const bool Seen = Recorded.CancelProcessed;
    Recorded.OfferedTwice = Recorded.OfferedAt != TimePoint{};
    if (!Recorded.OfferedTwice)
      Recorded.OfferedAt = Now_;
    const OfferAnswer Answer = Ledger.offer(Incoming.Request, Now_);
    if (Answer.Result == OfferResult::Granted) {
      RC_ASSERT(!Seen);
      recordGrant(Incoming.Ledger, *Answer.Granted);
    } else if (Answer.Result == OfferResult::Queued) {
      RC_ASSERT(!Seen);
      RC_ASSERT(Before == Phase::Offered || Before == Phase::Cancelled);
    } else if (Before == Phase::Offered) {
      Recorded.State = Phase::Refused;
    } else {
      // A duplicate offer of a granted attempt is not refused unless the grant
      // has expired.
      RC_ASSERT(Before != Phase::Granted);
    }
    break;
  }
  case Message::Kind::Release:
    Ledger.release(Incoming.GrantId, Incoming.Outcome, Now_);
    break;
  case Message::Kind::Cancel:
    Ledger.cancel(Incoming.Request.RequestId, Incoming.Request.Attempt, Now_);
    attemptOf(Incoming.Ledger, Incoming.Request.RequestId).CancelProcessed =
        true;
    break;
  case Message::Kind::Report:
    Ledger.report(Incoming.Report, Now_);
    break;
  }
}

void Simulation::offerNew(const Step &Next) {
  static constexpr std::uint64_t Prompts[] = {100,  1000,  2000, 4000,
                                              9000, 12000, 20000};
  const int Ledger = static_cast<int>(Next.First % LedgerCount);
  GrantRequest Request =
      requestOf(std::to_string(NextRequestNumber_++),
                Prompts[Next.Second % std::size(Prompts)], Next.Third % 2000,
                std::to_string(Next.Third % 5));
  Request.Deadline = Now_ + 5s + Next.Second % 40 * 1s;
  Attempts_[{Ledger, Request.RequestId}] = {Request, Ledger};
  Message Offer{Message::Kind::Offer, Ledger, Request, 0, {}, {}};
  if (Next.Third % 3 == 0)
    InFlightMessages_.push_back(Offer); // late
  else
    deliver(Offer);
  if (Next.Third % 7 == 0)
    InFlightMessages_.push_back(Offer); // duplicate
}

void Simulation::send(std::size_t Index) {
  const Running Granted = PendingSends_[Index];
  PendingSends_.erase(PendingSends_.begin() +
                      static_cast<std::ptrdiff_t>(Index));
  if (attemptOf(Granted.Ledger, Granted.Info.RequestId).State != Phase::Granted)
    return;
  if (Now_ > Granted.Info.SendBy || Now_ >= Granted.Info.Expiry ||
      Granted.Info.Incarnation != Incarnation_) {
    attemptOf(Granted.Ledger, Granted.Info.RequestId).State = Phase::Ended;
    InFlightMessages_.push_back({Message::Kind::Release,
                                 Granted.Ledger,
                                 {},
                                 Granted.Info.Id,
                                 GrantOutcome::Failed,
                                 {}});
    return;
  }
  RunningRequests_.push_back(Granted);
}

void Simulation::finish(std::size_t Index, GrantOutcome Outcome, bool Repeat) {
  const Running Finished = RunningRequests_[Index];
  RunningRequests_.erase(RunningRequests_.begin() +
                         static_cast<std::ptrdiff_t>(Index));
  if (Outcome == GrantOutcome::Completed)
    ++Completed_;
  attemptOf(Finished.Ledger, Finished.Info.RequestId).State = Phase::Ended;
  for (int Copy = 0; Copy < (Repeat ? 2 : 1); ++Copy)
    InFlightMessages_.push_back({Message::Kind::Release,
                                 Finished.Ledger,
                                 {},
                                 Finished.Info.Id,
                                 Outcome,
                                 {}});
}

/// Cancels expired grants at the endpoint, as the entry nodes do.
void Simulation::cancelExpired() {
  for (const std::uint64_t Id : std::exchange(ExpiredGrantIds_, {})) {
    const auto Found = std::find_if(
        RunningRequests_.begin(), RunningRequests_.end(),
        [Id](const Running &Request) { return Request.Info.Id == Id; });
    if (Found != RunningRequests_.end())
      finish(static_cast<std::size_t>(Found - RunningRequests_.begin()),
             GrantOutcome::Cancelled, false);
  }
}

void Simulation::restart() {
  while (!RunningRequests_.empty())
    finish(0, GrantOutcome::EndpointFailed, false);
  ++Incarnation_;
  Completed_ = 0;
  Warm_ = false;
  ForeignTokens_ = 0;
}

/// Changes the shares: the smaller one at once, the larger one when the smaller
/// has been in effect for `LedgerOptions::SendWithin`.
void Simulation::changeShares(std::uint32_t Choice) {
  static constexpr Share Pairs[][LedgerCount] = {
      {Share::Full, Share::None},      {Share::Half, Share::OtherHalf},
      {Share::Half, Share::None},      {Share::OtherHalf, Share::Half},
      {Share::None, Share::OtherHalf}, {Share::Half, Share::OtherHalf},
      {Share::None, Share::Full},      {Share::OtherHalf, Share::Half}};
  if (PendingLargerShare_)
    return;
  const auto &Target = Pairs[Choice % std::size(Pairs)];
  for (int Index = 0; Index < LedgerCount; ++Index)
    if (Target[Index] < Shares_[Index]) {
      Ledgers_[Index]->setShare(Target[Index], Now_);
      Shares_[Index] = Target[Index];
    }
  for (int Index = 0; Index < LedgerCount; ++Index)
    if (Target[Index] > Shares_[Index]) {
      PendingLargerShare_ = {Index, Target[Index]};
      PendingLargerShareAt_ = Now_ + 1s;
      return;
    }
}

void Simulation::pollAll() {
  if (PendingLargerShare_ && Now_ > PendingLargerShareAt_) {
    const auto [Index, Target] = *PendingLargerShare_;
    const Share Other = Shares_[1 - Index];
    PendingLargerShare_.reset();
    if (shareOf(2, Target) + shareOf(2, Other) <= 2) {
      Ledgers_[Index]->setShare(Target, Now_);
      Shares_[Index] = Target;
    }
  }
  for (int Index = 0; Index < LedgerCount; ++Index) {
    const LedgerEvents Events = Ledgers_[Index]->poll(Now_);
    for (const Refusal &Refused : Events.Refused)
      recordRefusal(Index, Refused);
    for (const Grant &Granted : Events.Granted)
      recordGrant(Index, Granted);
    for (const Grant &Expired : Events.Expired) {
      ExpiredGrantIds_.push_back(Expired.Id);
      Attempt &Recorded = attemptOf(Index, Expired.RequestId);
      RC_ASSERT(Recorded.State == Phase::Granted ||
                Recorded.State == Phase::Ended);
      Recorded.State = Phase::Ended;
    }
    for (const Grant &Lost : Events.Lost)
      attemptOf(Index, Lost.RequestId).State = Phase::Ended;
  }
}

void Simulation::checkLimits() const {
  std::uint64_t Held = ForeignTokens_;
  std::uint64_t Concurrent = 0;
  for (const Running &Request : RunningRequests_) {
    Held += Request.Info.Tokens;
    ++Concurrent;
  }
  RC_ASSERT(Held <= Budget);
  if (Warm_)
    return;
  ColdStart Allowed{ColdStartOptions{}};
  for (std::uint64_t Answer = 0; Answer < Completed_; ++Answer)
    Allowed.addCompleted();
  RC_ASSERT(Concurrent <= Allowed.limit());
}

/// Checks that no waiter that fits is left waiting.
void Simulation::checkNoFittingWaiter() const {
  for (int Index = 0; Index < LedgerCount; ++Index) {
    const LedgerStats Stats = Ledgers_[Index]->stats();
    const LoadHint Hint = Ledgers_[Index]->hint(Now_);
    if (Hint.FreeTokens == 0 || Hint.Cold)
      continue;
    bool ShortWaits = false;
    bool ShorterOverdue = false;
    std::optional<std::uint64_t> LongOverdue;
    for (const auto &[Key, Candidate] : Attempts_) {
      if (Key.first != Index || Candidate.OfferedAt == TimePoint{} ||
          Candidate.CancelProcessed ||
          (Candidate.State != Phase::Offered &&
           Candidate.State != Phase::Cancelled))
        continue;
      ShortWaits |= Candidate.Request.Class == LengthClass::Short;
      const std::uint64_t Needed = tokensOf(Candidate.Request);
      if (Now_ - Candidate.OfferedAt < 8s || Needed > Stats.LimitTokens)
        continue;
      if (isLong(Candidate.Request.Class))
        LongOverdue = std::max(LongOverdue.value_or(0), Needed);
      else
        ShorterOverdue = true;
    }
    for (const auto &[Key, Candidate] : Attempts_) {
      if (Key.first != Index || Candidate.State != Phase::Offered ||
          Candidate.OfferedAt == TimePoint{} || Candidate.CancelProcessed ||
          ShorterOverdue)
        continue;
      const std::uint64_t Tokens = tokensOf(Candidate.Request);
      if (isLong(Candidate.Request.Class) &&
          (LongOverdue || (ShortWaits && Stats.LongTokens + Tokens >
                                             Stats.LimitTokens * 60 / 100)))
        continue;
      if (LongOverdue && Stats.ReservedTokens - Stats.LongTokens + Tokens >
                             std::min(Stats.LimitTokens * 40 / 100,
                                      Stats.LimitTokens - *LongOverdue))
        continue;
      RC_ASSERT(Tokens > Hint.FreeTokens);
    }
  }
}

void Simulation::apply(const Step &Next) {
  const auto Pick = [&Next](std::size_t Size) { return Next.First % Size; };
  switch (Stable_ && Next.Kind < 3 ? 25 : Next.Kind) {
  case 0:
    if (Next.First % 8 == 0)
      restart();
    break;
  case 1:
    changeShares(Next.First);
    break;
  case 2:
    if (Next.First % 4 == 0)
      Now_ += Next.Second % 20000 * 1ms; // clock jump
    break;
  case 3:
    Warm_ = Warm_ || Completed_ >= 3;
    break;
  case 4:
    cancelExpired();
    ForeignTokens_ -=
        std::min<std::uint64_t>(ForeignTokens_, Next.First % 3000);
    break;
  case 5: { // an entry node cancels an attempt
    std::vector<Attempt *> Candidates;
    for (auto &[Key, Candidate] : Attempts_)
      if (Candidate.State == Phase::Offered)
        Candidates.push_back(&Candidate);
    if (Candidates.empty())
      break;
    Attempt &Chosen = *Candidates[Pick(Candidates.size())];
    Chosen.State = Phase::Cancelled;
    Message Cancel{
        Message::Kind::Cancel, Chosen.Ledger, Chosen.Request, 0, {}, {}};
    if (Next.Second % 2 == 0)
      deliver(Cancel);
    else
      InFlightMessages_.push_back(Cancel);
    break;
  }
  case 6:
  case 7:
  case 8:
    InFlightMessages_.push_back(
        reportFor(static_cast<int>(Next.First % LedgerCount)));
    break;
  case 9:
  case 10:
    deliver(reportFor(static_cast<int>(Next.First % LedgerCount)));
    break;
  case 11:
  case 12:
  case 13:
  case 14:
    Now_ += Next.First % 400 * 1ms;
    break;
  case 15:
  case 16:
  case 17:
  case 18:
    for (int Count = 0; Count < 4 && !InFlightMessages_.empty(); ++Count) {
      const std::size_t Index = Pick(InFlightMessages_.size());
      const Message Incoming = InFlightMessages_[Index];
      InFlightMessages_.erase(InFlightMessages_.begin() +
                              static_cast<std::ptrdiff_t>(Index));
      deliver(Incoming);
      pollAll();
    }
    break;
  case 19:
  case 20:
  case 21:
    if (!RunningRequests_.empty())
      finish(Pick(RunningRequests_.size()), GrantOutcome::Completed,
             Next.Second % 4 == 0);
    break;
  case 22:
  case 23:
  case 24:
    for (std::uint32_t Count = 0; Count < 8 && !PendingSends_.empty(); ++Count)
      send(Pick(PendingSends_.size()));
    break;
  default:
    offerNew(Next);
  }
  pollAll();
  checkLimits();
  checkNoFittingWaiter();
}

/// Ends all requests and checks that no memory stays reserved and every attempt
/// has an answer.
void Simulation::drain() {
  ForeignTokens_ = 0;
  // Two rounds: grants that arrive late in the first one cause releases.
  for (int Round = 0; Round < 2; ++Round) {
    cancelExpired();
    while (!PendingSends_.empty())
      send(0);
    while (!RunningRequests_.empty())
      finish(0, GrantOutcome::Completed, false);
    const std::vector<Message> Incoming = std::exchange(InFlightMessages_, {});
    for (const Message &Arrived : Incoming) {
      deliver(Arrived);
      pollAll();
    }
    Now_ += 2min;
    pollAll();
    for (int Index = 0; Index < LedgerCount; ++Index)
      deliver(reportFor(Index));
    pollAll();
  }
  for (int Index = 0; Index < LedgerCount; ++Index) {
    const LedgerStats Stats = Ledgers_[Index]->stats();
    RC_ASSERT(Stats.Running == 0U);
    RC_ASSERT(Stats.Waiting == 0U);
    RC_ASSERT(Stats.ReservedTokens == 0U);
  }
  for (const auto &[Key, Checked] : Attempts_)
    RC_ASSERT(Checked.State != Phase::Offered &&
              Checked.State != Phase::Granted);
}

} // namespace

// Guards against two ledgers that together exceed the memory or cold-start
// limit, attempts that get no answer or two, waiters that are passed after 8 s,
// and waiters that are not granted although they fit.
TEST_CASE(
    "two holders of one endpoint keep its limits in any order of events") {
  CHECK(rc::check("ledger limits", [] {
    const std::vector<Step> Steps = *steps();
    Simulation Simulated(
        *rc::gen::element(InitialState::Cold, InitialState::Warm,
                          InitialState::Warm, InitialState::SharedWarm));
    for (const Step &Next : Steps)
      Simulated.apply(Next);
    Simulated.drain();
  }));
}
