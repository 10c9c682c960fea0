// Prompts over several engines beside a stream of short requests. The test
// delivers the messages between coordinators and ledgers late and may lose
// releases.

#include "cassiashed/scheduling/gang_reservation.h"
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
constexpr int GangCount = 3;
constexpr std::uint64_t Capacity = 100000;
constexpr std::uint64_t Budget = Capacity * 95 / 100;

struct GangStep {
  std::uint32_t Kind, First, Second;
};

std::ostream &operator<<(std::ostream &Out, const GangStep &Value) {
  return Out << Value.Kind << ':' << Value.First << ':' << Value.Second;
}

rc::Gen<std::vector<GangStep>> gangSteps() {
  return rc::gen::container<std::vector<GangStep>>(rc::gen::construct<GangStep>(
      rc::gen::resize(100, rc::gen::inRange<std::uint32_t>(0, 12)),
      rc::gen::resize(100, rc::gen::arbitrary<std::uint32_t>()),
      rc::gen::resize(100, rc::gen::arbitrary<std::uint32_t>())));
}

std::string engineName(int Index) { return "engine-" + std::to_string(Index); }

/// A message to a coordinator.
struct Answer {
  enum class Kind { Granted, Queued, Failed, Started } What;
  int Gang;
  std::string Endpoint;
  Grant Info;
  std::chrono::microseconds Start{};
};

struct ShortRun {
  int Engine;
  Grant Info;
};

class Fleet {
public:
  Fleet(bool FailParts, bool LoseReleases)
      : FailParts_(FailParts), LoseReleases_(LoseReleases) {
    for (int Index = 0; Index < EngineCount; ++Index) {
      LedgerOptions Options;
      // Predicts ends too early: requests here last up to 8 s.
      Options.TokenInterval = 5ms;
      Options.FirstGrantId = (std::uint64_t{1} + Index) << 32;
      Ledgers_.push_back(warmLedger(Options, Capacity));
    }
    for (int Index = 0; Index < GangCount; ++Index) {
      GrantRequest Whole = requestOf("gang" + std::to_string(Index), 150000, 0);
      std::vector<GangPart> Parts;
      for (int Engine = 0; Engine < EngineCount; ++Engine)
        if (Engine != Index || Index == 0)
          Parts.push_back({engineName(Engine), 75000});
      // Given in different orders: the reservation has to sort them.
      if (Index != 1)
        std::reverse(Parts.begin(), Parts.end());
      Gangs_.emplace_back(Whole, Parts, GangOptions{5min});
      Begun_.push_back(false);
    }
  }

  void apply(const GangStep &Next);
  /// Lets everything run; returns whether every prompt has run.
  bool settle();
  void failAll();
  void checkNothingHeld();

private:
  void act(int Gang, const std::vector<GangAction> &Actions);
  void perform(int Gang, const GangAction &Action);
  void deliverAction(std::size_t Index);
  void deliverAnswer(std::size_t Index);
  void offerShort(std::uint32_t Engine, std::uint32_t Output);
  void begin(int Gang);
  void deliverAll();
  void pollAll();
  void reportAll();
  void checkBounds();
  static int indexOf(const std::string &Endpoint) {
    return Endpoint.back() - '0';
  }

  bool FailParts_;
  bool LoseReleases_;
  TimePoint Now_ = Begin;
  std::vector<std::unique_ptr<EndpointLedger>> Ledgers_;
  std::vector<GangReservation> Gangs_;
  std::vector<bool> Begun_;
  std::map<int, TimePoint> RunningSince_;
  std::vector<std::pair<int, GangAction>> Actions_;
  std::vector<Answer> Answers_;
  std::vector<ShortRun> Shorts_;
  std::map<std::pair<int, int>, std::uint64_t> StartedParts_;
  int Ran_ = 0;
  std::uint64_t Serial_ = 0;
};

void Fleet::act(int Gang, const std::vector<GangAction> &Actions) {
  for (const GangAction &Action : Actions) {
    // A released part ends at its engine before its owner hears of it.
    if (Action.Kind == GangActionKind::Release)
      StartedParts_.erase({Gang, indexOf(Action.Endpoint)});
    Actions_.emplace_back(Gang, Action);
  }
}

void Fleet::perform(int Gang, const GangAction &Action) {
  const int Engine = indexOf(Action.Endpoint);
  EndpointLedger &Ledger = *Ledgers_[Engine];
  switch (Action.Kind) {
  case GangActionKind::Offer: {
    const OfferAnswer Reply = Ledger.offer(Action.Request, Now_);
    if (Reply.Result == OfferResult::Granted)
      Answers_.push_back(
          {Answer::Kind::Granted, Gang, Action.Endpoint, *Reply.Granted, {}});
    else if (Reply.Result == OfferResult::Queued)
      Answers_.push_back({Answer::Kind::Queued,
                          Gang,
                          Action.Endpoint,
                          {},
                          Reply.Load.StartDelay[3]});
    else
      Answers_.push_back({Answer::Kind::Failed, Gang, Action.Endpoint, {}, {}});
    break;
  }
  case GangActionKind::Expect:
    Ledger.setExpectedStart(Action.GrantId, Action.ExpectedStart, Now_);
    break;
  case GangActionKind::Start: {
    Grant Info;
    Info.Id = Action.GrantId;
    const StartResult Result = Ledger.start(Action.GrantId, Now_);
    if (Result == StartResult::Started)
      Answers_.push_back(
          {Answer::Kind::Started, Gang, Action.Endpoint, Info, {}});
    else if (Result == StartResult::Gone)
      Answers_.push_back({Answer::Kind::Failed, Gang, Action.Endpoint, {}, {}});
    break;
  }
  case GangActionKind::Release:
    Ledger.release(Action.GrantId, Action.Outcome, Now_);
    break;
  case GangActionKind::Cancel:
    Ledger.cancel(Action.Request.RequestId, Action.Request.Attempt, Now_);
    break;
  }
}

void Fleet::deliverAction(std::size_t Index) {
  const auto [Gang, Action] = Actions_[Index];
  Actions_.erase(Actions_.begin() + static_cast<std::ptrdiff_t>(Index));
  perform(Gang, Action);
  pollAll();
}

void Fleet::deliverAnswer(std::size_t Index) {
  const Answer Reply = Answers_[Index];
  Answers_.erase(Answers_.begin() + static_cast<std::ptrdiff_t>(Index));
  GangReservation &Gang = Gangs_[Reply.Gang];
  switch (Reply.What) {
  case Answer::Kind::Granted:
    act(Reply.Gang, Gang.granted(Reply.Endpoint, Reply.Info, Now_));
    break;
  case Answer::Kind::Queued:
    act(Reply.Gang, Gang.queued(Reply.Endpoint, Reply.Start, Now_));
    break;
  case Answer::Kind::Failed:
    act(Reply.Gang, Gang.failed(Reply.Endpoint, Now_));
    break;
  case Answer::Kind::Started: {
    const GangState Before = Gang.state();
    act(Reply.Gang, Gang.started(Reply.Endpoint, Reply.Info.Id, Now_));
    if (Before != GangState::Starting || Gang.state() != GangState::Running)
      break;
    ++Ran_;
    RunningSince_[Reply.Gang] = Now_;
    for (int Engine = 0; Engine < EngineCount; ++Engine)
      if (Engine != Reply.Gang || Reply.Gang == 0)
        StartedParts_[{Reply.Gang, Engine}] = 75000;
    break;
  }
  }
}

void Fleet::offerShort(std::uint32_t Engine, std::uint32_t Output) {
  const int Index = static_cast<int>(Engine % EngineCount);
  GrantRequest Request =
      requestOf("short" + std::to_string(Serial_++), 4000, 200 + Output % 2000);
  Request.Deadline = Now_ + 40s;
  const OfferAnswer Reply = Ledgers_[Index]->offer(Request, Now_);
  if (Reply.Granted)
    Shorts_.push_back({Index, *Reply.Granted});
}

void Fleet::begin(int Gang) {
  if (Begun_[Gang])
    return;
  Begun_[Gang] = true;
  act(Gang, Gangs_[Gang].begin(Now_));
}

void Fleet::pollAll() {
  for (int Index = 0; Index < EngineCount; ++Index) {
    const LedgerEvents Events = Ledgers_[Index]->poll(Now_);
    const auto Notify = [&](const std::string &RequestId, Answer::Kind What,
                            const Grant &Info) {
      if (RequestId.starts_with("gang"))
        Answers_.push_back(
            {What, RequestId.back() - '0', engineName(Index), Info, {}});
      return RequestId.starts_with("gang");
    };
    for (const Grant &Each : Events.Granted)
      if (!Notify(Each.RequestId, Answer::Kind::Granted, Each))
        Shorts_.push_back({Index, Each});
    for (const Grant &Each : Events.Started)
      Notify(Each.RequestId, Answer::Kind::Started, Each);
    for (const Refusal &Each : Events.Refused)
      Notify(Each.RequestId, Answer::Kind::Failed, {});
    for (const Grant &Each : Events.Expired) {
      if (Notify(Each.RequestId, Answer::Kind::Failed, {}))
        continue;
      std::erase_if(Shorts_, [&Each](const ShortRun &Run) {
        return Run.Info.Id == Each.Id;
      });
      Ledgers_[Index]->release(Each.Id, GrantOutcome::Cancelled, Now_);
    }
  }
  for (int Gang = 0; Gang < GangCount; ++Gang)
    act(Gang, Gangs_[Gang].poll(Now_));
}

void Fleet::reportAll() {
  for (int Index = 0; Index < EngineCount; ++Index)
    Ledgers_[Index]->report(reportOf(1, EndpointState::Warm, Capacity, Now_),
                            Now_);
}

/// What runs at each engine fits its memory, started parts included.
void Fleet::checkBounds() {
  for (int Index = 0; Index < EngineCount; ++Index) {
    std::uint64_t Held = 0;
    for (const ShortRun &Run : Shorts_)
      if (Run.Engine == Index)
        Held += Run.Info.Tokens;
    for (const auto &[Part, Tokens] : StartedParts_)
      if (Part.second == Index)
        Held += Tokens;
    RC_ASSERT(Held <= Budget);
  }
}

void Fleet::apply(const GangStep &Next) {
  switch (Next.Kind) {
  case 0:
    begin(static_cast<int>(Next.First % GangCount));
    break;
  case 1:
  case 2:
    if (!Actions_.empty()) {
      const std::size_t Index = Next.First % Actions_.size();
      const GangActionKind Kind = Actions_[Index].second.Kind;
      if (LoseReleases_ && Next.Second % 2 == 0 &&
          (Kind == GangActionKind::Release || Kind == GangActionKind::Cancel))
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
    if (!Shorts_.empty()) {
      const std::size_t Index = Next.First % Shorts_.size();
      const ShortRun Run = Shorts_[Index];
      Shorts_.erase(Shorts_.begin() + static_cast<std::ptrdiff_t>(Index));
      Ledgers_[Run.Engine]->release(Run.Info.Id, GrantOutcome::Completed, Now_);
    }
    break;
  case 6:
    Now_ += Next.First % 2000 * 1ms;
    break;
  case 7:
    if (FailParts_ && Next.Second % 4 == 0) { // one part fails
      const int Gang = static_cast<int>(Next.First % GangCount);
      if (Begun_[Gang])
        act(Gang, Gangs_[Gang].failed(engineName(0), Now_));
    }
    break;
  default:
    offerShort(Next.First, Next.Second);
  }
  reportAll();
  pollAll();
  checkBounds();
}

bool Fleet::settle() {
  for (int Gang = 0; Gang < GangCount; ++Gang)
    begin(Gang);
  // Short requests keep arriving, and run for 8 s each. Three prompts that all
  // wait at the first engine need less than three times the bound per engine.
  for (int Tick = 0; Tick < 250 && Ran_ < GangCount; ++Tick) {
    Now_ += 1s;
    reportAll();
    for (int Index = 0; Index < EngineCount * 3; ++Index)
      offerShort(static_cast<std::uint32_t>(Index), 200);
    std::vector<ShortRun> Done;
    for (const ShortRun &Run : Shorts_)
      if (Now_ >= Run.Info.SendBy + 7s)
        Done.push_back(Run);
    for (const ShortRun &Run : Done) {
      std::erase_if(Shorts_, [&Run](const ShortRun &Each) {
        return Each.Info.Id == Run.Info.Id;
      });
      Ledgers_[Run.Engine]->release(Run.Info.Id, GrantOutcome::Completed, Now_);
    }
    pollAll();
    deliverAll();
    for (int Gang = 0; Gang < GangCount; ++Gang)
      if (Gangs_[Gang].state() == GangState::Running &&
          Now_ - RunningSince_[Gang] >= 5s)
        act(Gang, Gangs_[Gang].finish(GrantOutcome::Completed, Now_));
    checkBounds();
  }
  return Ran_ == GangCount;
}

void Fleet::deliverAll() {
  while (!Actions_.empty() || !Answers_.empty()) {
    if (!Actions_.empty())
      deliverAction(0);
    if (!Answers_.empty())
      deliverAnswer(0);
  }
}

/// Ends all prompts and short requests without letting time pass.
void Fleet::failAll() {
  for (int Gang = 0; Gang < GangCount; ++Gang)
    if (Begun_[Gang])
      act(Gang, Gangs_[Gang].failed(engineName(0), Now_));
  deliverAll();
  while (!Shorts_.empty()) {
    const ShortRun Run = Shorts_.back();
    Shorts_.pop_back();
    Ledgers_[Run.Engine]->release(Run.Info.Id, GrantOutcome::Completed, Now_);
    pollAll();
  }
  for (int Index = 0; Index < EngineCount; ++Index)
    RC_ASSERT(Ledgers_[Index]->grants().empty());
}

void Fleet::checkNothingHeld() {
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
  for (int Gang = 0; Gang < GangCount; ++Gang)
    RC_ASSERT(!Begun_[Gang] || Gangs_[Gang].state() == GangState::Ended);
}

} // namespace

// Guards against prompts that wait for each other's engines, and against a
// stream of short requests that keeps a prompt from ever getting its engines.
TEST_CASE("every prompt over several engines runs when no message is lost") {
  CHECK(rc::check("gang progress", [] {
    const std::vector<GangStep> Steps = *gangSteps();
    Fleet Engines(false, false);
    for (const GangStep &Next : Steps)
      Engines.apply(Next);
    RC_ASSERT(Engines.settle());
    Engines.checkNothingHeld();
  }));
}

// Guards against parts that stay reserved when another part has failed.
TEST_CASE("a failed prompt gives back all its engines at once") {
  CHECK(rc::check("gang all or none", [] {
    const std::vector<GangStep> Steps = *gangSteps();
    Fleet Engines(true, false);
    for (const GangStep &Next : Steps)
      Engines.apply(Next);
    Engines.failAll();
  }));
}

// Guards against engine memory that stays reserved after a lost release, and
// against a started part beside requests that borrowed its memory.
TEST_CASE("a prompt whose messages are lost leaves nothing behind") {
  CHECK(rc::check("gang release", [] {
    const std::vector<GangStep> Steps = *gangSteps();
    Fleet Engines(true, true);
    for (const GangStep &Next : Steps)
      Engines.apply(Next);
    Engines.checkNothingHeld();
  }));
}
