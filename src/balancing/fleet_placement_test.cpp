#include "balancing/fleet_play.h"

#include <doctest/doctest.h>
#include <vector>

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

/// Plays one load. Load: 60 nodes, 20 engines, 50 short prompts and 2 long ones
/// a second for 10 s, which is about two thirds of what the engines can do.
class Play {
public:
  explicit Play(Knowledge Known) {
    Views_.resize(Known == Knowledge::OwnOnly ? Nodes : 1);
    for (FleetLoad &Each : Views_)
      Fleet_.prepare(Each);
  }

  std::map<bool, Outcome> run() {
    const TimePoint End = FleetPlay::Start + std::chrono::seconds(10);
    std::uint64_t Id = 1;
    for (TimePoint Now = FleetPlay::Start; Now < End;
         Now += milliseconds(20), ++Id) {
      Fleet_.settle(Now);
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
    const double SeenMs =
        Fleet_.send(Work, Chosen, View, milliseconds(500), Now);
    Outcome &Counted = Outcomes_[IsLong];
    ++Counted.Sent;
    Counted.InTime += SeenMs <= Work.FirstTokenMs ? 1 : 0;
  }

  FleetPlay Fleet_{Engines};
  std::vector<FleetLoad> Views_;
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
