#include "cassiashed/catalog/table_copy.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace cassiashed;
using namespace cassiashed::catalog;

namespace {

using Content = std::map<std::string, std::string>;

/// A store that keeps one table and comes back from older copies of itself,
/// and nodes that replicate the table. Each change has a value of its own, so
/// that a row of an earlier era is recognized whatever its version is.
class RestoringFleet {
public:
  explicit RestoringFleet(std::size_t Nodes) : Nodes_(Nodes) {}

  void commitChange() {
    ++Store_.Version;
    if (*rc::gen::inRange(0, 3) == 0)
      return; // a transaction on another table
    Row Entry{"k" + std::to_string(*rc::gen::inRange(0, 4)), "", Store_.Version,
              *rc::gen::inRange(0, 3) == 0};
    if (!Entry.Removed)
      Entry.Value = std::to_string(++Writes_);
    Store_.Rows[Entry.Key] = Entry;
    LastChangeAt_ = Now_;
  }
  void keepCopy() { Copy_ = Store_; }
  void restore() {
    const std::uint64_t Era = Store_.Era + 1;
    Store_ = Copy_;
    Store_.Era = Era;
    // The clock of the machine that has the copy. A small difference can look
    // like a slow answer.
    ClockOffset_ = Duration(*rc::gen::inRange(0, 600));
    LastChangeAt_ = Now_;
  }
  void passTime() { Now_ += Duration(*rc::gen::inRange(1, 30)); }

  /// The answer is made when the call is delivered; it can arrive later.
  void askStore(std::size_t Node, bool Whole) {
    const TableReplica &Replica = Nodes_[Node].Copy.replica();
    Message Call;
    Call.To = Node;
    Call.Source = Message::From::Store;
    Call.SentAt = Now_;
    Call.Batch.After = Replica.completeVersion();
    Call.Batch.Whole =
        Whole || Nodes_[Node].Copy.needsWholeRead() || Call.Batch.After == 0;
    InFlight_.push_back(Call);
  }
  void sendRows(std::size_t From, std::size_t To) {
    const TableReplica &Wanted = Nodes_[To].Copy.replica();
    Message Sent;
    Sent.To = To;
    Sent.Batch = Nodes_[From].Copy.replica().batchAfter(
        Wanted.completeVersion(), Wanted.era());
    InFlight_.push_back(Sent);
  }
  void sendCoverage(std::size_t From, std::size_t To) {
    const TableCopy &Sender = Nodes_[From].Copy;
    if (!Sender.lastStoreTime())
      return;
    Message Sent;
    Sent.To = To;
    Sent.Source = Message::From::Coverage;
    Sent.Coverage = Sender.replica().coverage();
    Sent.StoreTime = *Sender.lastStoreTime();
    InFlight_.push_back(Sent);
  }

  /// Answers a call, or delivers, loses or repeats a message.
  void deliver() {
    if (InFlight_.empty())
      return;
    const auto At = InFlight_.begin() +
                    *rc::gen::inRange<std::ptrdiff_t>(
                        0, static_cast<std::ptrdiff_t>(InFlight_.size()));
    if (At->Source == Message::From::Store && !At->Answered) {
      answer(*At);
      return;
    }
    const Message Picked = *At;
    const int Fate = *rc::gen::inRange(0, 4);
    if (Fate != 0 || Picked.Source == Message::From::Store)
      InFlight_.erase(At);
    if (Fate != 1)
      take(Picked);
  }

  void checkNodes() {
    for (Node &Each : Nodes_) {
      const TableReplica &Replica = Each.Copy.replica();
      RC_ASSERT(Replica.era() <= Store_.Era);
      RC_ASSERT(StoreVersion({Replica.era(), 0}) >=
                StoreVersion({Each.EraBefore, 0}));
      Each.EraBefore = Replica.era();
      // Fresh at a time after the last change or restore: equal to the store.
      const std::optional<Duration> Age = Each.Freshness.age(Now_);
      if (Age && Now_ - *Age > LastChangeAt_)
        RC_ASSERT(contentOf(Each) == contentOf(Store_.Rows));
      // Complete up to the store's version of its era: equal to the store.
      if (Replica.era() == Store_.Era &&
          Replica.completeVersion() >= Store_.Version)
        RC_ASSERT(contentOf(Each) == contentOf(Store_.Rows));
    }
  }

  /// A node asks the store and is answered at once.
  void readNow(std::size_t Node) {
    passTime();
    // An unknown version gets 410: then the whole table is read.
    askStore(Node,
             Nodes_[Node].Copy.replica().completeVersion() > Store_.Version);
    passTime();
    Message Answered = InFlight_.back();
    InFlight_.pop_back();
    answer(Answered);
    take(Answered);
  }

  /// Each node reads twice: an answer of a later era calls for a whole read.
  void settle() {
    for (std::size_t Node = 0; Node < Nodes_.size(); ++Node) {
      readNow(Node);
      readNow(Node);
    }
    for (const Node &Each : Nodes_) {
      RC_ASSERT(Each.Copy.replica().era() == Store_.Era);
      RC_ASSERT_FALSE(Each.Copy.needsWholeRead());
      RC_ASSERT(contentOf(Each) == contentOf(Store_.Rows));
    }
  }

private:
  struct Table {
    std::uint64_t Era = 0;
    std::uint64_t Version = 1;
    std::map<std::string, Row> Rows;
  };
  struct Node {
    TableFreshness Freshness;
    TableCopy Copy{Freshness};
    std::uint64_t EraBefore = 0;
  };
  struct Message {
    enum class From { Node, Store, Coverage };
    std::size_t To = 0;
    From Source = From::Node;
    bool Answered = false;
    BootTime SentAt;
    Duration StoreTime{0};
    RowBatch Batch;
    RowCoverage Coverage;
  };

  Duration storeTime() const {
    return std::chrono::duration_cast<Duration>(Now_.time_since_epoch()) +
           ClockOffset_;
  }
  void answer(Message &Call) const {
    Call.Answered = true;
    Call.StoreTime = storeTime();
    Call.Batch.UpTo = Store_.Version;
    Call.Batch.Era = Store_.Era;
    for (const auto &[Key, Entry] : Store_.Rows)
      if (Call.Batch.Whole ? !Entry.Removed : Entry.Version > Call.Batch.After)
        Call.Batch.Rows.push_back(Entry);
  }
  void take(const Message &Sent) {
    TableCopy &Copy = Nodes_[Sent.To].Copy;
    if (Sent.Source == Message::From::Coverage)
      (void)Copy.recordPeerCoverage(Sent.Coverage, Sent.StoreTime, Now_);
    else if (Sent.Source == Message::From::Node)
      (void)Copy.mergeFromPeer(Sent.Batch);
    else
      (void)Copy.mergeFromStore(Sent.Batch, Sent.SentAt, Now_, Sent.StoreTime);
  }

  static Content contentOf(const std::map<std::string, Row> &Rows) {
    Content Result;
    for (const auto &[Key, Entry] : Rows)
      if (!Entry.Removed)
        Result[Key] = Entry.Value;
    return Result;
  }
  static Content contentOf(const Node &Each) {
    std::map<std::string, Row> Rows;
    for (const Row &Known : Each.Copy.replica().changesAfter(0))
      Rows[Known.Key] = Known;
    return contentOf(Rows);
  }

  Table Store_;
  Table Copy_;
  std::uint64_t Writes_ = 0;
  BootTime Now_{Duration(1000000)};
  BootTime LastChangeAt_ = Now_;
  Duration ClockOffset_{0};
  std::vector<Node> Nodes_;
  std::vector<Message> InFlight_;
};

} // namespace

// Guards against rows of an earlier era that win because their versions are
// higher, and against a replica that counts as complete or fresh without a
// proof of the store's era: with restores, lost, late and repeated messages in
// any order.
TEST_CASE("after restores of the store every replica equals it") {
  const auto Check = [] {
    const std::size_t Nodes = *rc::gen::inRange<std::size_t>(2, 5);
    RestoringFleet Fleet(Nodes);
    const int Steps = *rc::gen::inRange(1, 200);
    for (int Step = 0; Step < Steps; ++Step) {
      const std::size_t From = *rc::gen::inRange<std::size_t>(0, Nodes);
      const std::size_t To = *rc::gen::inRange<std::size_t>(0, Nodes);
      Fleet.passTime();
      switch (*rc::gen::weightedElement<int>({{9, 0},
                                              {3, 1},
                                              {2, 2},
                                              {3, 3},
                                              {2, 4},
                                              {3, 5},
                                              {5, 6},
                                              {4, 7},
                                              {14, 8}})) {
      case 0:
        Fleet.commitChange();
        break;
      case 1:
        Fleet.keepCopy();
        break;
      case 2:
        Fleet.restore();
        break;
      case 3:
        Fleet.askStore(From, false);
        break;
      case 4:
        Fleet.askStore(From, true);
        break;
      case 5:
        Fleet.sendRows(From, To);
        break;
      case 6:
        Fleet.sendCoverage(From, To);
        break;
      case 7:
        Fleet.readNow(From);
        break;
      default:
        Fleet.deliver();
      }
      Fleet.checkNodes();
    }
    Fleet.settle();
  };
  // Faults that were put in on trial took up to 800 random runs to show.
  for (int Round = 0; Round < 10; ++Round)
    CHECK(rc::check(Check));
}

// Guards against a damaged era of one answer that keeps a node from ever using
// the store's answers again.
TEST_CASE("a whole read of the replica's era takes a noted era back") {
  TableFreshness Freshness;
  TableCopy Copy(Freshness);
  const BootTime At{Duration(1000)};
  const Row Entry{"k", "1", 5, false};
  (void)Copy.mergeFromStore({0, 5, {Entry}, true, 3}, At, At, Duration(1));
  CHECK(
      Copy.mergeFromStore({5, 6, {}, false, 900}, At, At, Duration(2)).Taken ==
      RowsTaken::OtherEra);
  CHECK(Copy.needsWholeRead());
  const BootTime Later = At + Duration(10);
  (void)Copy.mergeFromStore({5, 7, {Entry}, true, 3}, Later, Later,
                            Duration(12));
  CHECK_FALSE(Copy.needsWholeRead());
}

// Guards against rows that are lost with their era: what differs is returned,
// and only that.
TEST_CASE("a new era returns the rows that differ") {
  TableFreshness Freshness;
  TableCopy Copy(Freshness);
  const BootTime At{Duration(1000)};
  (void)Copy.mergeFromStore({0,
                             9,
                             {{"same", "1", 3, false},
                              {"lost", "2", 8, false},
                              {"older", "4", 9, false}},
                             true},
                            At, At, std::nullopt);
  const TableUpdate Update = Copy.mergeFromStore({9,
                                                  7,
                                                  {{"same", "1", 3, false},
                                                   {"older", "3", 4, false},
                                                   {"new", "5", 7, false}},
                                                  true,
                                                  1},
                                                 At, At, std::nullopt);
  CHECK(Update.Taken == RowsTaken::EraBegun);
  Content Changes;
  for (const Row &Change : Update.Changes)
    Changes[Change.Key] = Change.Removed ? "removed" : Change.Value;
  CHECK(Changes == Content{{"lost", "removed"}, {"older", "3"}, {"new", "5"}});
  CHECK(Copy.replica().completeVersion() == 7);
}
