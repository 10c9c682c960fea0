#include "cassiashed/duties/scaling.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace cassiashed;
using namespace cassiashed::duties;

namespace {

const ScalingLimits Limits{2, 20, Duration(8000)};
const TimePoint Start{std::chrono::hours(1)};

/// Work that keeps `Replicas` replicas at the target use, in steps of 100 ms.
void addWork(ReplicaPlanner &Planner, double Replicas, Duration From,
             Duration To) {
  for (Duration Now = From; Now < To; Now += Duration(100))
    Planner.recordWork(Replicas * 0.8 * 100, Limits, Start + Now);
}

std::vector<ZoneReplicas> zones(int A, int B, bool HasB = true) {
  return {{"a", A, true}, {"b", B, HasB}};
}

} // namespace

// Guards against orders that a new or restarted holder gives before it knows
// the load.
TEST_CASE("nothing is ordered while the load is unknown") {
  ReplicaPlanner Planner;
  CHECK(Planner.dueOrders(zones(10, 10), Limits, Start).empty());
  addWork(Planner, 8, Duration(0), Duration(2000));
  CHECK(
      Planner.dueOrders(zones(10, 10), Limits, Start + Duration(2000)).empty());
}

// Guards against queues during a burst, and against taking replicas away
// between two bursts.
TEST_CASE("more replicas are ordered at once and fewer after a hold time") {
  ReplicaPlanner Planner;
  addWork(Planner, 8, Duration(0), Duration(4000));
  CHECK(
      Planner.dueOrders(zones(10, 10), Limits, Start + Duration(4000)).empty());
  // Engines that are saturated call for more within seconds, a lasting load for
  // all that it needs.
  addWork(Planner, 32, Duration(4000), Duration(8000));
  const auto First =
      Planner.dueOrders(zones(10, 10), Limits, Start + Duration(8000));
  REQUIRE(First.size() == 2);
  CHECK(First[0].Count >= 12);
  CHECK(First[0].Count <= 14);
  addWork(Planner, 32, Duration(8000), Duration(12000));
  const auto Up =
      Planner.dueOrders(zones(10, 10), Limits, Start + Duration(12000));
  REQUIRE(Up.size() == 2);
  CHECK(Up[0].Count >= 15);
  CHECK(Up[0].Count <= 17);
  for (const ReplicaOrder &Order : Up)
    Planner.recordOrder(Order, true, Start + Duration(12000));
  addWork(Planner, 8, Duration(12000), Duration(18000));
  const int Ordered = Up[0].Count;
  CHECK(Planner
            .dueOrders(zones(Ordered, Ordered), Limits, Start + Duration(18000))
            .empty());
  addWork(Planner, 8, Duration(18000), Duration(34000));
  const auto Down = Planner.dueOrders(zones(Ordered, Ordered), Limits,
                                      Start + Duration(34000));
  REQUIRE(Down.size() == 2);
  CHECK(Down[0].Count >= 4);
  CHECK(Down[0].Count <= 5);
}

// Guards against orders that are repeated every tick, or never.
TEST_CASE("an order is repeated when it was unclear or nothing follows") {
  ReplicaPlanner Planner;
  addWork(Planner, 30, Duration(0), Duration(40000));
  const auto Due =
      Planner.dueOrders(zones(4, 15), Limits, Start + Duration(12000));
  REQUIRE(Due.size() == 1);
  CHECK(Due[0].Zone == "a");
  Planner.recordOrder(Due[0], false, Start + Duration(12000));
  CHECK(
      Planner.dueOrders(zones(4, 15), Limits, Start + Duration(12500)).empty());
  REQUIRE(
      Planner.dueOrders(zones(4, 15), Limits, Start + Duration(13000)).size() ==
      1);
  Planner.recordOrder(Due[0], true, Start + Duration(13000));
  CHECK(
      Planner.dueOrders(zones(4, 15), Limits, Start + Duration(26000)).empty());
  const auto Again =
      Planner.dueOrders(zones(4, 15), Limits, Start + Duration(28000));
  REQUIRE(Again.size() == 1);
  CHECK(Again[0].Count == Due[0].Count);
}

// Guards against emptying a zone that is out of service for a while.
TEST_CASE("a zone out of service keeps its replicas") {
  ReplicaPlanner Planner;
  addWork(Planner, 12, Duration(0), Duration(20000));
  const auto Due =
      Planner.dueOrders(zones(6, 6, false), Limits, Start + Duration(20000));
  REQUIRE(Due.size() == 1);
  CHECK(Due[0].Zone == "a");
  CHECK(Due[0].Count >= 11);
}

// Guards against paying for the minimum in a zone that needs less than it has.
TEST_CASE("the minimum alone is no reason for an order") {
  ReplicaPlanner Planner;
  const ScalingLimits High{26, 60, Duration(8000)};
  addWork(Planner, 30, Duration(0), Duration(20000));
  CHECK(
      Planner.dueOrders(zones(20, 20), High, Start + Duration(20000)).empty());
  addWork(Planner, 44, Duration(20000), Duration(28000));
  const auto Due =
      Planner.dueOrders(zones(20, 20), High, Start + Duration(28000));
  REQUIRE(Due.size() == 2);
  CHECK(Due[0].Count == 26);
}

// Guards against orders of fewer replicas by a holder that saw part of the work
// only: it was frozen, cut off from other nodes, or no placer.
TEST_CASE("fewer replicas are not ordered within a hold time of a gap") {
  ReplicaPlanner Planner;
  addWork(Planner, 16, Duration(0), Duration(20000));
  addWork(Planner, 4, Duration(20000), Duration(60000));
  const auto Due = [&Planner](Duration Now) {
    return Planner.dueOrders(zones(8, 8), Limits, Start + Now).size();
  };
  CHECK(Due(Duration(45000)) == 2);
  Planner.recordGap(Start + Duration(45000));
  CHECK(Due(Duration(45000)) == 0);
  CHECK(Due(Duration(54900)) == 0);
  CHECK(Due(Duration(55000)) == 2);
}

// Guards against memory that grows at the nodes that never hold the lease.
TEST_CASE("work that no order depends on any more is forgotten") {
  ReplicaPlanner Planner;
  addWork(Planner, 8, Duration(0), Duration(600000));
  CHECK(Planner.keptBins() <= 38); // 10 s of hold and 8 s of rate
}

// Guards against orders outside the operator's limits.
TEST_CASE("orders stay within the limits of a zone") {
  CHECK(rc::check([] {
    ReplicaPlanner Planner;
    const double Load = *rc::gen::inRange(0, 200);
    addWork(Planner, Load, Duration(0), Duration(20000));
    for (const ReplicaOrder &Order : Planner.dueOrders(
             zones(*rc::gen::inRange(0, 40), *rc::gen::inRange(0, 40)), Limits,
             Start + Duration(20000))) {
      RC_ASSERT(Order.Count >= Limits.Minimum);
      RC_ASSERT(Order.Count <= Limits.Maximum);
    }
  }));
}
