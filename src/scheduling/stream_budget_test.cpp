#include "cassiashed/scheduling/stream_budget.h"

#include <doctest/doctest.h>
#include <map>
#include <rapidcheck.h>

using namespace cassiashed;
using namespace cassiashed::scheduling;
using namespace std::chrono_literals;

namespace {

const TimePoint Begin{1h};

/// Fills the buffer of a stream.
void fill(StreamBudget &Budget, StreamId Id, TimePoint Now) {
  while (const std::uint64_t Room = Budget.beginRead(Id, Now))
    Budget.endRead(Id, Room, Now);
}

} // namespace

// Guards against buffers above the limits of the workspace and the node, and
// against slow callers that use up the limit and block the streams of others.
TEST_CASE("streams stay within their limits and an empty one can always read") {
  CHECK(rc::check("stream limits", [] {
    StreamBudgetOptions Options;
    Options.WorkspaceBytes = 40000;
    Options.NodeBytes = 70000;
    StreamBudget Budget(Options);
    std::map<StreamId, std::uint64_t> Buffered;
    const auto Steps = *rc::gen::container<
        std::vector<std::pair<std::uint32_t, std::uint32_t>>>(rc::gen::resize(
        100, rc::gen::arbitrary<std::pair<std::uint32_t, std::uint32_t>>()));
    TimePoint Now = Begin;
    StreamId Next = 0;
    for (const auto &[Kind, Choice] : Steps) {
      Now += 10ms;
      auto Chosen = Buffered.begin();
      if (!Buffered.empty())
        std::advance(Chosen, Choice % Buffered.size());
      if (Kind % 8 == 0 || Buffered.empty()) {
        if (Budget.open(++Next, std::to_string(Choice % 3), Now))
          Buffered[Next] = 0;
      } else if (Kind % 8 == 1) {
        Budget.close(Chosen->first);
        Buffered.erase(Chosen);
      } else if (Kind % 8 == 2) {
        const std::uint64_t Bytes = Choice % (Chosen->second + 1);
        Budget.sent(Chosen->first, Bytes, Now);
        Chosen->second -= Bytes;
      } else {
        const std::uint64_t Room = Budget.beginRead(Chosen->first, Now);
        RC_ASSERT(Room > 0 || Chosen->second >= Options.ReadBytes);
        RC_ASSERT(Chosen->second + Room <= Options.StreamBytes);
        if (Room > 0)
          Budget.endRead(Chosen->first, Room, Now);
        Chosen->second += Room;
      }
      std::uint64_t Sum = 0;
      for (const auto &[Id, Bytes] : Buffered)
        Sum += Bytes;
      RC_ASSERT(Sum <= Options.NodeBytes);
      RC_ASSERT(Budget.stats().NodeBytes <= Options.NodeBytes);
    }
    for (const auto &[Id, Bytes] : Buffered)
      Budget.close(Id);
    RC_ASSERT(Budget.stats().NodeBytes == 0U);
  }));
}

// Guards against callers that keep engine memory in use by reading a few bytes
// now and then, and against cancelling streams without freeing enough memory.
TEST_CASE("streams that stay behind are cancelled when waiters need memory") {
  StreamBudget Budget({});
  for (const StreamId Id : {1, 2, 3}) {
    REQUIRE(Budget.open(Id, "w", Begin));
    Budget.setEngine(Id, "e", 1000);
  }
  fill(Budget, 1, Begin);
  fill(Budget, 2, Begin + 1s);
  Budget.sent(1, 100, Begin + 5s);
  CHECK(Budget.chooseToCancel("e", 500, Begin + 9s).empty());
  CHECK(Budget.chooseToCancel("e", 500, Begin + 12s) ==
        std::vector<StreamId>{1});
  CHECK(Budget.chooseToCancel("e", 1500, Begin + 12s) ==
        std::vector<StreamId>{1, 2});
  CHECK(Budget.chooseToCancel("e", 2500, Begin + 12s).empty());
  CHECK(Budget.chooseToCancel("other", 500, Begin + 12s).empty());
  Budget.sent(1, 16000, Begin + 13s);
  CHECK(Budget.chooseToCancel("e", 500, Begin + 13s) ==
        std::vector<StreamId>{2});
  CHECK(Budget.stalled(Begin + 30s).empty());
  CHECK(Budget.stalled(Begin + 31s) == std::vector<StreamId>{2});
}
