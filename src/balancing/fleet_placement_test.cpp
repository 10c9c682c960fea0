#include "cassiashed/balancing/dispatcher.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>

using namespace cassiashed;
using namespace cassiashed::balancing;
using std::chrono::milliseconds;

namespace {

/// Whose work a node takes into account when it chooses engines.
enum class Knowledge {
  OwnOnly,   ///< a node of a large fleet that decides alone
  WholeFleet ///< a placer
};

struct Outcome {
  int Sent = 0;
  int InTime = 0;
  double share() const { return static_cast<double>(InTime) / Sent; }
};

/// Plays one load against engines that behave as predicted, with all work
/// known. Load: 60 nodes, 20 engines, 50 short prompts and 2 long ones a
/// second for 10 s, which is about two thirds of what the engines can do.
class Play {
public:
  explicit Play(Knowledge Known) {
    Model_.Name = "model";
    engine::EngineSpec Spec;
    Spec.Slots = 10;
    Spec.MemoryTokens = 232000;
    Spec.StepsPerPass = 45;
    Spec.StepMs = 1.02;
    Spec.PrefillTokensPerMs = 206;
    Spec.PrefillPairsMs = 0.138;
    Model_.Engine = Spec;
    for (int Index = 0; Index < Engines; ++Index) {
      catalog::Endpoint Entry;
      Entry.Id = "engine-" + std::to_string(Index);
      Entry.Service = Model_.Name;
      Entry.Host = "10.0.0.1";
      Entry.Port = static_cast<unsigned short>(8000 + Index);
      Entry.Zone = "a";
      Directory_.put(Entry, Start);
    }
    Loads_.resize(Known == Knowledge::OwnOnly ? Nodes : 1);
    for (FleetLoad &Each : Loads_)
      prepare(Each);
    prepare(Truth_);
  }

  std::map<bool, Outcome> run() {
    const TimePoint End = Start + std::chrono::seconds(10);
    std::uint64_t Id = 1;
    for (TimePoint Now = Start; Now < End; Now += milliseconds(20), ++Id) {
      settle(Now);
      send(Id, false, Now);
      if (Id % 25 == 0)
        send(Id + LongIds, true, Now);
    }
    return Outcomes_;
  }

private:
  static constexpr int Nodes = 60;
  static constexpr int Engines = 20;
  static constexpr std::uint64_t LongIds = 1'000'000;
  static constexpr TimePoint Start{std::chrono::hours(1)};

  void prepare(FleetLoad &Load) {
    for (const auto &[Id, Known] : Directory_.all())
      Load.timeline(Id, *Model_.Engine);
  }

  /// Carries out what happened until `Now`: first tokens and ends.
  void settle(TimePoint Now) {
    while (!Events_.empty() && Events_.begin()->first <= Now) {
      const auto [At, Event] = *Events_.begin();
      Events_.erase(Events_.begin());
      for (FleetLoad *Each : {&Truth_, Event.Load})
        if (Event.IsEnd)
          Each->finish(Event.Id, At);
        else
          Each->markStarted(Event.Id, At);
    }
  }

  void send(std::uint64_t Id, bool IsLong, TimePoint Now) {
    DispatchRequest Request;
    Request.Target = &Model_;
    Request.Work.Id = Id;
    Request.Work.PromptTokens = IsLong ? 133000 : 5000;
    Request.Work.OutputTokens = 300;
    Request.Work.FirstTokenMs = IsLong ? 3000 : 300;
    Request.Work.DeadlineMs = 10000;
    Request.Work.PauseMs = IsLong ? 1000 : 250;
    Request.Work.Value = IsLong ? 14 : 1;
    FleetLoad &Load = Loads_[Id % Loads_.size()];
    Dispatcher Chooser(Directory_, Load, Health_, Cold_, {});
    const Dispatch Chosen = Chooser.choose(Request, Now, Random_);
    REQUIRE_FALSE(Chosen.Endpoints.empty());
    Assignment Work;
    Work.Request = Request.Work;
    Work.Request.Urgent = Chosen.Urgent;
    double SeenMs = 0;
    for (std::size_t Index = 0; Index < Chosen.Endpoints.size(); ++Index) {
      const std::string &Engine = Chosen.Endpoints[Index]->Entry.Id;
      Work.Parts.push_back({Engine, Chosen.Parts[Index]});
      const engine::EngineJob Job =
          makeJob(Work.Request, Chosen.Parts[Index], Index == 0, Now, {});
      SeenMs = std::max(SeenMs, Truth_.timeline(Engine, *Model_.Engine)
                                    .forecast(Job, Now)
                                    .FirstTokenMs);
    }
    Truth_.assign(Work, Now);
    Load.assign(Work, Now);
    Outcome &Counted = Outcomes_[IsLong];
    ++Counted.Sent;
    Counted.InTime += SeenMs <= Request.Work.FirstTokenMs ? 1 : 0;
    const auto Seen = Now + milliseconds(static_cast<int>(SeenMs));
    Events_.emplace(Seen, Event{Id, false, &Load});
    Events_.emplace(Seen + milliseconds(500), Event{Id, true, &Load});
  }

  struct Event {
    std::uint64_t Id = 0;
    bool IsEnd = false;
    FleetLoad *Load = nullptr;
  };

  catalog::Service Model_;
  catalog::EndpointDirectory Directory_;
  EndpointHealth Health_;
  ColdShare Cold_;
  std::vector<FleetLoad> Loads_;
  FleetLoad Truth_;
  std::multimap<TimePoint, Event> Events_;
  std::mt19937_64 Random_{11};
  std::map<bool, Outcome> Outcomes_;
};

} // namespace

// Guards against nodes of a large fleet that choose engines from their own
// requests only: with a placer more prompts of both lengths are on time.
TEST_CASE("a placer that knows all work serves more in time than many nodes "
          "alone") {
  std::map<bool, Outcome> Alone = Play(Knowledge::OwnOnly).run();
  std::map<bool, Outcome> Placed = Play(Knowledge::WholeFleet).run();
  for (const bool IsLong : {false, true}) {
    CAPTURE(IsLong);
    CAPTURE(Alone[IsLong].share());
    CHECK(Placed[IsLong].share() >= Alone[IsLong].share());
    CHECK(Placed[IsLong].share() > 0.9);
  }
  CHECK(Placed[false].share() > Alone[false].share());
}
