// Prompts that need several engines, together with a stream of short requests.
// The test delays and reorders the messages between the reservations and the
// ledgers of the engines, and may lose releases.

#include "cassiashed/scheduling/group_reservation.h"
#include "scheduling_fixture.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <rapidcheck.h>
#include <vector>

using namespace cassiashed;
using namespace cassiashed::scheduling;
using namespace cassiashed::scheduling::fixture;
using namespace std::chrono_literals;

namespace {

constexpr int EngineCount = 3;
constexpr int PromptCount = 3;
constexpr std::uint64_t Capacity = 100000;
constexpr std::uint64_t Budget = Capacity * 95 / 100;

/// An event: `Kind` selects it, `First` and `Second` are its parameters.
struct Step {
  std::uint32_t Kind, First, Second;
};

std::ostream &operator<<(std::ostream &Out, const Step &Value) {
  return Out << Value.Kind << ':' << Value.First << ':' << Value.Second;
}

rc::Gen<std::vector<Step>> stepLists() {
  return rc::gen::container<std::vector<Step>>(rc::gen::construct<Step>(
      rc::gen::resize(100, rc::gen::inRange<std::uint32_t>(0, 12)),
      rc::gen::resize(100, rc::gen::arbitrary<std::uint32_t>()),
      rc::gen::resize(100, rc::gen::arbitrary<std::uint32_t>())));
}

std::string engineName(int Index) { return "engine-" + std::to_string(Index); }

/// A message to a reservation.
struct Answer {
  enum class Kind { Granted, Queued, Failed, Started } What;
  int Prompt;
  std::string Endpoint;
  Grant GrantInfo;
  std::chrono::microseconds Start{};
};

struct RunningShort {
  int Engine;
  Grant GrantInfo;
};

class Fleet {
public:
  Fleet(bool FailParts, bool LoseReleases)
      : FailParts_(FailParts), LoseReleases_(LoseReleases) {
    for (int Index = 0; Index < EngineCount; ++Index) {
      LedgerOptions Options;
      // Predicted ends are too early: requests here run for up to 8 s.
      Options.TokenInterval = 5ms;
      Options.FirstGrantId = (std::uint64_t{1} + Index) << 32;
      Ledgers_.push_back(warmLedger(Options, Capacity));
    }
    for (int Index = 0; Index < PromptCount; ++Index) {
      GrantRequest PromptRequest =
          requestOf("huge" + std::to_string(Index), 150000, 0);
      std::vector<ReservationPart> Parts;
      for (int Engine = 0; Engine < EngineCount; ++Engine)
        if (Engine != Index || Index == 0)
          Parts.push_back({engineName(Engine), 75000});
      // The order of the parts differs: the reservation has to sort them.
      if (Index != 1)
        std::reverse(Parts.begin(), Parts.end());
      Reservations_.emplace_back(PromptRequest, Parts,
                                 GroupReservationOptions{5min});
      HasBegun_.push_back(false);
    }
  }

  void apply(const Step &Next);
  /// Delivers all messages and lets time pass; returns whether every prompt
  /// has run.
  bool runAllPrompts();
  void failAllPrompts();
  /// Checks that nothing stays reserved once all time limits have passed.
  void checkAllReleased();

private:
  void enqueue(int Prompt, const std::vector<ReservationAction> &Actions);
  void perform(int Prompt, const ReservationAction &Action);
  void deliverAction(std::size_t Index);
  void deliverAnswer(std::size_t Index);
  void offerShort(std::uint32_t Engine, std::uint32_t Output);
  void begin(int Prompt);
  void deliverAll();
  void pollAll();
  void reportAll();
  void checkMemoryLimits();
  static int indexOf(const std::string &Endpoint) {
    return Endpoint.back() - '0';
  }

  bool FailParts_;
  bool LoseReleases_;
  TimePoint Now_ = Begin;
  std::vector<std::unique_ptr<EndpointLedger>> Ledgers_;
  std::vector<GroupReservation> Reservations_;
  std::vector<bool> HasBegun_;
  std::map<int, TimePoint> RunningSince_;
  std::vector<std::pair<int, ReservationAction>> Actions_;
  std::vector<Answer> Answers_;
  std::vector<RunningShort> RunningShorts_;
  std::map<std::pair<int, int>, std::uint64_t> StartedParts_;
  int RanCount_ = 0;
  std::uint64_t NextShortId_ = 0;
};

void Fleet::enqueue(int Prompt, const std::vector<ReservationAction> &Actions) {
  for (const ReservationAction &Action : Actions) {
    // A released part ends at its engine before the ledger gets the message.
    if (Action.Kind == ReservationActionKind::Release)
      StartedParts_.erase({Prompt, indexOf(Action.Endpoint)});
    Actions_.emplace_back(Prompt, Action);
  }
}

void Fleet::perform(int Prompt, const ReservationAction &Action) {
  const int Engine = indexOf(Action.Endpoint);
  EndpointLedger &Ledger = *Ledgers_[Engine];
  switch (Action.Kind) {
  case ReservationActionKind::Offer: {
    const OfferAnswer Reply = Ledger.offer(Action.Request, Now_);
    if (Reply.Result == OfferResult::Granted)
      Answers_.push_back(
          {Answer::Kind::Granted, Prompt, Action.Endpoint, *Reply.Granted, {}});
    else if (Reply.Result == OfferResult::Queued)
      Answers_.push_back({Answer::Kind::Queued,
                          Prompt,
                          Action.Endpoint,
                          {},
                          Reply.Load.StartDelay[3]});
    else
      Answers_.push_back(
          {Answer::Kind::Failed, Prompt, Action.Endpoint, {}, {}});
    break;
  }
  case ReservationActionKind::SetExpectedStart:
    Ledger.setExpectedStart(Action.GrantId, Action.ExpectedStart, Now_);
    break;
  case ReservationActionKind::Start: {
    Grant GrantInfo;
    GrantInfo.Id = Action.GrantId;
    const StartResult Result = Ledger.start(Action.GrantId, Now_);
    if (Result == StartResult::Started)
      Answers_.push_back(
          {Answer::Kind::Started, Prompt, Action.Endpoint, GrantInfo, {}});
    else if (Result == StartResult::Gone)
      Answers_.push_back(
          {Answer::Kind::Failed, Prompt, Action.Endpoint, {}, {}});
    break;
  }
  case ReservationActionKind::Release:
    Ledger.release(Action.GrantId, Action.Outcome, Now_);
    break;
  case ReservationActionKind::Cancel:
    Ledger.cancel(Action.Request.RequestId, Action.Request.Attempt, Now_);
    break;
  }
}

void Fleet::deliverAction(std::size_t Index) {
  const auto [Prompt, Action] = Actions_[Index];
  Actions_.erase(Actions_.begin() + static_cast<std::ptrdiff_t>(Index));
  perform(Prompt, Action);
  pollAll();
}

void Fleet::deliverAnswer(std::size_t Index) {
  const Answer Reply = Answers_[Index];
  Answers_.erase(Answers_.begin() + static_cast<std::ptrdiff_t>(Index));
  GroupReservation &Reservation = Reservations_[Reply.Prompt];
  switch (Reply.What) {
  case Answer::Kind::Granted:
    enqueue(Reply.Prompt,
            Reservation.granted(Reply.Endpoint, Reply.GrantInfo, Now_));
    break;
  case Answer::Kind::Queued:
    enqueue(Reply.Prompt,
            Reservation.queued(Reply.Endpoint, Reply.Start, Now_));
    break;
  case Answer::Kind::Failed:
    enqueue(Reply.Prompt, Reservation.failed(Reply.Endpoint, Now_));
    break;
  case Answer::Kind::Started: {
    const GroupReservationState Before = Reservation.state();
    enqueue(Reply.Prompt,
            Reservation.started(Reply.Endpoint, Reply.GrantInfo.Id, Now_));
    if (Before != GroupReservationState::Starting ||
        Reservation.state() != GroupReservationState::Running)
      break;
    ++RanCount_;
    RunningSince_[Reply.Prompt] = Now_;
    for (int Engine = 0; Engine < EngineCount; ++Engine)
      if (Engine != Reply.Prompt || Reply.Prompt == 0)
        StartedParts_[{Reply.Prompt, Engine}] = 75000;
    break;
  }
  }
}

void Fleet::offerShort(std::uint32_t Engine, std::uint32_t Output) {
  const int Index = static_cast<int>(Engine % EngineCount);
  GrantRequest Request = requestOf("short" + std::to_string(NextShortId_++),
                                   4000, 200 + Output % 2000);
  Request.Deadline = Now_ + 40s;
  const OfferAnswer Reply = Ledgers_[Index]->offer(Request, Now_);
  if (Reply.Granted)
    RunningShorts_.push_back({Index, *Reply.Granted});
}

void Fleet::begin(int Prompt) {
  if (HasBegun_[Prompt])
    return;
  HasBegun_[Prompt] = true;
  enqueue(Prompt, Reservations_[Prompt].begin(Now_));
}

void Fleet::pollAll() {
  for (int Index = 0; Index < EngineCount; ++Index) {
    const LedgerEvents Events = Ledgers_[Index]->poll(Now_);
    const auto Notify = [&](const std::string &RequestId, Answer::Kind What,
                            const Grant &GrantInfo) {
      if (RequestId.starts_with("huge"))
        Answers_.push_back(
            {What, RequestId.back() - '0', engineName(Index), GrantInfo, {}});
      return RequestId.starts_with("huge");
    };
    for (const Grant &Granted : Events.Granted)
      if (!Notify(Granted.RequestId, Answer::Kind::Granted, Granted))
        RunningShorts_.push_back({Index, Granted});
    for (const Grant &Started : Events.Started)
      Notify(Started.RequestId, Answer::Kind::Started, Started);
    for (const Refusal &Refused : Events.Refused)
      Notify(Refused.RequestId, Answer::Kind::Failed, {});
    for (const Grant &Expired : Events.Expired) {
      if (Notify(Expired.RequestId, Answer::Kind::Failed, {}))
        continue;
      std::erase_if(RunningShorts_, [&Expired](const RunningShort &Run) {
        return Run.GrantInfo.Id == Expired.Id;
      });
      Ledgers_[Index]->release(Expired.Id, GrantOutcome::Cancelled, Now_);
    }
  }
  for (int Prompt = 0; Prompt < PromptCount; ++Prompt)
    enqueue(Prompt, Reservations_[Prompt].poll(Now_));
}

void Fleet::reportAll() {
  for (int Index = 0; Index < EngineCount; ++Index)
    Ledgers_[Index]->report(reportOf(1, EndpointState::Warm, Capacity, Now_),
                            Now_);
}

/// Checks that the short requests and the started parts that run at an engine
/// fit its memory.
void Fleet::checkMemoryLimits() {
  for (int Index = 0; Index < EngineCount; ++Index) {
    std::uint64_t InUse = 0;
    for (const RunningShort &Run : RunningShorts_)
      if (Run.Engine == Index)
        InUse += Run.GrantInfo.Tokens;
    for (const auto &[Part, Tokens] : StartedParts_)
      if (Part.second == Index)
        InUse += Tokens;
    RC_ASSERT(InUse <= Budget);
  }
}

void Fleet::apply(const Step &Next) {
  switch (Next.Kind) {
  case 0:
    begin(static_cast<int>(Next.First % PromptCount));
    break;
  case 1:
  case 2:
    if (!Actions_.empty()) {
      const std::size_t Index = Next.First % Actions_.size();
      const ReservationActionKind Kind = Actions_[Index].second.Kind;
      if (LoseReleases_ && Next.Second % 2 == 0 &&
          (Kind == ReservationActionKind::Release ||
           Kind == ReservationActionKind::Cancel))
        Actions_.erase(Actions_.begin() + static_cast<std::ptrdiff_t>(Index));
      else
        deliverAction(Index);
    }
    break;
  case 3:
  case 4:
    if (!Answers_.empty())
      deliverAnswer(Next.First % Answers_.size());
    break;
  case 5:
    if (!RunningShorts_.empty()) {
      const std::size_t Index = Next.First % RunningShorts_.size();
      const RunningShort Run = RunningShorts_[Index];
      RunningShorts_.erase(RunningShorts_.begin() +
                           static_cast<std::ptrdiff_t>(Index));
      Ledgers_[Run.Engine]->release(Run.GrantInfo.Id, GrantOutcome::Completed,
                                    Now_);
    }
    break;
  case 6:
    Now_ += Next.First % 2000 * 1ms;
    break;
  case 7:
    if (FailParts_ && Next.Second % 4 == 0) { // one part fails
      const int Prompt = static_cast<int>(Next.First % PromptCount);
      if (HasBegun_[Prompt])
        enqueue(Prompt, Reservations_[Prompt].failed(engineName(0), Now_));
    }
    break;
  default:
    offerShort(Next.First, Next.Second);
  }
  reportAll();
  pollAll();
  checkMemoryLimits();
}

bool Fleet::runAllPrompts() {
  for (int Prompt = 0; Prompt < PromptCount; ++Prompt)
    begin(Prompt);
  // Short requests keep arriving, and run for 8 s each. Three prompts that all
  // wait for the first engine are done in less than three times the limit for
  // one engine.
  for (int Tick = 0; Tick < 250 && RanCount_ < PromptCount; ++Tick) {
    Now_ += 1s;
    reportAll();
    for (int Index = 0; Index < EngineCount * 3; ++Index)
      offerShort(static_cast<std::uint32_t>(Index), 200);
    std::vector<RunningShort> Done;
    for (const RunningShort &Run : RunningShorts_)
      if (Now_ >= Run.GrantInfo.SendBy + 7s)
        Done.push_back(Run);
    for (const RunningShort &Run : Done) {
      std::erase_if(RunningShorts_, [&Run](const RunningShort &Other) {
        return Other.GrantInfo.Id == Run.GrantInfo.Id;
      });
      Ledgers_[Run.Engine]->release(Run.GrantInfo.Id, GrantOutcome::Completed,
                                    Now_);
    }
    pollAll();
    deliverAll();
    for (int Prompt = 0; Prompt < PromptCount; ++Prompt)
      if (Reservations_[Prompt].state() == GroupReservationState::Running &&
          Now_ - RunningSince_[Prompt] >= 5s)
        enqueue(Prompt,
                Reservations_[Prompt].finish(GrantOutcome::Completed, Now_));
    checkMemoryLimits();
  }
  return RanCount_ == PromptCount;
}

void Fleet::deliverAll() {
  while (!Actions_.empty() || !Answers_.empty()) {
    if (!Actions_.empty())
      deliverAction(0);
    if (!Answers_.empty())
      deliverAnswer(0);
  }
}

/// Fails all prompts and ends all short requests at the present time.
void Fleet::failAllPrompts() {
  for (int Prompt = 0; Prompt < PromptCount; ++Prompt)
    if (HasBegun_[Prompt])
      enqueue(Prompt, Reservations_[Prompt].failed(engineName(0), Now_));
  deliverAll();
  while (!RunningShorts_.empty()) {
    const RunningShort Run = RunningShorts_.back();
    RunningShorts_.pop_back();
    Ledgers_[Run.Engine]->release(Run.GrantInfo.Id, GrantOutcome::Completed,
                                  Now_);
    pollAll();
  }
  for (int Index = 0; Index < EngineCount; ++Index)
    RC_ASSERT(Ledgers_[Index]->grants().empty());
}

void Fleet::checkAllReleased() {
  Now_ += 15min;
  reportAll();
  pollAll();
  deliverAll();
  Now_ += 1s;
  reportAll();
  for (int Index = 0; Index < EngineCount; ++Index) {
    const LedgerStats Stats = Ledgers_[Index]->stats();
    RC_ASSERT(Stats.Running == 0U);
    RC_ASSERT(Stats.Waiting == 0U);
    RC_ASSERT(Stats.ReservedTokens == 0U);
  }
  for (int Prompt = 0; Prompt < PromptCount; ++Prompt)
    RC_ASSERT(!HasBegun_[Prompt] ||
              Reservations_[Prompt].state() == GroupReservationState::Ended);
}

} // namespace

// Guards against a deadlock of prompts that wait for each other's engines, and
// against starvation of such prompts by a stream of short requests.
TEST_CASE("every prompt over several engines runs when no message is lost") {
  CHECK(rc::check("group reservation progress", [] {
    const std::vector<Step> Steps = *stepLists();
    Fleet Engines(false, false);
    for (const Step &Next : Steps)
      Engines.apply(Next);
    RC_ASSERT(Engines.runAllPrompts());
    Engines.checkAllReleased();
  }));
}

// Guards against parts that stay reserved after another part has failed.
TEST_CASE("a failed prompt gives back all its engines at once") {
  CHECK(rc::check("group reservation all or none", [] {
    const std::vector<Step> Steps = *stepLists();
    Fleet Engines(true, false);
    for (const Step &Next : Steps)
      Engines.apply(Next);
    Engines.failAllPrompts();
  }));
}

// Guards against engine memory that stays reserved after a lost release, and
// against a part that starts while requests that borrowed its memory still run.
TEST_CASE("a prompt whose messages are lost leaves nothing behind") {
  CHECK(rc::check("group reservation release", [] {
    const std::vector<Step> Steps = *stepLists();
    Fleet Engines(true, true);
    for (const Step &Next : Steps)
      Engines.apply(Next);
    Engines.checkAllReleased();
  }));
}
