#include "cassiashed/catalog/endpoint_directory.h"
#include "cassiashed/catalog/service_config.h"
#include "cassiashed/catalog/table_replica.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace cassiashed;
using namespace cassiashed::catalog;

TEST_CASE("the route with the longest prefix of the host is chosen") {
  ServiceConfig Config;
  for (const char *Prefix : {"/a/", "/a/b/", "/"}) {
    Route Entry;
    Entry.Host = "one.example";
    Entry.PathPrefix = Prefix;
    Config.Routes.push_back(Entry);
  }
  Config.indexRoutes();
  REQUIRE(Config.findRoute("one.example", "/a/b/c"));
  CHECK(Config.findRoute("one.example", "/a/b/c")->PathPrefix == "/a/b/");
  CHECK(Config.findRoute("one.example", "/a/c")->PathPrefix == "/a/");
  CHECK(Config.findRoute("one.example", "/a")->PathPrefix == "/");
  CHECK_FALSE(Config.findRoute("two.example", "/a/"));
}

TEST_CASE("only idempotent calls and resumable streams may repeat") {
  Route Entry;
  Entry.Kind = CallKind::NonIdempotent;
  CHECK_FALSE(Entry.isRetryable());
  Entry.Kind = CallKind::Stream;
  CHECK_FALSE(Entry.isRetryable());
  Entry.Resumable = true;
  CHECK(Entry.isRetryable());
  Entry.Kind = CallKind::Idempotent;
  CHECK(Entry.isRetryable());
}

// Guards against an address or id that is used again by another incarnation.
TEST_CASE("an endpoint that started again is another endpoint") {
  EndpointDirectory Directory;
  const TimePoint Now{std::chrono::hours(1)};
  Endpoint Entry;
  Entry.Id = "i-1";
  Entry.Service = "s";
  Entry.StartedAtUnixMs = 100;
  CHECK(Directory.put(Entry, Now) == EndpointDirectory::Change::Appeared);
  const EndpointRef First = Directory.find("i-1");
  CHECK(Directory.put(Entry, Now) == EndpointDirectory::Change::Updated);
  Entry.StartedAtUnixMs = 200;
  CHECK(Directory.put(Entry, Now) == EndpointDirectory::Change::Restarted);
  CHECK_FALSE(Directory.isUsable(*First));
  CHECK(Directory.find("i-1")->Number != First->Number);
  CHECK(Directory.usable("s").size() == 1);
  CHECK(Directory.remove("i-1"));
  CHECK(Directory.usable("s").empty());
}

// Guards against an older row that arrives after a newer one, from the store
// or from another node.
TEST_CASE("rows in any order and from any source give the newest") {
  CHECK(rc::check([] {
    std::vector<Row> History;
    const int Count = *rc::gen::inRange(1, 40);
    std::map<std::string, Row> Newest;
    for (int Version = 1; Version <= Count; ++Version) {
      Row Entry;
      Entry.Key = "k" + std::to_string(*rc::gen::inRange(0, 5));
      Entry.Value = std::to_string(Version);
      Entry.Version = static_cast<std::uint64_t>(Version);
      Entry.Removed = *rc::gen::inRange(0, 4) == 0;
      Newest[Entry.Key] = Entry;
      History.push_back(Entry);
    }
    TableReplica Mirror;
    std::vector<Row> Order = History;
    while (!Order.empty()) {
      const auto Index = static_cast<std::size_t>(
          *rc::gen::inRange<int>(0, static_cast<int>(Order.size())));
      const std::uint64_t Version = Order[Index].Version;
      const std::uint64_t Before = Mirror.completeRow();
      (void)Mirror.mergeFromPeer({Version - 1, Version, {Order[Index]}});
      // A gap keeps the copy incomplete, however new the row is.
      RC_ASSERT(Mirror.completeRow() ==
                (Version - 1 <= Before ? std::max(Before, Version) : Before));
      Order.erase(Order.begin() + static_cast<long>(Index));
    }
    for (const Row &Each : Mirror.changesAfter(0)) {
      RC_ASSERT(Each.Version == Newest[Each.Key].Version);
      RC_ASSERT(Each.Removed == Newest[Each.Key].Removed);
    }
    (void)Mirror.merge({}, static_cast<std::uint64_t>(Count));
    RC_ASSERT(Mirror.completeRow() == static_cast<std::uint64_t>(Count));
  }));
}

TEST_CASE("a whole read removes rows that are gone, not newer ones") {
  TableReplica Mirror;
  Mirror.merge({{"old", "1", 1, false}, {"new", "2", 9, false}}, 5);
  const std::vector<Row> News = Mirror.replaceAll({{"kept", "3", 4, false}}, 6);
  CHECK(News.size() == 2);
  CHECK(Mirror.changesAfter(8).size() == 1);
  CHECK(Mirror.completeVersion() == 6);
}

// Guards against a lost datagram: a later one must not hide that a row is
// missing, or it is never asked for.
TEST_CASE("a copy is complete only up to the first missing change") {
  TableReplica Mirror;
  (void)Mirror.merge({{"a", "1", 3, false}}, 10);
  CHECK(Mirror.completeRow() == 3);
  CHECK(Mirror.mergeFromPeer({12, 14, {{"c", "1", 14, false}}}).size() == 1);
  CHECK(Mirror.completeRow() == 3);
  (void)Mirror.mergeFromPeer(
      {3, 14, {{"b", "1", 12, false}, {"c", "1", 14, false}}});
  CHECK(Mirror.completeRow() == 14);
  (void)Mirror.mergeFromPeer({14, 15, {{"a", "", 15, true}}});
  CHECK(Mirror.completeRow() == 15);
}
