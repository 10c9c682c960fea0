#include "scheduling_fixture.h"

#include <doctest/doctest.h>
#include <map>
#include <vector>

using namespace cassiashed;
using namespace cassiashed::scheduling;
using namespace cassiashed::scheduling::fixture;
using namespace std::chrono_literals;

// Guards against grants that use the headroom, and against waiters that are not
// granted when memory becomes free.
TEST_CASE("a request that does not fit waits until memory is released") {
  auto Ledger = warmLedger({}, 10000);
  const OfferAnswer First = Ledger->offer(requestOf("a", 4000, 1000), Begin);
  REQUIRE(First.Result == OfferResult::Granted);
  CHECK(Ledger->offer(requestOf("b", 4000, 501), Begin).Result ==
        OfferResult::Queued);
  CHECK(Ledger->poll(Begin).Granted.empty());
  Ledger->release(First.Granted->Id, GrantOutcome::Completed, Begin + 1s);
  const LedgerEvents Events = Ledger->poll(Begin + 1s);
  REQUIRE(Events.Granted.size() == 1);
  CHECK(Events.Granted[0].RequestId == "b");
  CHECK(Ledger->stats().ReservedTokens == 4501);
}

// Guards against running an attempt twice because of duplicate or late offers.
TEST_CASE("repeated offers repeat the answer, late ones are refused") {
  auto Ledger = warmLedger({}, 10000);
  const OfferAnswer First = Ledger->offer(requestOf("a", 1000, 100), Begin);
  const OfferAnswer Again = Ledger->offer(requestOf("a", 1000, 100), Begin);
  REQUIRE(Again.Result == OfferResult::Granted);
  CHECK(Again.Granted->Id == First.Granted->Id);
  CHECK(Ledger->stats().Running == 1);
  Ledger->cancel("late", 0, Begin);
  const OfferAnswer Late = Ledger->offer(requestOf("late", 10, 10), Begin + 1s);
  CHECK(Late.Result == OfferResult::Refused);
  CHECK(Late.Reason == RefusalReason::AlreadyEnded);
}

// Guards against sending a restarted, cold endpoint as many requests as a warm
// one.
TEST_CASE("a new incarnation drops its grants and starts at the cold limit") {
  auto Ledger = warmLedger({}, 100000);
  for (const char *Id : {"a", "b", "c"})
    CHECK(Ledger->offer(requestOf(Id, 100, 10), Begin).Result ==
          OfferResult::Granted);
  Ledger->report(reportOf(2, EndpointState::Cold, 100000, Begin + 1s),
                 Begin + 1s);
  CHECK(Ledger->poll(Begin + 1s).Lost.size() == 3);
  for (const char *Id : {"d", "e"})
    CHECK(Ledger->offer(requestOf(Id, 100, 10), Begin + 1s).Result ==
          OfferResult::Granted);
  CHECK(Ledger->offer(requestOf("f", 100, 10), Begin + 1s).Result ==
        OfferResult::Queued);
}

// Guards against refusing other workspaces when one workspace fills the queue.
TEST_CASE("a full queue refuses the workspace with the highest demand") {
  LedgerOptions Options;
  Options.MaxWaiting = 4;
  auto Ledger = warmLedger(Options, 10000);
  REQUIRE(Ledger->offer(requestOf("big", 4000, 5400), Begin).Result ==
          OfferResult::Granted);
  for (const char *Id : {"a", "b", "c", "d"})
    CHECK(Ledger->offer(requestOf(Id, 1000, 100, "flood"), Begin).Result ==
          OfferResult::Queued);
  CHECK(Ledger->offer(requestOf("e", 1000, 100, "other"), Begin).Result ==
        OfferResult::Queued);
  const LedgerEvents Events = Ledger->poll(Begin);
  REQUIRE(Events.Refused.size() == 1);
  CHECK(Events.Refused[0].RequestId == "d");
  CHECK(Events.Refused[0].Reason == RefusalReason::OverShare);
}

// Guards against sending an endpoint that restarted cold as many requests as a
// warm one until its next report.
TEST_CASE("a lost connection stops grants until the next report") {
  auto Ledger = warmLedger({}, 100000);
  const OfferAnswer First = Ledger->offer(requestOf("a", 100, 10), Begin);
  Ledger->release(First.Granted->Id, GrantOutcome::EndpointFailed, Begin + 1s);
  CHECK(Ledger->offer(requestOf("b", 100, 10), Begin + 1s).Result ==
        OfferResult::Queued);
  Ledger->report(reportOf(1, EndpointState::Warm, 100000, Begin + 2s),
                 Begin + 2s);
  CHECK(Ledger->poll(Begin + 2s).Granted.size() == 1);
}

// Guards against memory that stays unused while a prompt waits for its other
// engines, and against starting a part while other requests use its memory.
TEST_CASE("a held part lends its memory to requests that end in time") {
  auto Ledger = warmLedger({}, 100000);
  GrantRequest Part = requestOf("part", 90000, 0);
  Part.HoldUntil = Begin + 60s;
  const OfferAnswer Held = Ledger->offer(Part, Begin);
  REQUIRE(Held.Result == OfferResult::Granted);
  Ledger->setExpectedStart(Held.Granted->Id, Begin + 20s, Begin);
  // 100 and 1,000 output tokens take 5.2 s and 52 s.
  const OfferAnswer ShortOutput =
      Ledger->offer(requestOf("brief", 4000, 100), Begin);
  CHECK(ShortOutput.Result == OfferResult::Granted);
  CHECK(Ledger->stats().ReservedTokens == 90000 + 4100);
  const OfferAnswer Borrower = Ledger->offer(requestOf("c", 4000, 100), Begin);
  CHECK(Borrower.Result == OfferResult::Granted);
  CHECK(Ledger->stats().ReservedTokens == 90000 + 4100);
  CHECK(Ledger->offer(requestOf("lengthy", 4000, 1000), Begin).Result ==
        OfferResult::Queued);
  CHECK(Ledger->start(Held.Granted->Id, Begin + 1s) == StartResult::Pending);
  CHECK(Ledger->poll(Begin + 1s).Started.empty());
  Ledger->release(Borrower.Granted->Id, GrantOutcome::Completed, Begin + 2s);
  CHECK(Ledger->poll(Begin + 2s).Started.size() == 1);
}

// Guards against engine memory that stays reserved, or counts as foreign, after
// a change of owner.
TEST_CASE("an adopted grant counts as reserved, not as held by others") {
  auto PreviousOwner = warmLedger({}, 10000);
  const GrantRequest Request = requestOf("a", 4000, 1000);
  const OfferAnswer Answer = PreviousOwner->offer(Request, Begin);
  auto NewOwner = makeEndpointLedger({});
  NewOwner->adopt(Request, *Answer.Granted, Begin);
  NewOwner->setShare(Share::Full, Begin);
  LoadReport Report = reportOf(1, EndpointState::Warm, 10000, Begin + 1s);
  Report.HeldTokens = 4200;
  Report.Requests = {{"a", "w", 4200}};
  NewOwner->report(Report, Begin + 1s);
  CHECK(NewOwner->stats().ReservedTokens == 5000);
  CHECK(NewOwner->stats().ForeignTokens == 0);
  NewOwner->release(Answer.Granted->Id, GrantOutcome::Completed, Begin + 2s);
  CHECK(NewOwner->stats().ReservedTokens == 0);
}

// Guards against serving workspaces in proportion to their number of requests
// instead of their weight.
TEST_CASE("under shortage workspaces are served in proportion to weight") {
  auto Ledger = warmLedger({}, 10000);
  std::vector<Grant> Running;
  std::map<char, int> Served;
  int Serial = 0;
  TimePoint Now = Begin;
  const auto Offer = [&](char Name, double Weight) {
    GrantRequest Request = requestOf(Name + std::to_string(Serial++), 2000, 300,
                                     std::string(1, Name));
    Request.Weight = Weight;
    if (const auto Answer = Ledger->offer(Request, Now); Answer.Granted)
      Running.push_back(*Answer.Granted);
  };
  for (int Round = 0; Round < 400; ++Round) {
    Now += 10ms;
    Offer('a', 1);
    Offer('a', 1);
    Offer('b', 3);
    Offer('b', 3);
    if (!Running.empty()) {
      Ledger->release(Running.front().Id, GrantOutcome::Completed, Now);
      Running.erase(Running.begin());
    }
    for (const Grant &Ready : Ledger->poll(Now).Granted) {
      ++Served[Ready.RequestId[0]];
      Running.push_back(Ready);
    }
  }
  REQUIRE(Served['a'] > 50);
  CHECK(Served['b'] / static_cast<double>(Served['a']) ==
        doctest::Approx(3).epsilon(0.1));
}
