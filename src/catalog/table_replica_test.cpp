#include "cassiashed/catalog/table_replica.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <optional>
#include <rapidcheck.h>

using namespace cassiashed::catalog;

namespace {

bool holds(const TableReplica &Replica, const std::string &Key) {
  const std::vector<Row> Rows = Replica.changesAfter(0);
  return std::any_of(Rows.begin(), Rows.end(), [&](const Row &Known) {
    return Known.Key == Key && !Known.Removed;
  });
}

} // namespace

// Guards against endpoints that stay in use although their rows were removed:
// the sender holds no tombstone, since it read the table after the removal.
TEST_CASE("a node that never saw a removal passes it on") {
  TableReplica Sender; // reads the whole table; "left" was removed at 12
  (void)Sender.replaceAll({{"kept", "1", 3, false}, {"new", "1", 15, false}},
                          20);
  TableReplica Receiver;
  (void)Receiver.merge({{"kept", "1", 3, false}, {"left", "1", 5, false}}, 10);
  CHECK_FALSE(Receiver.recordPeerCoverage(Sender.coverage()));
  (void)Receiver.mergeFromPeer(Sender.batchAfter(Receiver.completeVersion()));
  CHECK_FALSE(holds(Receiver, "left"));
  CHECK(Receiver.recordPeerCoverage(Sender.coverage()));
}

// Guards against removed endpoints that a delayed datagram adds again.
TEST_CASE("a late message does not restore a removed row") {
  TableReplica Replica; // reads the whole table; "left" was removed at 12
  (void)Replica.replaceAll({{"kept", "1", 15, false}}, 20);
  (void)Replica.mergeFromPeer({3, 5, {{"left", "1", 5, false}}});
  CHECK_FALSE(holds(Replica, "left"));
}

namespace {

/// Simulates a store and nodes that replicate one of its tables by messages.
/// Keeps the history of the table to check the replicas against it.
class SimulatedFleet {
public:
  explicit SimulatedFleet(std::size_t Nodes) : Nodes_(Nodes) {}

  /// Commits a transaction that may change a row of the table.
  void commitChange() {
    ++Version_;
    // The store version also counts transactions on other tables.
    if (*rc::gen::inRange(0, 3) == 0)
      return;
    Row Entry;
    Entry.Key = "k" + std::to_string(*rc::gen::inRange(0, 4));
    Entry.Version = Version_;
    Entry.Removed = *rc::gen::inRange(0, 2) == 0;
    if (!Entry.Removed)
      Entry.Value = std::to_string(Version_);
    History_.push_back(Entry);
  }

  void readStore(std::size_t Node, bool Whole) {
    Message Answer;
    Answer.To = Node;
    Answer.FromStore = true;
    Answer.Batch.After = Nodes_[Node].completeVersion();
    Answer.Batch.UpTo = Version_;
    Answer.Batch.Whole = Whole || Answer.Batch.After == 0;
    for (const auto &[Key, Entry] : tableAt(Version_))
      if (Answer.Batch.Whole ? !Entry.Removed
                             : Entry.Version > Answer.Batch.After)
        Answer.Batch.Rows.push_back(Entry);
    InFlight_.push_back(Answer);
  }

  /// Sends the changes after version `After` to another node.
  void sendChanges(std::size_t From, std::size_t To, std::uint64_t After) {
    Message Sent;
    Sent.To = To;
    Sent.Batch = Nodes_[From].batchAfter(After);
    InFlight_.push_back(Sent);
  }

  void sendCoverage(std::size_t From, std::size_t To) {
    Message Sent;
    Sent.To = To;
    Sent.Coverage = Nodes_[From].coverage();
    InFlight_.push_back(Sent);
  }

  void restart(std::size_t Node) {
    Nodes_[Node] = TableReplica();
    std::erase_if(InFlight_, [Node](const Message &Sent) {
      return Sent.FromStore && Sent.To == Node;
    });
  }

  /// Picks a random message in flight and delivers it, loses it, or delivers it
  /// and keeps it in flight.
  void deliver() {
    if (InFlight_.empty())
      return;
    const auto At = InFlight_.begin() +
                    *rc::gen::inRange<std::ptrdiff_t>(
                        0, static_cast<std::ptrdiff_t>(InFlight_.size()));
    const Message Picked = *At;
    const int Fate = *rc::gen::inRange(0, 4);
    // Responses of the store are never duplicated.
    if (Fate != 0 || Picked.FromStore)
      InFlight_.erase(At);
    if (Fate == 1)
      return;
    TableReplica &Replica = Nodes_[Picked.To];
    if (Picked.Coverage)
      (void)Replica.recordPeerCoverage(*Picked.Coverage);
    else if (!Picked.FromStore)
      (void)Replica.mergeFromPeer(Picked.Batch);
    else if (Picked.Batch.Whole)
      (void)Replica.replaceAll(Picked.Batch.Rows, Picked.Batch.UpTo);
    else
      (void)Replica.merge(Picked.Batch.Rows, Picked.Batch.UpTo);
  }

  void checkReplicas() const {
    for (const TableReplica &Replica : Nodes_) {
      const std::uint64_t UpTo = Replica.completeVersion();
      RC_ASSERT(UpTo <= Version_);
      RC_ASSERT(Replica.lastCoveredChange() <= UpTo);
      const std::map<std::string, Row> Expected = tableAt(UpTo);
      for (const auto &[Key, Entry] : Expected) {
        const std::optional<Row> Known = findRow(Replica, Key);
        // A newer change may have arrived early.
        if (Known && Known->Version > UpTo)
          continue;
        RC_ASSERT((Known && !Known->Removed) == !Entry.Removed);
        if (!Entry.Removed)
          RC_ASSERT(Known->Version == Entry.Version);
      }
    }
  }

  std::uint64_t version() const { return Version_; }
  std::uint64_t completeVersion(std::size_t Node) const {
    return Nodes_[Node].completeVersion();
  }

private:
  struct Message {
    std::size_t To = 0;
    bool FromStore = false;
    RowBatch Batch;
    std::optional<RowCoverage> Coverage;
  };

  std::map<std::string, Row> tableAt(std::uint64_t Version) const {
    std::map<std::string, Row> Result;
    for (const Row &Change : History_)
      if (Change.Version <= Version)
        Result[Change.Key] = Change;
    return Result;
  }

  static std::optional<Row> findRow(const TableReplica &Replica,
                                    const std::string &Key) {
    for (const Row &Known : Replica.changesAfter(0))
      if (Known.Key == Key)
        return Known;
    return std::nullopt;
  }

  std::uint64_t Version_ = 1;
  std::vector<Row> History_;
  std::vector<TableReplica> Nodes_;
  std::vector<Message> InFlight_;
};

} // namespace

// Guards against a replica that counts as complete although it lacks a change,
// whatever messages are lost, duplicated, delayed or reordered, nodes
// restarted, and tables read as a whole because the store dropped old changes.
TEST_CASE("a replica matches the table at its complete version") {
  CHECK(rc::check([] {
    const std::size_t Nodes = *rc::gen::inRange<std::size_t>(2, 5);
    SimulatedFleet Fleet(Nodes);
    const int Steps = *rc::gen::inRange(1, 200);
    for (int Step = 0; Step < Steps; ++Step) {
      const std::size_t From = *rc::gen::inRange<std::size_t>(0, Nodes);
      const std::size_t To = *rc::gen::inRange<std::size_t>(0, Nodes);
      switch (*rc::gen::weightedElement<int>(
          {{6, 0}, {3, 1}, {1, 2}, {3, 3}, {2, 4}, {3, 5}, {1, 6}, {12, 7}})) {
      case 0:
        Fleet.commitChange();
        break;
      case 1:
        Fleet.readStore(From, false);
        break;
      case 2:
        Fleet.readStore(From, true);
        break;
      case 3:
        Fleet.sendChanges(From, To, Fleet.completeVersion(To));
        break;
      case 4:
        Fleet.sendChanges(
            From, To, *rc::gen::inRange<std::uint64_t>(0, Fleet.version() + 1));
        break;
      case 5:
        Fleet.sendCoverage(From, To);
        break;
      case 6:
        Fleet.restart(From);
        break;
      default:
        Fleet.deliver();
      }
      Fleet.checkReplicas();
    }
  }));
}
