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

TEST_CASE("only idempotent calls and resumable streams are retryable") {
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

// Guards against requests to an incarnation that is gone, after a new one has
// taken its id or address.
TEST_CASE("a restarted endpoint is a new endpoint") {
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
  CHECK(Directory.findUsable("s").size() == 1);
  CHECK(Directory.remove("i-1"));
  CHECK(Directory.findUsable("s").empty());
}

// Guards against an older version of a row that replaces a newer one because it
// arrives later.
TEST_CASE("a replica keeps the newest rows in any order of arrival") {
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
    TableReplica Replica;
    std::vector<Row> Order = History;
    while (!Order.empty()) {
      const auto Index = static_cast<std::size_t>(
          *rc::gen::inRange<int>(0, static_cast<int>(Order.size())));
      const std::uint64_t Version = Order[Index].Version;
      const std::uint64_t Before = Replica.lastCoveredChange();
      (void)Replica.mergeFromPeer({Version - 1, Version, {Order[Index]}});
      // After a gap, a newer row does not make the replica complete.
      RC_ASSERT(Replica.lastCoveredChange() ==
                (Version - 1 <= Before ? std::max(Before, Version) : Before));
      Order.erase(Order.begin() + static_cast<long>(Index));
    }
    for (const Row &Known : Replica.changesAfter(0)) {
      RC_ASSERT(Known.Version == Newest[Known.Key].Version);
      RC_ASSERT(Known.Removed == Newest[Known.Key].Removed);
    }
    (void)Replica.merge({}, static_cast<std::uint64_t>(Count));
    RC_ASSERT(Replica.lastCoveredChange() == static_cast<std::uint64_t>(Count));
  }));
}

TEST_CASE("a read of the whole table removes missing rows, not newer ones") {
  TableReplica Replica;
  Replica.merge({{"old", "1", 1, false}, {"new", "2", 9, false}}, 5);
  const std::vector<Row> Applied =
      Replica.replaceAll({{"kept", "3", 4, false}}, 6);
  CHECK(Applied.size() == 2);
  CHECK(Replica.changesAfter(8).size() == 1);
  CHECK(Replica.completeVersion() == 6);
}

// Guards against a row that is never requested: after a lost datagram, the next
// one must not make the replica complete.
TEST_CASE("a replica is complete only up to the first missing change") {
  TableReplica Replica;
  (void)Replica.merge({{"a", "1", 3, false}}, 10);
  CHECK(Replica.lastCoveredChange() == 3);
  CHECK(Replica.mergeFromPeer({12, 14, {{"c", "1", 14, false}}}).size() == 1);
  CHECK(Replica.lastCoveredChange() == 3);
  (void)Replica.mergeFromPeer(
      {3, 14, {{"b", "1", 12, false}, {"c", "1", 14, false}}});
  CHECK(Replica.lastCoveredChange() == 14);
  (void)Replica.mergeFromPeer({14, 15, {{"a", "", 15, true}}});
  CHECK(Replica.lastCoveredChange() == 15);
}
