#pragma once

#include "cassiashed/membership/gossip.h"
#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

/// In-memory instances of `Gossip` and `ConfigSync` with messages that take
/// time, a configuration row, and a clock for each node. For tests and
/// measurements of these two decision objects.
namespace cassiashed {

class FakeCluster {
public:
  using Real = std::chrono::milliseconds; ///< real time since the start

  struct Node {
    GossipOptions Options;
    std::vector<std::string> Witnesses;
    std::unique_ptr<ConfigSync> Sync;
    std::unique_ptr<Gossip> Talk;
    bool IsAlive = false;
    bool IsCutOff = false; ///< from all other nodes and the table
    bool IsCutFromTable = false;
    int Side = 0; ///< nodes on different sides do not reach each other
    Real PausedUntil{0};
    double ClockRate = 1;
    std::uint64_t SentMessages = 0;
    std::uint64_t SentBytes = 0, ReceivedBytes = 0;
  };

  FakeCluster(std::uint64_t Seed, int NodeCount, int WitnessCount)
      : Random_(Seed) {
    std::vector<std::string> Witnesses, Seeds;
    for (int Index = 0; Index < WitnessCount; ++Index) {
      Witnesses.push_back(nameOf(Index));
      Seeds.push_back(addressOf(Index));
    }
    Nodes.resize(NodeCount);
    for (int Index = 0; Index < NodeCount; ++Index) {
      Node &Next = Nodes[Index];
      Next.Options.Self.Name = nameOf(Index);
      Next.Options.Self.Address = addressOf(Index);
      Next.Options.Self.Zone = std::string(1, "abcdef"[Index % 6]);
      // A wall clock in milliseconds, as a node would use.
      Next.Options.Self.Incarnation = 1796000000000 + Index;
      Next.Options.Seeds = Seeds;
      Next.Witnesses = Witnesses;
      IndexOf_[addressOf(Index)] = Index;
      start(Next);
    }
  }

  static std::string nameOf(int Index) {
    return "node-" + std::to_string(Index);
  }
  static std::string addressOf(int Index) {
    return "10.0." + std::to_string(Index / 250) + '.' +
           std::to_string(Index % 250 + 1) + ":7000";
  }

  void start(Node &Target) {
    ++Target.Options.Self.Incarnation;
    Target.Sync = makeConfigSync(
        {Target.Options.Self.Name, Target.Witnesses, FreshnessLimit});
    Target.Talk = makeGossip(Target.Options, *Target.Sync);
    Target.IsAlive = true;
    Target.PausedUntil = Now;
  }

  void crash(Node &Target) { Target.IsAlive = false; }

  TimePoint clockOf(const Node &Target) const {
    return TimePoint(std::chrono::hours(1)) +
           std::chrono::duration_cast<TimePoint::duration>(
               std::chrono::duration<double, std::milli>(
                   static_cast<double>(Now.count()) * Target.ClockRate));
  }

  bool isCurrent(const Node &Target) const {
    return Target.IsAlive && Target.Sync->isCurrent(clockOf(Target));
  }

  int pick(int Limit) { return static_cast<int>(Random_() % Limit); }
  Node &pickNode() { return Nodes[pick(static_cast<int>(Nodes.size()))]; }

  /// `OnStep` runs every 50 ms of real time.
  void run(Real Length, const std::function<void()> &OnStep = {}) {
    const Real End = Now + Length;
    while (Now < End) {
      Now += Real(50);
      while (!Events_.empty() && Events_.begin()->first <= Now) {
        const auto Action = std::move(Events_.begin()->second);
        Events_.erase(Events_.begin());
        Action();
      }
      for (Node &Target : Nodes)
        if (Target.IsAlive && Now >= Target.PausedUntil)
          tick(Target);
      if (OnStep)
        OnStep();
    }
  }

  std::vector<Node> Nodes;
  Real Now{0};
  std::uint64_t RowVersion = 1;
  bool IsTableDown = false;
  Real LongestDelay{10};
  int SlowPercent = 0; ///< messages that take up to 8 s
  /// Size of an encoded message; 0 bytes if not set.
  std::function<std::size_t(const GossipMessage &)> Measure;

private:
  Real delay() {
    return SlowPercent > 0 && pick(100) < SlowPercent
               ? Real(pick(8000))
               : Real(pick(static_cast<int>(LongestDelay.count()) + 1));
  }

  void later(Real Delay, Node &Target, std::function<void()> Action) {
    const std::uint64_t Incarnation = Target.Options.Self.Incarnation;
    Events_.emplace(Now + Delay, [this, &Target, Incarnation, Action] {
      if (!Target.IsAlive || Target.Options.Self.Incarnation != Incarnation)
        return;
      if (Now < Target.PausedUntil)
        later(Target.PausedUntil - Now, Target, Action);
      else
        Action();
    });
  }

  bool canReach(const Node &From, const Node &To) const {
    return To.IsAlive && !From.IsCutOff && !To.IsCutOff && From.Side == To.Side;
  }

  void count(Node &From, Node &To, const GossipMessage &Message) {
    const std::size_t Bytes = Measure ? Measure(Message) : 0;
    ++From.SentMessages;
    From.SentBytes += Bytes;
    To.ReceivedBytes += Bytes;
  }

  void tick(Node &Target) {
    ConfigSync &Sync = *Target.Sync;
    if (Sync.takePollDue(clockOf(Target), Nodes.size()))
      poll(Target);
    if (const auto Want = Sync.wanted())
      later(Real(100), Target, [this, &Target, Version = Want->Version] {
        Target.Sync->onInForce(Version, clockOf(Target));
      });
    for (GossipSend &Send : Target.Talk->tick(clockOf(Target), Random_))
      deliver(Target, std::move(Send));
  }

  void poll(Node &Target) {
    const TimePoint Start = clockOf(Target);
    const auto Reply = std::make_shared<std::optional<std::uint64_t>>();
    const Real There = delay(), Back = delay();
    Events_.emplace(Now + There, [this, &Target, Reply] {
      if (!IsTableDown && !Target.IsCutOff && !Target.IsCutFromTable)
        *Reply = RowVersion;
    });
    later(There + Back, Target, [this, &Target, Start, Reply] {
      Target.Sync->onRowRead(Start, *Reply, clockOf(Target));
    });
  }

  void deliver(Node &From, GossipSend Send) {
    Node &To = Nodes[IndexOf_.at(Send.Address)];
    const Real There = delay(), Back = delay();
    const auto IsDone = std::make_shared<bool>(false);
    later(Real(1000), From, [this, &From, Id = Send.Id, IsDone] {
      if (!*IsDone)
        From.Talk->onNoReply(Id, clockOf(From));
      *IsDone = true;
    });
    if (!canReach(From, To))
      return;
    count(From, To, Send.Message);
    later(There, To, [this, &From, &To, Send, Back, IsDone] {
      const GossipMessage Reply = To.Talk->receive(Send.Message, clockOf(To));
      if (!canReach(To, From))
        return;
      count(To, From, Reply);
      later(Back, From, [this, &From, Reply, Id = Send.Id, IsDone] {
        if (!*IsDone)
          From.Talk->onReply(Id, Reply, clockOf(From));
        *IsDone = true;
      });
    });
  }

  RandomSource Random_;
  std::map<std::string, int> IndexOf_;
  std::multimap<Real, std::function<void()>> Events_;
};

} // namespace cassiashed
