#include "cassiashed/routing/router.h"

#include <fmt/format.h>

/// The entry node's decision: endpoints for one request, the best first. A
/// zone out of service is left out; a long backlog moves an endpoint back.
int main() {
  using namespace cassiashed;
  using namespace cassiashed::routing;

  FleetView Fleet;
  Fleet.configure({{"large-a", "a", {"large"}, 600'000},
                   {"large-b", "b", {"large"}, 600'000},
                   {"large-c", "c", {"large"}, 600'000}});
  Fleet.setZoneInService("c", false);
  const TimePoint Now = std::chrono::steady_clock::now();
  LoadHint Busy;
  Busy.MeasuredAt = Now;
  Busy.FreeTokens = 300'000;
  Busy.PredictedWait = std::chrono::seconds(2);
  Fleet.recordHint("large-a", 1, Busy);

  RouterOptions Options;
  Options.HomeZone = "a";
  const auto Router = makeRouter(Options);
  RouteRequest Request;
  Request.Model = "large";
  Request.PromptTokens = 2'000;
  Request.ReservedTokens = 2'100;
  std::mt19937_64 Random(1);
  for (const Candidate &Next : Router->choose(Request, Fleet, Now, Random))
    fmt::print("{}: first token in about {} ms\n", Next.Endpoint,
               Next.TimeToFirstToken.count() / 1000);
}
