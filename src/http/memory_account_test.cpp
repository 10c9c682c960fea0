#include "http/memory_account.h"

#include <array>
#include <deque>
#include <doctest/doctest.h>
#include <memory>
#include <rapidcheck.h>

using namespace cassiashed;
using namespace cassiashed::http;

namespace {

constexpr MemoryLimits Limits{1000, 250, 50, 500};
const TimePoint Start;
const TimePoint Later = Start + MemoryAccount::StallTime;

struct Peer {
  explicit Peer(MemoryAccount &Account)
      : Held(std::make_unique<MemoryHolder>(Account, [this] { ++Drops; })) {}
  std::unique_ptr<MemoryHolder> Held;
  int Drops = 0;
  int Grants = 0;

  void wait(std::size_t Bytes, TimePoint Now) {
    Held->waitFor(Bytes, Now, [this] { ++Grants; });
  }
};

} // namespace

// Guards against a few large bodies that take the memory of all small ones.
TEST_CASE("large holders leave the ordinary part to small ones") {
  MemoryAccount Account(Limits);
  Peer Large(Account);
  Peer Small(Account);
  CHECK_FALSE(Large.Held->tryHold(751, Start));
  CHECK(Large.Held->tryHold(750, Start));
  CHECK(Small.Held->tryHold(50, Start));
  Large.Held.reset();
  CHECK(Account.usedBytes() == 50);
}

// Guards against one workspace that takes the memory of all others.
TEST_CASE("a group has a share") {
  MemoryAccount Account(Limits);
  Peer First(Account);
  Peer Second(Account);
  Peer Other(Account);
  First.Held->setGroup("w1");
  Second.Held->setGroup("w1");
  Other.Held->setGroup("w2");
  CHECK(First.Held->tryHold(400, Start));
  CHECK_FALSE(Second.Held->tryHold(101, Start));
  CHECK(Other.Held->tryHold(350, Start));
  Other.Held->reset();
  Second.wait(101, Start);
  Account.reclaim(Later);
  CHECK(First.Drops == 1);
  First.Held->reset();
  CHECK(Second.Grants == 1);
}

// Guards against a crowd of one workspace whose wait for its own share refuses
// the large requests of all others.
TEST_CASE("a full group does not hold up the other groups") {
  MemoryAccount Account(Limits);
  Peer First(Account);
  Peer Second(Account);
  Peer Other(Account);
  Peer Late(Account);
  for (Peer *Each : {&First, &Second})
    Each->Held->setGroup("w1");
  for (Peer *Each : {&Other, &Late})
    Each->Held->setGroup("w2");
  CHECK(First.Held->tryHold(450, Start));
  First.Held->setPinned(true);
  Second.wait(100, Start);
  CHECK(Other.Held->tryHold(250, Start));
  Late.wait(100, Start); // the large part is used up
  CHECK(Late.Grants == 0);
  Account.reclaim(Later);
  CHECK(Other.Drops == 1);
  Other.Held.reset();
  CHECK(Late.Grants == 1);
  CHECK(Second.Grants == 0);
  First.Held.reset();
  CHECK(Second.Grants == 1);
}

// Guards against holders that are dropped for one that gets nothing by it.
TEST_CASE("no more is dropped than what can be granted needs") {
  MemoryAccount Account(Limits);
  Peer Served(Account);
  Peer Waiting(Account);
  Peer Oldest(Account);
  Peer Newer(Account);
  Peer Late(Account);
  Served.Held->setGroup("w1");
  Waiting.Held->setGroup("w1");
  CHECK(Served.Held->tryHold(500, Start));
  Served.Held->setPinned(true);
  CHECK(Oldest.Held->tryHold(125, Start));
  CHECK(Newer.Held->tryHold(125, Start + Duration(1)));
  Waiting.wait(100, Start);
  Late.wait(100, Start);
  Account.reclaim(Later + Duration(1));
  CHECK(Oldest.Drops == 1);
  CHECK(Newer.Drops == 0);
}

// Guards against peers that stop short of their end and keep what they hold.
TEST_CASE("who got nothing for the longest time is dropped first") {
  MemoryAccount Account(Limits);
  Peer Stalled(Account);
  Peer Busy(Account);
  Peer Served(Account);
  CHECK(Served.Held->tryHold(200, Start));
  Served.Held->setPinned(true);
  CHECK(Stalled.Held->tryHold(300, Start));
  CHECK(Busy.Held->tryHold(250, Start + Duration(1)));
  Peer Next(Account);
  Next.wait(200, Start + Duration(2));
  CHECK(Stalled.Drops + Busy.Drops == 0);
  Account.reclaim(Later + Duration(1));
  CHECK(Stalled.Drops == 1);
  CHECK(Busy.Drops + Served.Drops == 0);
  Account.reclaim(Later + Duration(1)); // its memory is on the way
  CHECK(Busy.Drops == 0);
  Stalled.Held->reset();
  CHECK(Next.Grants == 1);
}

TEST_CASE("any sequence keeps the bounds and returns every byte") {
  CHECK(rc::check([] {
    MemoryAccount Account(Limits);
    std::deque<Peer> Peers;
    for (int Index = 0; Index < 12; ++Index)
      Peers.emplace_back(Account);
    TimePoint Now = Start;
    const auto Steps = *rc::gen::container<std::vector<std::array<int, 3>>>(
        rc::gen::container<std::array<int, 3>>(rc::gen::inRange(0, 1 << 20)));
    for (const auto &[Action, Who, Amount] : Steps) {
      Now += Duration(Amount % 40);
      Peer &Actor = Peers[static_cast<std::size_t>(Who) % Peers.size()];
      const auto Bytes = static_cast<std::size_t>(Amount % 400 + 1);
      if (Actor.Held->isDropped()) { // as its connection ends
        Actor.Held->reset();
        continue;
      }
      if (Action % 6 == 0 && !Actor.Held->isWaiting())
        (void)Actor.Held->tryHold(Bytes, Now);
      else if (Action % 6 == 1 && !Actor.Held->isWaiting() &&
               !Actor.Held->tryHold(Bytes, Now))
        Actor.wait(Bytes, Now);
      else if (Action % 6 == 2)
        Actor.Held->shrinkTo(Bytes / 2);
      else if (Action % 6 == 3)
        Actor.Held->setGroup(Amount % 2 == 0 ? "w1" : "w2");
      else if (Action % 6 == 4)
        Actor.Held->reset();
      else
        Account.reclaim(Now);
      std::size_t Sum = 0;
      std::size_t Large = 0;
      for (const Peer &Each : Peers) {
        Sum += Each.Held->bytes();
        Large +=
            Each.Held->bytes() > Limits.SmallBytes ? Each.Held->bytes() : 0;
      }
      RC_ASSERT(Account.usedBytes() == Sum);
      RC_ASSERT(Sum <= Limits.TotalBytes);
      RC_ASSERT(Large <= Limits.TotalBytes - Limits.OrdinaryBytes);
    }
    Peers.clear();
    RC_ASSERT(Account.usedBytes() == 0U);
    RC_ASSERT(Account.holderCount() == 0U);
    RC_ASSERT(Account.waitingCount() == 0U);
  }));
}

// Guards against a crowd of small holders that ordinary callers cannot pass.
TEST_CASE("an ordinary caller gets memory among any stalled holders") {
  CHECK(rc::check([] {
    MemoryAccount Account(Limits);
    std::deque<Peer> Crowd;
    const auto Sizes =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 400));
    for (const int Size : Sizes) {
      Crowd.emplace_back(Account);
      (void)Crowd.back().Held->tryHold(static_cast<std::size_t>(Size), Start);
    }
    Peer Ordinary(Account);
    if (!Ordinary.Held->tryHold(40, Later))
      Ordinary.wait(40, Later);
    else
      ++Ordinary.Grants;
    for (Peer &Each : Crowd)
      if (Each.Held->isDropped())
        Each.Held->reset();
    RC_ASSERT(Ordinary.Grants == 1);
    RC_ASSERT(Ordinary.Drops == 0);
  }));
}
