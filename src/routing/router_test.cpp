#include "cassiashed/routing/router.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <map>
#include <set>

using namespace cassiashed;
using namespace cassiashed::routing;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{std::chrono::hours(1)};

/// Endpoints e0, e1, ... of model m in zones z0, z1, z2 in turn.
FleetView makeFleet(int Count) {
  std::vector<EndpointConfig> Endpoints;
  Endpoints.reserve(Count);
  for (int Index = 0; Index < Count; ++Index)
    Endpoints.push_back({fmt::format("e{}", Index),
                         fmt::format("z{}", Index % 3),
                         {"m"},
                         200'000});
  FleetView Fleet;
  Fleet.configure(Endpoints);
  return Fleet;
}

void recordBacklog(FleetView &Fleet, const std::string &Endpoint,
                   BacklogByClass Backlog, TimePoint At = Start) {
  Fleet.recordHint(Endpoint, 1, {At, 200'000, 0us, Backlog});
}

RouteRequest makeRequest(std::uint64_t Tokens) {
  RouteRequest Request;
  Request.Model = "m";
  Request.PromptTokens = Tokens;
  Request.ReservedTokens = Tokens + 200;
  return Request;
}

} // namespace

// Guards against requests sent to a zone out of service, to a leaving endpoint
// or twice to the same one, and against an empty result while an endpoint
// remains.
TEST_CASE("every policy returns exactly the endpoints that accept requests") {
  for (const char *Name : {"length-aware", "round-robin", "least-outstanding",
                           "first-come-by-tokens"}) {
    CAPTURE(Name);
    FleetView Fleet = makeFleet(300);
    RouterOptions Options;
    Options.Policy = *parseRoutingPolicy(Name);
    const auto Router = makeRouter(Options);
    std::mt19937_64 Random(7);
    Fleet.setZoneInService("z0", false);
    Fleet.setZoneInService("z1", false);
    for (int Index = 8; Index < 300; Index += 3)
      Fleet.setLeaving(fmt::format("e{}", Index), true);
    RouteRequest Request = makeRequest(1'000);
    Request.PrefixHash = 99;
    Request.PrefixTokens = 1'000;
    Request.CachedAt = {{"e0", 1'000, true}, {"e8", 1'000, true}};
    auto Found = Router->choose(Request, Fleet, Start, Random);
    std::set<std::string> Names;
    for (const Candidate &Next : Found)
      Names.insert(Next.Endpoint);
    CHECK(Found.size() == 2);
    CHECK(Names == std::set<std::string>{"e2", "e5"});
    Request.Tried = {"e2"};
    Found = Router->choose(Request, Fleet, Start, Random);
    REQUIRE(Found.size() == 1);
    CHECK(Found[0].Endpoint == "e5");
    Request.Tried.emplace_back("e5");
    CHECK(Router->choose(Request, Fleet, Start, Random).empty());
  }
}

// Guards against a zone that returns to service when the configuration is
// applied again.
TEST_CASE("a zone stays out of service after a new configuration") {
  FleetView Fleet = makeFleet(3);
  Fleet.setZoneInService("z1", false);
  Fleet.configure({{"e1", "z1", {"m"}}, {"new", "z1", {"m"}}});
  CHECK_FALSE(Fleet.find("e1")->acceptsNewRequests());
  CHECK_FALSE(Fleet.find("new")->acceptsNewRequests());
}

// Guards against short requests that wait behind long prefills, and against
// many long prompts at the one endpoint that looks best to every node.
TEST_CASE("short requests avoid long backlogs and long ones are spread") {
  FleetView Fleet = makeFleet(12);
  for (int Index = 0; Index < 12; ++Index)
    recordBacklog(Fleet, fmt::format("e{}", Index),
                  {1'000, 0, Index < 6 ? 200'000UL : 0UL, 0});
  const auto Router = makeRouter({});
  std::mt19937_64 Random(7);
  std::map<std::string, int> FirstChoicesOfLong;
  for (int Turn = 0; Turn < 300; ++Turn) {
    const auto Short = Router->choose(makeRequest(1'000), Fleet, Start, Random);
    CHECK(std::stoi(Short[0].Endpoint.substr(1)) >= 6);
    // Stands for another node with the same view.
    ++FirstChoicesOfLong
        [Router->choose(makeRequest(50'000), Fleet, Start, Random)[0].Endpoint];
  }
  for (const auto &Entry : FirstChoicesOfLong)
    CHECK_MESSAGE(Entry.second < 150, Entry.first);
}

// Guards against ignoring the predicted start delay per class: a short request
// would wait behind long ones although the owner reported the delay.
TEST_CASE("the owner's predicted start delay of the class decides") {
  FleetView Fleet = makeFleet(2);
  LoadHint Long{Start, 200'000};
  Long.StartDelay = {10ms, 10ms, 20s, 20s};
  LoadHint Short{Start, 200'000};
  Short.StartDelay = {200ms, 200ms, 200ms, 200ms};
  Fleet.recordHint("e0", 1, Long);
  Fleet.recordHint("e1", 1, Short);
  const auto Router = makeRouter({});
  std::mt19937_64 Random(7);
  for (const std::uint64_t Tokens : {1'000U, 50'000U})
    CHECK(
        Router->choose(makeRequest(Tokens), Fleet, Start, Random)[0].Endpoint ==
        "e1");
  Long.MeasuredAt = Start + 1ms;
  Long.StartDelay = {10ms, 10ms, 300ms, 300ms};
  Fleet.recordHint("e0", 1, Long);
  CHECK(Router->choose(makeRequest(1'000), Fleet, Start + 1ms, Random)[0]
            .Endpoint == "e0");
}

// Guards against a node that sends a burst to the endpoint that was best at the
// last hint, and against reliance on an old hint.
TEST_CASE("requests sent since a hint count and old hints lose weight") {
  FleetView Fleet = makeFleet(2);
  recordBacklog(Fleet, "e0", {});
  recordBacklog(Fleet, "e1", {4'000});
  RouterOptions Options;
  Options.OtherZonePenalty = 0us;
  const auto Router = makeRouter(Options);
  std::mt19937_64 Random(7);
  const auto First = [&](TimePoint Now) {
    return Router->choose(makeRequest(1'000), Fleet, Now, Random)[0];
  };
  CHECK(First(Start).Endpoint == "e0");
  for (int Sent = 0; Sent < 6; ++Sent)
    Fleet.recordSent("e0", 1'000, 1'200);
  CHECK(First(Start).Endpoint == "e1");
  recordBacklog(Fleet, "e0", {}, Start + 1ms);
  CHECK(First(Start + 1ms).Endpoint == "e0");
  // Ignored: a hint measured before the known one, and one of an older
  // incarnation.
  recordBacklog(Fleet, "e0", {90'000}, Start);
  Fleet.recordHint("e0", 2, {Start + 2ms, 200'000});
  recordBacklog(Fleet, "e0", {90'000}, Start + 3ms);
  CHECK(First(Start + 3ms).Endpoint == "e0");
  const auto PredictedFirstToken = [&](TimePoint Now) {
    for (const Candidate &Next :
         Router->choose(makeRequest(1'000), Fleet, Now, Random))
      if (Next.Endpoint == "e1")
        return Next.TimeToFirstToken;
    return 0us;
  };
  Fleet.recordHint("e1", 1, {Start + 3ms, 200'000, 8s});
  CHECK(PredictedFirstToken(Start + 3ms) > 8s);
  CHECK(PredictedFirstToken(Start + 20s) < 2s);
}

// Guards against endpoints that never get requests: after a node started,
// requests that owners refused counted as prefill backlog until the first hint,
// which never came.
TEST_CASE("requests that never reached an endpoint do not count against it") {
  FleetView Fleet = makeFleet(2);
  recordBacklog(Fleet, "e1", {4'000});
  for (int Sent = 0; Sent < 20; ++Sent) {
    Fleet.recordSent("e0", 4'000, 4'200);
    Fleet.revertSent("e0", 4'000, 4'200);
  }
  RouterOptions Options;
  Options.OtherZonePenalty = 0us;
  const auto Router = makeRouter(Options);
  std::mt19937_64 Random(7);
  CHECK(Router->choose(makeRequest(1'000), Fleet, Start, Random)[0].Endpoint ==
        "e0");
  CHECK(Fleet.find("e0")->OutstandingRequests == 0);
}

// Guards against a prompt that is not sent to the idle endpoint that holds its
// prefix, and against a cached prefix that outweighs any queue.
TEST_CASE("requests with the same prefix share an endpoint unless it is busy") {
  FleetView Fleet = makeFleet(30);
  RouterOptions Options;
  Options.OtherZonePenalty = 0us;
  std::mt19937_64 Random(7);
  std::set<std::string> Chosen;
  RouteRequest Request = makeRequest(2'000);
  Request.PrefixHash = 42;
  Request.PrefixTokens = 1'000;
  for (int Node = 0; Node < 20; ++Node)
    Chosen.insert(
        makeRouter(Options)->choose(Request, Fleet, Start, Random)[0].Endpoint);
  REQUIRE(Chosen.size() == 1);
  recordBacklog(Fleet, *Chosen.begin(), {50'000});
  CHECK(
      makeRouter(Options)->choose(Request, Fleet, Start, Random)[0].Endpoint !=
      *Chosen.begin());
}

// Guards against a request suspected of a crash that is sent to the zone of
// that crash, and against a prompt sent to an endpoint where it can never fit.
TEST_CASE("zones to avoid and endpoints that are too small come last") {
  FleetView Fleet;
  std::vector<EndpointConfig> Endpoints;
  Endpoints.reserve(100);
  for (int Index = 0; Index < 100; ++Index)
    Endpoints.push_back({fmt::format("e{}", Index),
                         fmt::format("z{}", Index == 50 ? 1 : 0),
                         {"m"},
                         Index == 60 ? 900'000UL : 100'000UL});
  Fleet.configure(Endpoints);
  std::mt19937_64 Random(7);
  const auto Router = makeRouter({});
  RouteRequest Request = makeRequest(1'000);
  Request.AvoidZones = {"z0"};
  CHECK(Router->choose(Request, Fleet, Start, Random)[0].Endpoint == "e50");
  const auto Large = Router->choose(makeRequest(800'000), Fleet, Start, Random);
  CHECK(Large[0].Endpoint == "e60");
  CHECK(Large[0].Fits);
  CHECK_FALSE(Large[1].Fits);
}
