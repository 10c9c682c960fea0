#include "cassiashed/routing/quarantine.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace cassiashed;
using namespace cassiashed::routing;
using namespace std::chrono_literals;

namespace {

using enum QuarantineVerdict;

const TimePoint Start{std::chrono::hours(1)};

Quarantine makeQuarantine(QuarantineOptions Options = {}) {
  Quarantine Result(Options);
  Result.setZoneSizes({{"a", 140}, {"b", 140}, {"c", 140}});
  return Result;
}

std::vector<std::string> makeContents(const char *Prefix, int Count) {
  std::vector<std::string> Result;
  Result.reserve(Count);
  for (int Index = 0; Index < Count; ++Index)
    Result.push_back(fmt::format("{}{}", Prefix, Index));
  return Result;
}

} // namespace

// Guards against a crashing content that reaches a third endpoint through
// another node, even if both endpoints had many requests in flight.
TEST_CASE("two crashes quarantine a content at every node that received the "
          "notices") {
  Quarantine First = makeQuarantine();
  Quarantine Second = makeQuarantine();
  Quarantine Third = makeQuarantine();
  const auto SendNotices = [](Quarantine &From, std::vector<Quarantine *> To,
                              TimePoint Now) {
    for (const QuarantineNotice &Notice : From.takeNotices(Now))
      for (Quarantine *Node : To) {
        CHECK(Node->merge(Notice, Now));
        CHECK_FALSE(Node->merge(Notice, Now + 30ms));
      }
  };
  auto InFlight = makeContents("x", 30);
  InFlight.emplace_back("bad");
  First.recordCrash({"e1", "a", 1, Start}, InFlight, Start);
  CHECK(First.judge("bad", Start) == RunIsolated);
  SendNotices(First, {&Second, &Third}, Start + 2ms);
  CHECK(Second.judge("bad", Start + 3ms) == RunIsolated);
  CHECK(Second.crashZones("bad") == std::vector<std::string>{"a"});
  auto Others = makeContents("y", 30);
  Others.emplace_back("bad");
  Second.recordCrash({"e2", "b", 1, Start + 1s}, Others, Start + 1s);
  SendNotices(Second, {&First, &Third}, Start + 1s + 1ms);
  for (Quarantine *Node : {&First, &Second, &Third}) {
    CHECK(Node->judge("bad", Start + 1s + 2ms) == Wait);
    CHECK(Node->judge("bad", Start + 3s + 1ms) == Refuse);
    CHECK(Node->judge("x1", Start + 4s) == RunIsolated);
    CHECK(Node->judge("other", Start + 4s) == Clear);
  }
  // A node that has seen no crash accepts the notice of the node that decided.
  Quarantine NewNode = makeQuarantine();
  SendNotices(Second, {&NewNode}, Start + 5s);
  CHECK(NewNode.judge("bad", Start + 5s) == Refuse);
}

// Guards against harmless requests that are refused for an hour after a power
// failure, even if some were retried in the same zone and failed a second time.
// Also guards against 400 requests that need isolated runs in the other zones.
TEST_CASE("a zone power failure quarantines nothing") {
  Quarantine Node = makeQuarantine();
  const auto Contents = makeContents("x", 400);
  TimePoint Now = Start;
  for (int Endpoint = 0; Endpoint < 40; ++Endpoint) {
    std::vector<std::string> InFlight(Contents.begin() + 10 * Endpoint,
                                      Contents.begin() + 10 * Endpoint + 10);
    // Three requests of the previous endpoint were retried here. That is few
    // enough for a quarantine if the burst is not recognized.
    if (Endpoint > 0)
      InFlight.insert(InFlight.end(), Contents.begin() + 10 * Endpoint - 10,
                      Contents.begin() + 10 * Endpoint - 7);
    Node.recordCrash({fmt::format("e{}", Endpoint), "a", 1, Now}, InFlight,
                     Now);
    for (const std::string &Content : Contents)
      CHECK(Node.judge(Content, Now) != Refuse);
    Now += 40ms;
  }
  CHECK(Node.takeNotices(Now).empty());
  for (const std::string &Content : Contents)
    CHECK(Node.judge(Content, Now + 10s) == Clear);
  CHECK(Node.quarantined(Now + 10s).empty());
}

// Guards against a quarantine of frequently sent contents that were in flight
// together at unrelated crashes, and of one that was in flight at two crashes
// of the same endpoint.
TEST_CASE("crashes shared by many contents cause no quarantine") {
  Quarantine Node = makeQuarantine();
  const auto Popular = makeContents("p", 6);
  Node.recordCrash({"e1", "a", 1, Start}, Popular, Start);
  Node.recordCrash({"e2", "b", 1, Start + 1min}, Popular, Start + 1min);
  Node.recordCrash({"e3", "a", 1, Start}, {"same"}, Start);
  Node.recordCrash({"e3", "a", 2, Start + 1min}, {"same"}, Start + 1min);
  CHECK(Node.judge("p0", Start + 2min) == RunIsolated);
  CHECK(Node.judge("same", Start + 2min) == RunIsolated);
  CHECK(Node.beginIsolatedRun("p0"));
  CHECK_FALSE(Node.beginIsolatedRun("p0"));
  Node.endIsolatedRun("p0", true);
  CHECK(Node.judge("p0", Start + 2min) == Clear);
  CHECK(Node.judge("p1", Start + 62min) == Clear);
}

// Guards against a caller that sends a crashing content all day: without the
// loop guard it crashes two endpoints after each expiry, that is 48 a day
// instead of 3.
TEST_CASE("a crashing content sent all day crashes three endpoints") {
  Quarantine Node = makeQuarantine();
  int Crashes = 0;
  for (TimePoint Now = Start; Now < Start + 24h; Now += 1min) {
    const QuarantineVerdict Verdict = Node.judge("bad", Now);
    if (Verdict == Clear || Verdict == RunIsolated) {
      ++Crashes;
      Node.recordCrash(
          {fmt::format("e{}", Crashes), Crashes % 2 ? "a" : "b", 1, Now},
          {"bad"}, Now);
    }
  }
  CHECK(Crashes == 3);
}

// Guards against a storm guard that counts distinct contents: it would disable
// the quarantine, and the fourth crashing content would reach a third endpoint.
TEST_CASE("several crashing contents are quarantined one after the other") {
  Quarantine Node = makeQuarantine();
  TimePoint Now = Start;
  for (const std::string &Content : makeContents("bad", 6)) {
    Node.recordCrash({Content + "-1", "a", 1, Now}, {Content}, Now);
    Now += 3s;
    Node.recordCrash({Content + "-2", "b", 1, Now}, {Content}, Now);
    Now += 3s;
    CHECK(Node.judge(Content, Now) == Refuse);
  }
}

// Guards against gossip that restores a quarantine after an operator lifted it,
// and against memory that grows with the number of contents.
TEST_CASE("a removal overrides older notices and memory is bounded") {
  QuarantineOptions Options;
  Options.MaxContents = 100;
  Quarantine Node = makeQuarantine(Options);
  Quarantine Peer = makeQuarantine(Options);
  for (Quarantine *Instance : {&Node, &Peer}) {
    Instance->recordCrash({"e1", "a", 1, Start}, {"bad"}, Start);
    Instance->recordCrash({"e2", "b", 1, Start + 1s}, {"bad"}, Start + 1s);
    REQUIRE(Instance->judge("bad", Start + 4s) == Refuse);
  }
  const auto Old = Node.takeNotices(Start + 5s);
  Peer.remove("bad", Start + 6s);
  for (const QuarantineNotice &Notice : Peer.takeNotices(Start + 6s))
    Node.merge(Notice, Start + 6s);
  for (QuarantineNotice Notice : Old) {
    Notice.Age += 2s;
    CHECK_FALSE(Node.merge(Notice, Start + 7s));
  }
  CHECK(Node.judge("bad", Start + 7s) == Clear);
  Node.recordCrash({"e3", "a", 1, Start + 8s}, {"keep"}, Start + 8s);
  Node.recordCrash({"e4", "b", 1, Start + 9s}, {"keep"}, Start + 9s);
  REQUIRE(Node.judge("keep", Start + 12s) == Refuse);
  for (int Index = 0; Index < 50; ++Index)
    Node.recordCrash(
        {"e5", "a", static_cast<std::uint64_t>(Index + 1), Start + 1min},
        makeContents(fmt::format("n{}-", Index).c_str(), 20), Start + 1min);
  CHECK(Node.size() <= 100);
  CHECK(Node.judge("keep", Start + 2min) == Refuse);
}
