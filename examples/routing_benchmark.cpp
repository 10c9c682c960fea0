#include "cassiashed/base/hash.h"
#include "cassiashed/routing/router.h"

#include <algorithm>
#include <fmt/format.h>

/// Measures one routing decision at 820 endpoints, 15 models and 39,000
/// workspaces, each with a prompt prefix of its own. Prints microseconds.
namespace {

using namespace cassiashed;
using namespace cassiashed::routing;

constexpr int EndpointCount = 820;
constexpr int ModelCount = 15;
constexpr int WorkspaceCount = 39'000;
constexpr int Decisions = 200'000;

FleetView makeFleet(int Models, std::mt19937_64 &Random, TimePoint Now) {
  std::vector<EndpointConfig> Endpoints;
  Endpoints.reserve(EndpointCount);
  for (int Index = 0; Index < EndpointCount; ++Index)
    Endpoints.push_back({fmt::format("engine-replica-{:04}", Index),
                         fmt::format("zone-{}", Index % 6),
                         {fmt::format("model-{}", Index % Models)},
                         400'000});
  FleetView Fleet;
  Fleet.configure(Endpoints);
  for (const EndpointConfig &Endpoint : Endpoints) {
    LoadHint Hint;
    Hint.MeasuredAt = Now - std::chrono::milliseconds(Random() % 10'000);
    Hint.FreeTokens = Random() % 400'000;
    Hint.PredictedWait = std::chrono::microseconds(Random() % 500'000);
    Hint.PrefillBacklog = {Random() % 20'000, Random() % 40'000,
                           Random() % 100'000, Random() % 100'000};
    Fleet.recordHint(Endpoint.Name, 1, Hint);
  }
  return Fleet;
}

void measure(RoutingPolicy Policy, int Models, bool ZonesOut) {
  std::mt19937_64 Random(1);
  const TimePoint Now = std::chrono::steady_clock::now();
  FleetView Fleet = makeFleet(Models, Random, Now);
  if (ZonesOut)
    for (int Zone = 0; Zone < 5; ++Zone)
      Fleet.setZoneInService(fmt::format("zone-{}", Zone), false);
  RouterOptions Options;
  Options.Policy = Policy;
  Options.HomeZone = "zone-5";
  const auto Router = makeRouter(Options);
  std::vector<double> Times;
  Times.reserve(Decisions);
  std::size_t Found = 0;
  for (int Index = 0; Index < Decisions; ++Index) {
    RouteRequest Request;
    const std::uint64_t Workspace = Random() % WorkspaceCount;
    Request.Model = fmt::format("model-{}", Workspace % Models);
    Request.PromptTokens =
        Index % 50 == 0 ? 200'000 : 1'000 + Random() % 20'000;
    Request.ReservedTokens = Request.PromptTokens + 500;
    Request.PrefixHash = hashBytes(fmt::format("workspace-{}", Workspace));
    Request.PrefixTokens = 1'000;
    const auto Start = std::chrono::steady_clock::now();
    Found += Router->choose(Request, Fleet, Now, Random).size();
    Times.push_back(std::chrono::duration<double, std::micro>(
                        std::chrono::steady_clock::now() - Start)
                        .count());
  }
  std::sort(Times.begin(), Times.end());
  fmt::print("policy={} models={} zones_out={} mean_candidates={:.2f} "
             "p50_us={:.2f} p99_us={:.2f} p999_us={:.2f}\n",
             nameOf(Policy), Models, ZonesOut ? 5 : 0,
             static_cast<double>(Found) / Decisions, Times[Decisions / 2],
             Times[Decisions * 99 / 100], Times[Decisions / 1000 * 999]);
}

} // namespace

int main() {
  for (const RoutingPolicy Policy :
       {RoutingPolicy::LengthAware, RoutingPolicy::RoundRobin,
        RoutingPolicy::LeastOutstanding, RoutingPolicy::FirstComeByTokens})
    measure(Policy, ModelCount, false);
  measure(RoutingPolicy::LengthAware, ModelCount, true);
  measure(RoutingPolicy::LengthAware, 1, false);
  return 0;
}
