#include "cassiashed/routing/prefix_index.h"

#include <doctest/doctest.h>

using namespace cassiashed;
using namespace cassiashed::routing;
using namespace std::chrono_literals;

namespace {

using enum CacheEventKind;

const TimePoint Start{std::chrono::hours(1)};

bool isConfirmed(const PrefixIndex &Index, std::uint64_t Prefix,
                 TimePoint Now = Start) {
  const auto Holders = Index.find(Prefix, Now);
  return !Holders.empty() && Holders[0].Confirmed;
}

} // namespace

// Guards against prefixes reported as confirmed although their eviction was in
// a missed or late event, or an endpoint restart emptied the cache.
TEST_CASE("nothing stays confirmed after a gap") {
  PrefixIndex Index;
  Index.recordEvent("e", 1, {1, Stored, 10, 500}, Start);
  CHECK(isConfirmed(Index, 10));
  Index.recordEvent("e", 1, {3, Stored, 30, 500}, Start);
  CHECK(Index.find(10, Start).size() == 1);
  CHECK_FALSE(isConfirmed(Index, 10));
  CHECK(isConfirmed(Index, 30));
  // The missing event arrives late: the prefix may have been evicted since.
  Index.recordEvent("e", 1, {2, Stored, 20, 500}, Start);
  CHECK_FALSE(isConfirmed(Index, 20));
  CHECK_FALSE(isConfirmed(Index, 10));
  Index.recordEvent("e", 1, {4, Evicted, 30}, Start);
  CHECK(Index.find(30, Start).empty());
  // A late eviction must not remove a prefix that was stored after it.
  Index.recordEvent("e", 1, {6, Stored, 60, 500}, Start);
  Index.recordEvent("e", 1, {5, Evicted, 60}, Start);
  CHECK(isConfirmed(Index, 60));
  CHECK_FALSE(isConfirmed(Index, 60, Start + 6s));
  Index.recordEmptyPoll("e", 1, 6, Start + 6s);
  CHECK(isConfirmed(Index, 60, Start + 6s));
  Index.recordEmptyPoll("e", 1, 8, Start + 7s);
  CHECK_FALSE(isConfirmed(Index, 60, Start + 7s));
  Index.recordEvent("e", 2, {1, Stored, 70, 500}, Start);
  CHECK(Index.find(60, Start).empty());
  Index.recordEvent("e", 1, {9, Stored, 90, 500}, Start);
  CHECK(Index.find(90, Start).empty());
  Index.recordEvent("e", 2, {2, Cleared}, Start);
  CHECK(Index.find(70, Start).empty());
}

// Guards against memory that grows with the number of prefixes or with repeated
// storing of the same prefix.
TEST_CASE("the prefix index is bounded and keeps the newest prefixes") {
  PrefixIndexOptions Options;
  Options.MaxPrefixes = 100;
  PrefixIndex Index(Options);
  for (std::uint64_t Event = 1; Event <= 10'000; ++Event) {
    Index.recordEvent("e", 1, {Event, Stored, Event % 250 + 1, 500}, Start);
    CHECK(Index.size() <= 100);
  }
  CHECK(Index.find(10'000 % 250 + 1, Start).size() == 1);
  Index.erase("e");
  CHECK(Index.find(10'000 % 250 + 1, Start).empty());
}

// Guards against counting cached blocks after a missing one: an engine can
// reuse only consecutive blocks from the start of the prompt.
TEST_CASE("only consecutive leading blocks count") {
  const auto Blocks = hashPrefixBlocks(std::string(4 * 4'096 + 100, 'x'));
  REQUIRE(Blocks.size() == 4);
  PrefixIndex Index;
  Index.recordEvent("a", 1, {1, Stored, Blocks[0]}, Start);
  Index.recordEvent("a", 1, {2, Stored, Blocks[1]}, Start);
  Index.recordEvent("a", 1, {3, Stored, Blocks[3]}, Start);
  Index.recordEvent("b", 1, {1, Stored, Blocks[1]}, Start);
  Index.recordEvent("c", 1, {1, Stored, Blocks[0]}, Start);
  Index.recordEvent("c", 1, {3, Stored, Blocks[1]}, Start);
  const auto Found = Index.findLongest(Blocks, Start);
  REQUIRE(Found.size() == 2);
  CHECK(Found[0].Endpoint == "a");
  CHECK(Found[0].Tokens == 2'048);
  CHECK(Found[0].Confirmed);
  CHECK(Found[1].Tokens == 2'048);
  CHECK_FALSE(Found[1].Confirmed);
}
