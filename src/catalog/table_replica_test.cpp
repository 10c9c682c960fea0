#include "cassiashed/catalog/table_replica.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <optional>
#include <rapidcheck.h>

using namespace cassiashed::catalog;

namespace {

bool holds(const TableReplica &Mirror, const std::string &Key) {
  const std::vector<Row> Rows = Mirror.changesAfter(0);
  return std::any_of(Rows.begin(), Rows.end(), [&](const Row &Each) {
    return Each.Key == Key && !Each.Removed;
  });
}

} // namespace

// Guards against endpoints that stay in use after their rows were removed.
TEST_CASE("a removal passes through a node that read the table after it") {
  TableReplica Late; // read the whole table after "left" was removed at 12
  (void)Late.replaceAll({{"kept", "1", 3, false}, {"new", "1", 15, false}}, 20);
  TableReplica Behind;
  (void)Behind.merge({{"kept", "1", 3, false}, {"left", "1", 5, false}}, 10);
  CHECK_FALSE(Behind.recordPeerCoverage(Late.coverage()));
  (void)Behind.mergeFromPeer(Late.batchAfter(Behind.completeVersion()));
  CHECK_FALSE(holds(Behind, "left"));
  CHECK(Behind.recordPeerCoverage(Late.coverage()));
}

// Guards against endpoints that come back through a datagram of before.
TEST_CASE("a late message does not bring a removed row back") {
  TableReplica Mirror; // read the whole table after "left" was removed at 12
  (void)Mirror.replaceAll({{"kept", "1", 15, false}}, 20);
  (void)Mirror.mergeFromPeer({3, 5, {{"left", "1", 5, false}}});
  CHECK_FALSE(holds(Mirror, "left"));
}

namespace {

/// A store with its whole history, and nodes that copy one of its tables.
class Fleet {
public:
  explicit Fleet(std::size_t Nodes) : Nodes_(Nodes) {}

  void change() {
    ++Version_;
    // Other tables share the store's counter.
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
    Open_.push_back(Answer);
  }

  /// One node sends another what it would lack if it held `After`.
  void pass(std::size_t From, std::size_t To, std::uint64_t After) {
    Message Sent;
    Sent.To = To;
    Sent.Batch = Nodes_[From].batchAfter(After);
    Open_.push_back(Sent);
  }

  void tellCoverage(std::size_t From, std::size_t To) {
    Message Sent;
    Sent.To = To;
    Sent.Coverage = Nodes_[From].coverage();
    Open_.push_back(Sent);
  }

  void restart(std::size_t Node) {
    Nodes_[Node] = TableReplica();
    std::erase_if(Open_, [Node](const Message &Each) {
      return Each.FromStore && Each.To == Node;
    });
  }

  /// Delivers any open message, loses it, or delivers it and keeps a copy.
  void deliver() {
    if (Open_.empty())
      return;
    const auto At =
        Open_.begin() + *rc::gen::inRange<std::ptrdiff_t>(
                            0, static_cast<std::ptrdiff_t>(Open_.size()));
    const Message Each = *At;
    const int Fate = *rc::gen::inRange(0, 4);
    // The store's answers come once at most.
    if (Fate != 0 || Each.FromStore)
      Open_.erase(At);
    if (Fate == 1)
      return;
    TableReplica &Mirror = Nodes_[Each.To];
    if (Each.Coverage)
      (void)Mirror.recordPeerCoverage(*Each.Coverage);
    else if (!Each.FromStore)
      (void)Mirror.mergeFromPeer(Each.Batch);
    else if (Each.Batch.Whole)
      (void)Mirror.replaceAll(Each.Batch.Rows, Each.Batch.UpTo);
    else
      (void)Mirror.merge(Each.Batch.Rows, Each.Batch.UpTo);
  }

  void check() const {
    for (const TableReplica &Mirror : Nodes_) {
      const std::uint64_t UpTo = Mirror.completeVersion();
      RC_ASSERT(UpTo <= Version_);
      RC_ASSERT(Mirror.completeRow() <= UpTo);
      const std::map<std::string, Row> Truth = tableAt(UpTo);
      for (const auto &[Key, Entry] : Truth) {
        const std::optional<Row> Held = heldRow(Mirror, Key);
        // A newer change may have arrived early.
        if (Held && Held->Version > UpTo)
          continue;
        RC_ASSERT((Held && !Held->Removed) == !Entry.Removed);
        if (!Entry.Removed)
          RC_ASSERT(Held->Version == Entry.Version);
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
    for (const Row &Each : History_)
      if (Each.Version <= Version)
        Result[Each.Key] = Each;
    return Result;
  }

  static std::optional<Row> heldRow(const TableReplica &Mirror,
                                    const std::string &Key) {
    for (const Row &Each : Mirror.changesAfter(0))
      if (Each.Key == Key)
        return Each;
    return std::nullopt;
  }

  std::uint64_t Version_ = 1;
  std::vector<Row> History_;
  std::vector<TableReplica> Nodes_;
  std::vector<Message> Open_;
};

} // namespace

// Guards against a copy that counts as complete although it never saw a
// change, in any order of loss, doubling, delay, restarts and lost history.
TEST_CASE("a copy holds the table as it was at the version it claims") {
  CHECK(rc::check([] {
    const std::size_t Nodes = *rc::gen::inRange<std::size_t>(2, 5);
    Fleet Fleet(Nodes);
    const int Steps = *rc::gen::inRange(1, 200);
    for (int Step = 0; Step < Steps; ++Step) {
      const std::size_t From = *rc::gen::inRange<std::size_t>(0, Nodes);
      const std::size_t To = *rc::gen::inRange<std::size_t>(0, Nodes);
      switch (*rc::gen::weightedElement<int>(
          {{6, 0}, {3, 1}, {1, 2}, {3, 3}, {2, 4}, {3, 5}, {1, 6}, {12, 7}})) {
      case 0:
        Fleet.change();
        break;
      case 1:
        Fleet.readStore(From, false);
        break;
      case 2:
        Fleet.readStore(From, true);
        break;
      case 3:
        Fleet.pass(From, To, Fleet.completeVersion(To));
        break;
      case 4:
        Fleet.pass(From, To,
                   *rc::gen::inRange<std::uint64_t>(0, Fleet.version() + 1));
        break;
      case 5:
        Fleet.tellCoverage(From, To);
        break;
      case 6:
        Fleet.restart(From);
        break;
      default:
        Fleet.deliver();
      }
      Fleet.check();
    }
  }));
}
