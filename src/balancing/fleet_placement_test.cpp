#include "balancing/fleet_simulation.h"

#include <doctest/doctest.h>
#include <vector>

using namespace cassiashed;
using namespace cassiashed::balancing;
using std::chrono::milliseconds;

namespace {

/// Whose requests a node takes into account when it chooses engines.
enum class Knowledge {
  OwnOnly,   ///< a node of a large fleet that decides alone
  WholeFleet ///< a placer
};

struct OutcomeCount {
  int Sent = 0;
  int OnTime = 0;
  double onTimeShare() const { return static_cast<double>(OnTime) / Sent; }
};

/// Simulates 60 nodes and 20 engines for 10 s. Each second brings 50 short and
/// 2 long prompts, about two thirds of the capacity of the engines.
class PlacementScenario {
public:
  explicit PlacementScenario(Knowledge Known) {
    Views_.resize(Known == Knowledge::OwnOnly ? Nodes : 1);
    for (FleetLoad &View : Views_)
      Fleet_.addTimelines(View);
  }

  std::map<bool, OutcomeCount> run() {
    const TimePoint End = FleetSimulation::Start + std::chrono::seconds(10);
    std::uint64_t Id = 1;
    for (TimePoint Now = FleetSimulation::Start; Now < End;
         Now += milliseconds(20), ++Id) {
      Fleet_.advanceTo(Now);
      send(Id, false, Now);
      if (Id % 25 == 0)
        send(Id + FirstLongId, true, Now);
    }
    return Outcomes_;
  }

private:
  static constexpr int Nodes = 60;
  static constexpr int Engines = 20;
  static constexpr std::uint64_t FirstLongId = 1'000'000;

  void send(std::uint64_t Id, bool IsLong, TimePoint Now) {
    PlacementRequest Work;
    Work.Id = Id;
    Work.PromptTokens = IsLong ? 133000 : 5000;
    Work.OutputTokens = 300;
    Work.FirstTokenMs = IsLong ? 3000 : 300;
    Work.DeadlineMs = 10000;
    Work.MaxTokenGapMs = IsLong ? 1000 : 250;
    Work.Value = IsLong ? 14 : 1;
    FleetLoad &View = Views_[Id % Views_.size()];
    const Dispatch Chosen = Fleet_.choose(Work, View, Now);
    REQUIRE_FALSE(Chosen.Endpoints.empty());
    const double FirstTokenMs =
        Fleet_.send(Work, Chosen, View, milliseconds(500), Now);
    OutcomeCount &Counted = Outcomes_[IsLong];
    ++Counted.Sent;
    Counted.OnTime += FirstTokenMs <= Work.FirstTokenMs ? 1 : 0;
  }

  FleetSimulation Fleet_{Engines};
  std::vector<FleetLoad> Views_;
  std::map<bool, OutcomeCount> Outcomes_;
};

} // namespace

// Guards against nodes of a large fleet that choose engines by their own
// requests only: with a placer, more prompts of both lengths are on time.
TEST_CASE("a placer that knows all requests serves more on time than many "
          "nodes alone") {
  std::map<bool, OutcomeCount> Alone =
      PlacementScenario(Knowledge::OwnOnly).run();
  std::map<bool, OutcomeCount> Placed =
      PlacementScenario(Knowledge::WholeFleet).run();
  for (const bool IsLong : {false, true}) {
    CAPTURE(IsLong);
    CAPTURE(Alone[IsLong].onTimeShare());
    CHECK(Placed[IsLong].onTimeShare() >= Alone[IsLong].onTimeShare());
    CHECK(Placed[IsLong].onTimeShare() > 0.9);
  }
  CHECK(Placed[false].onTimeShare() > Alone[false].onTimeShare());
}
