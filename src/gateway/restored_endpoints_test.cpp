#include "gateway/restored_endpoints.h"

#include <doctest/doctest.h>

using namespace cassiashed;
using namespace cassiashed::gateway;
using catalog::EndpointState;

namespace {

catalog::Endpoint makeEndpoint(EndpointState State, std::int64_t StartedAt) {
  catalog::Endpoint Result;
  Result.Id = "e";
  Result.Host = "10.0.0.1";
  Result.Port = 80;
  Result.State = State;
  Result.StartedAtUnixMs = StartedAt;
  return Result;
}

catalog::EndpointRef makeKnown(EndpointState State, std::int64_t StartedAt) {
  auto Result = std::make_shared<catalog::KnownEndpoint>();
  Result->Entry = makeEndpoint(State, StartedAt);
  return Result;
}

const catalog::Row Listed{"e", "value", 4, false};
const TimePoint Start{std::chrono::hours(1)};

} // namespace

// Guards against requests to an endpoint that reported that it leaves, or to
// the address of an earlier incarnation.
TEST_CASE("an older row does not undo what an endpoint reported later") {
  RestoredEndpoints Restored;
  const catalog::Endpoint Ready = makeEndpoint(EndpointState::Ready, 10);
  const auto Hold = [&](const catalog::EndpointRef &Known) {
    return Restored.hold(Listed, Ready, Known, false, Start);
  };
  CHECK(Hold(makeKnown(EndpointState::Draining, 10)) == HeldReason::Draining);
  CHECK(Hold(makeKnown(EndpointState::Ready, 20)) == HeldReason::Replaced);
  CHECK(Hold(makeKnown(EndpointState::Ready, 10)) == HeldReason::None);
  CHECK(Hold(makeKnown(EndpointState::Draining, 5)) == HeldReason::None);
  CHECK(Hold(nullptr) == HeldReason::None);
  CHECK(Restored.takeDue(Start + std::chrono::minutes(5)).empty());
}

// Guards against an endpoint that left and is used again, and against a living
// one that is never used again.
TEST_CASE("the row of a removed endpoint is held for a bounded time") {
  RestoredEndpoints Restored;
  const catalog::Endpoint Removed = makeEndpoint(EndpointState::Ready, 10);
  const catalog::Endpoint Newer = makeEndpoint(EndpointState::Ready, 11);
  Restored.recordRemoval(Removed, Start);
  CHECK(Restored.hold(Listed, Newer, nullptr, false, Start) ==
        HeldReason::None);
  CHECK(Restored.hold(Listed, Removed, nullptr, false, Start) ==
        HeldReason::Removed);
  CHECK(Restored.takeDue(Start + std::chrono::seconds(9)).empty());
  CHECK(Restored.takeDue(Start + std::chrono::seconds(10)).size() == 1);
  CHECK(Restored.takeDue(Start + std::chrono::seconds(11)).empty());

  // A removal that is pending counts, too; a new row ends the hold.
  const catalog::EndpointRef Known = makeKnown(EndpointState::Ready, 10);
  CHECK(Restored.hold(Listed, Removed, Known, true, Start) ==
        HeldReason::Removed);
  Restored.recordRow(Listed, false, Start);
  CHECK(Restored.takeDue(Start + std::chrono::minutes(1)).empty());
}

// Guards against a removal that is forgotten when it is repeated, and against a
// held row that is used after the store came back without it.
TEST_CASE("several restores keep what is known of a removed endpoint") {
  RestoredEndpoints Restored;
  const catalog::Endpoint Removed = makeEndpoint(EndpointState::Ready, 10);
  const catalog::Row Tombstone{"e", "", 9, true};
  const auto Hold = [&](TimePoint Now) {
    return Restored.hold(Listed, Removed, nullptr, false, Now);
  };
  Restored.recordRemoval(Removed, Start);
  CHECK(Hold(Start) == HeldReason::Removed);
  Restored.recordRow(Tombstone, true, Start);
  CHECK(Restored.takeDue(Start + std::chrono::seconds(10)).empty());

  // The memory of 60 s begins anew with the repeated removal.
  const TimePoint Repeated = Start + std::chrono::seconds(50);
  Restored.recordRow(Tombstone, false, Repeated);
  CHECK(Restored.takeDue(Start + std::chrono::seconds(70)).empty());
  const TimePoint Again = Start + std::chrono::seconds(71);
  CHECK(Hold(Again) == HeldReason::Removed);
  Restored.beginEra(Again + std::chrono::seconds(8));
  CHECK(Restored.takeDue(Again + std::chrono::seconds(17)).empty());
  CHECK(Restored.takeDue(Again + std::chrono::seconds(18)).size() == 1);
}
