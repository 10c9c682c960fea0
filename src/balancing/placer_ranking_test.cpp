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

std::vector<std::string>
hostsOf(const std::vector<PlacerCandidate> &Candidates) {
  std::vector<std::string> Result;
  Result.reserve(Candidates.size());
  for (const PlacerCandidate &Node : Candidates)
    Result.push_back(Node.Host);
  return Result;
}

} // namespace

TEST_CASE("larger hosts come first, equal ones by hash") {
  const auto Chosen =
      choosePlacers({makeNode("small", 0.12, 1), makeNode("large-b", 0.5, 9),
                     makeNode("large-a", 0.5, 2)},
                    2);
  CHECK(hostsOf(Chosen) == std::vector<std::string>{"large-a", "large-b"});
}

// Guards against a placer that was restarted and knows no requests in flight,
// and against asking a node again that has just failed to answer.
TEST_CASE(
    "restarted and suspect nodes are chosen last, but are chosen if there "
    "are no others") {
  std::vector<PlacerCandidate> All = {
      makeNode("a", 0.5, 1), makeNode("b", 0.5, 2), makeNode("c", 0.12, 3)};
  All[0].KnowsFleetLoad = false;
  All[1].IsSuspect = true;
  CHECK(hostsOf(choosePlacers(All, 3)) ==
        std::vector<std::string>{"c", "a", "b"});
  All.pop_back();
  CHECK(hostsOf(choosePlacers(All, 3)) == std::vector<std::string>{"a", "b"});
}

// Guards against nodes that know the same others but ask different placers:
// each placer would then know only a part of the requests.
TEST_CASE("the choice does not depend on the order in which nodes are known") {
  CHECK(rc::check([] {
    const int Count = *rc::gen::inRange(1, 40);
    std::vector<PlacerCandidate> All;
    for (int Index = 0; Index < Count; ++Index) {
      PlacerCandidate Node =
          makeNode(std::to_string(Index), *rc::gen::element(0.12, 0.25, 0.5),
                   *rc::gen::arbitrary<std::uint64_t>());
      Node.Rank.Hash = Node.Rank.Hash * 64 + static_cast<unsigned>(Index);
      Node.KnowsFleetLoad = *rc::gen::arbitrary<bool>();
      All.push_back(Node);
    }
    const auto Chosen = hostsOf(choosePlacers(All, 3));
    std::reverse(All.begin(), All.end());
    RC_ASSERT(hostsOf(choosePlacers(All, 3)) == Chosen);
    RC_ASSERT(Chosen.size() == static_cast<std::size_t>(std::min(Count, 3)));
  }));
}

// Guards against a queue of late requests that uses up the CPU time of its
// node: 60 long prompts wait for a minute.
TEST_CASE("a queue of late requests retries a bounded number of times") {
  PlacementRetryPacer Pacer;
  const PlacementRetryPacerOptions Options;
  const TimePoint Start{std::chrono::hours(1)};
  std::vector<TimePoint> RetryTimes(60, Start);
  int Count = 0;
  for (TimePoint Now = Start; Now < Start + std::chrono::seconds(60);
       Now += milliseconds(1))
    for (TimePoint &Next : RetryTimes)
      if (Next <= Now) {
        ++Count;
        Next = Now + Pacer.nextDelay(Now);
        CHECK(Next - Now >= Options.MinDelay);
        CHECK(Next - Now <= Options.MaxDelay);
      }
  // Even with the longest delay each request retries.
  const double LeastPerSecond =
      60 / std::chrono::duration<double>(Options.MaxDelay).count();
  CHECK(Count <=
        60 * (std::max(Options.RetriesPerSecond, LeastPerSecond) + 1) + 60);
}
