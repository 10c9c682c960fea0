#include "cassiashed/balancing/placement_retry_pacer.h"
#include "cassiashed/balancing/placer_ranking.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace cassiashed;
using namespace cassiashed::balancing;
using std::chrono::milliseconds;

namespace {

PlacerCandidate makeNode(const std::string &Host, double CpuShare,
                         std::uint64_t Hash) {
  return {Host, {CpuShare, Hash}, true, false};
}

std::vector<std::string> hostsOf(const std::vector<PlacerCandidate> &From) {
  std::vector<std::string> Result;
  Result.reserve(From.size());
  for (const PlacerCandidate &Each : From)
    Result.push_back(Each.Host);
  return Result;
}

} // namespace

TEST_CASE("large hosts place first, equal ones by hash") {
  const auto Chosen =
      choosePlacers({makeNode("small", 0.12, 1), makeNode("large-b", 0.5, 9),
                     makeNode("large-a", 0.5, 2)},
                    2);
  CHECK(hostsOf(Chosen) == std::vector<std::string>{"large-a", "large-b"});
}

// Guards against a node that was killed and knows nothing of the work under
// way, and against asking one again that has just been silent.
TEST_CASE("restarted and silent nodes are asked last, but rather than none") {
  std::vector<PlacerCandidate> All = {
      makeNode("a", 0.5, 1), makeNode("b", 0.5, 2), makeNode("c", 0.12, 3)};
  All[0].KnowsFleetLoad = false;
  All[1].IsSuspect = true;
  CHECK(hostsOf(choosePlacers(All, 3)) ==
        std::vector<std::string>{"c", "a", "b"});
  All.pop_back();
  CHECK(hostsOf(choosePlacers(All, 3)) == std::vector<std::string>{"a", "b"});
}

// Two nodes that know the same others must ask the same placer, or each of
// them decides from a part of the picture.
TEST_CASE("the choice does not depend on the order in which nodes are known") {
  CHECK(rc::check([] {
    const int Count = *rc::gen::inRange(1, 40);
    std::vector<PlacerCandidate> All;
    for (int Index = 0; Index < Count; ++Index) {
      PlacerCandidate Each =
          makeNode(std::to_string(Index), *rc::gen::element(0.12, 0.25, 0.5),
                   *rc::gen::arbitrary<std::uint64_t>());
      Each.Rank.Hash = Each.Rank.Hash * 64 + static_cast<unsigned>(Index);
      Each.KnowsFleetLoad = *rc::gen::arbitrary<bool>();
      All.push_back(Each);
    }
    const auto Chosen = hostsOf(choosePlacers(All, 3));
    std::reverse(All.begin(), All.end());
    RC_ASSERT(hostsOf(choosePlacers(All, 3)) == Chosen);
    RC_ASSERT(Chosen.size() == static_cast<std::size_t>(std::min(Count, 3)));
  }));
}

// Load: a minute in which 60 long prompts wait all the time.
TEST_CASE("a queue of late requests takes a bounded number of looks") {
  PlacementRetryPacer Pacer;
  const PlacementRetryPacerOptions Options;
  const TimePoint Start{std::chrono::hours(1)};
  std::vector<TimePoint> Looks(60, Start);
  int Count = 0;
  for (TimePoint Now = Start; Now < Start + std::chrono::seconds(60);
       Now += milliseconds(1))
    for (TimePoint &Next : Looks)
      if (Next <= Now) {
        ++Count;
        Next = Now + Pacer.nextDelay(Now);
        CHECK(Next - Now >= Options.MinDelay);
        CHECK(Next - Now <= Options.MaxDelay);
      }
  // At the longest spacing each request still looks.
  const double LeastPerSecond =
      60 / std::chrono::duration<double>(Options.MaxDelay).count();
  CHECK(Count <=
        60 * (std::max(Options.RetriesPerSecond, LeastPerSecond) + 1) + 60);
}
