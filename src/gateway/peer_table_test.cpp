#include "gateway/peer_table.h"

#include <doctest/doctest.h>

using namespace cassiashed;
using namespace cassiashed::gateway;
using std::chrono::milliseconds;

namespace {

const TimePoint Now{std::chrono::hours(1)};

/// A table of a fleet with `Large` hosts of half a core and `Small` ones.
PeerTable makeTable(int Large, int Small, balancing::NodeRank Own) {
  PeerTable Table("10.0.9.9", Own);
  for (int Index = 0; Index < Large + Small; ++Index) {
    Peer *Node = Table.findOrAdd("10.0.0." + std::to_string(Index + 1), 7000);
    Node->Name = "node-" + std::to_string(Index);
    Node->Rank = {Index < Large ? 0.5 : 0.12,
                  static_cast<std::uint64_t>(Index + 1)};
    Node->HasSentMessage = true;
    Node->KnowsFleetLoad = true;
    Node->LastMessageAt = Now;
  }
  return Table;
}

} // namespace

TEST_CASE("small fleets have no roles, large ones do") {
  CHECK_FALSE(makeTable(0, 8, {0.25, 0}).hasRoles());
  CHECK(makeTable(3, 60, {0.12, 0}).hasRoles());
}

TEST_CASE("the placers are the best-ranked nodes that send messages") {
  PeerTable Table = makeTable(3, 60, {0.12, 500});
  CHECK(Table.placers(3, true, Now) ==
        std::vector<std::string>{"10.0.0.1", "10.0.0.2", "10.0.0.3"});
  Table.find("10.0.0.1")->LastMessageAt = Now - milliseconds(1500);
  CHECK(Table.placers(2, true, Now) ==
        std::vector<std::string>{"10.0.0.2", "10.0.0.3"});
  Table.find("10.0.0.2")->SuspectUntil = Now + milliseconds(500);
  CHECK(Table.placers(1, true, Now) == std::vector<std::string>{"10.0.0.3"});
}

TEST_CASE("a node that gets no messages places its own requests") {
  const PeerTable Table = makeTable(3, 60, {0.12, 500});
  CHECK(Table.placers(3, true, Now + std::chrono::seconds(9)) ==
        std::vector<std::string>{"10.0.9.9"});
}

// Guards against decisions by the load of a part of the fleet while links are
// cut.
TEST_CASE("nodes that fell silent lately are missed, nodes long gone are not") {
  PeerTable Table = makeTable(3, 60, {0.12, 500});
  CHECK(Table.hearsNearlyAll(Now));
  const TimePoint Later = Now + std::chrono::seconds(30);
  int Heard = 0;
  for (auto &[Host, Node] : Table.all())
    if (++Heard <= 42)
      Node.LastMessageAt = Later;
  CHECK_FALSE(Table.hearsNearlyAll(Later));
  for (auto &[Host, Node] : Table.all())
    if (Node.LastMessageAt == Later)
      Node.LastMessageAt = Now + std::chrono::seconds(60);
  CHECK(Table.hearsNearlyAll(Now + std::chrono::seconds(60)));
  CHECK(makeTable(3, 60, {0.12, 500}).hearsNearlyAll(Now + milliseconds(4000)));
}

// A node that is cut off from all others must not use cold endpoints: their
// rate limit is shared by a fixed number of nodes.
TEST_CASE("the nodes with a share of cold endpoints do not depend on which "
          "nodes are live") {
  PeerTable Table = makeTable(3, 60, {0.12, 500});
  CHECK_FALSE(Table.isAmongBestRanked(6));
  for (auto &[Host, Node] : Table.all())
    Node.LastMessageAt = Now - std::chrono::hours(1);
  CHECK_FALSE(Table.isAmongBestRanked(6));
  CHECK(makeTable(3, 60, {0.5, 0}).isAmongBestRanked(6));
}

TEST_CASE("followers count while they send messages") {
  PeerTable Table = makeTable(3, 60, {0.12, 500});
  CHECK(Table.betterRankedFollowers(Now) == 0);
  Table.find("10.0.0.1")->Following = true;
  Table.find("10.0.0.2")->Following = true;
  CHECK(Table.betterRankedFollowers(Now) == 2);
  CHECK(Table.betterRankedFollowers(Now + std::chrono::seconds(2)) == 0);
}
