#include "cassiashed/balancing/dispatcher.h"
#include "cassiashed/balancing/late_lane.h"

#include <doctest/doctest.h>

using namespace cassiashed;
using namespace cassiashed::balancing;
using catalog::Endpoint;
using catalog::EndpointState;

namespace {

struct Fixture {
  Fixture() {
    Plain.Name = "bookings";
    Options.Zone = "a";
    Options.RegionOfZone = {{"a", "north"}, {"b", "south"}};
  }

  void put(const std::string &Id, const std::string &Zone,
           EndpointState State = EndpointState::Ready,
           Duration ColdFor = Duration(0)) {
    Endpoint Entry;
    Entry.Id = Id;
    Entry.Service = "bookings";
    Entry.Host = "10.0.0.1";
    Entry.Port = static_cast<unsigned short>(8000 + Directory.all().size());
    Entry.Zone = Zone;
    Entry.Slots = 2;
    Entry.State = State;
    Entry.ColdFor = ColdFor;
    Directory.put(Entry, Now);
  }

  Dispatch choose(DispatchRequest Request = {}) {
    Request.Target = &Plain;
    Dispatcher All(Directory, Load, Health, Cold, Options);
    All.setNodeCount(NodeCount);
    return All.choose(Request, Now, Random);
  }

  catalog::Service Plain;
  DispatcherOptions Options;
  catalog::EndpointDirectory Directory;
  FleetLoad Load;
  EndpointHealth Health;
  ColdShare Cold;
  int NodeCount = 1;
  TimePoint Now{std::chrono::hours(1)};
  std::mt19937_64 Random{7};
};

} // namespace

TEST_CASE("leaving endpoints and zones out of service get nothing") {
  Fixture Fleet;
  Fleet.put("leaving", "a", EndpointState::Draining);
  Fleet.put("out", "b");
  Fleet.Directory.setZoneOut("b", true);
  Dispatch Chosen = Fleet.choose();
  CHECK(Chosen.Endpoints.empty());
  CHECK(Chosen.Failure == DispatchFailure::NoEndpoint);
  CHECK(Chosen.RetryAfter > Duration(0));
  Fleet.Directory.setZoneOut("b", false);
  Chosen = Fleet.choose();
  REQUIRE(Chosen.Endpoints.size() == 1);
  CHECK(Chosen.Endpoints.front()->Entry.Id == "out");
}

TEST_CASE("endpoints outside the allowed regions get nothing") {
  Fixture Fleet;
  Fleet.put("north", "a");
  Fleet.put("south", "b");
  DispatchRequest Request;
  Request.Regions = {"south"};
  for (int Count = 0; Count < 20; ++Count)
    CHECK(Fleet.choose(Request).Endpoints.front()->Entry.Id == "south");
}

TEST_CASE("a cold endpoint gets its share only") {
  Fixture Fleet;
  Fleet.Plain.ColdRequestsPerSecond = 10;
  Fleet.NodeCount = 9;
  Fleet.put("cold", "a", EndpointState::Ready, Duration(3000));
  const Dispatch First = Fleet.choose();
  REQUIRE_FALSE(First.Endpoints.empty());
  Fleet.Cold.noteSent(First.Endpoints.front()->Number, Fleet.Now);
  CHECK(Fleet.choose().Failure == DispatchFailure::AllCold);
  Fleet.Now += std::chrono::seconds(4);
  CHECK_FALSE(Fleet.choose().Endpoints.empty());
}

TEST_CASE("an endpoint in doubt is used less, but rather than none") {
  Fixture Fleet;
  Fleet.put("good", "a");
  Fleet.put("bad", "a");
  const std::uint32_t Bad = Fleet.Directory.find("bad")->Number;
  Fleet.Health.note(Bad, EndpointOutcome::Unreachable, Fleet.Now);
  for (int Count = 0; Count < 20; ++Count)
    CHECK(Fleet.choose().Endpoints.front()->Entry.Id == "good");
  Fleet.Directory.remove("good");
  CHECK(Fleet.choose().Endpoints.front()->Entry.Id == "bad");
}

TEST_CASE("full plain endpoints are refused at once, with a time to return") {
  Fixture Fleet;
  Fleet.put("only", "a");
  for (std::uint64_t Id = 1; Id <= 8; ++Id) {
    Assignment Work;
    Work.Request.Id = Id;
    Work.Request.DeadlineMs = 1000;
    Work.Parts = {{"only", PlacedPart{}}};
    Fleet.Load.assign(Work, Fleet.Now);
  }
  const Dispatch Chosen = Fleet.choose();
  CHECK(Chosen.Failure == DispatchFailure::AllBusy);
  CHECK(Chosen.RetryAfter > Duration(0));
}

// Guards against a short queue that makes every request late until it drains:
// those that are late anyway let the others pass.
TEST_CASE("a late request waits while engines are busy, within bounds") {
  PlacementRequest Work;
  Work.FirstTokenMs = 300;
  Work.Value = 2;
  Dispatch Chosen;
  Chosen.FirstTokenMs = 200;
  Chosen.LossToOthers = 1;
  CHECK(decideLateStep(Chosen, Work, 0, 10000) == LateStep::Send);
  Chosen.FirstTokenMs = 800;
  CHECK(decideLateStep(Chosen, Work, 0, 10000) == LateStep::Wait);
  CHECK(decideLateStep(Chosen, Work, 9000, 10000) == LateStep::Send);
  Chosen.LossToOthers = 0;
  CHECK(decideLateStep(Chosen, Work, 0, 10000) == LateStep::Send);
}
