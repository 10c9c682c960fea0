// Compares ways to choose endpoints by knowledge that is 0 to 1 s old, in
// simulated time. Prints, for each number of choosers and each fault, the
// busiest endpoint over the mean (whole run, and of each second) and the
// rejections, of which those while another endpoint had a free slot.
//
//   even_load [SEED]

#include "balancing/stale_report_simulation.h"

#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>

using namespace cassiashed;
using namespace cassiashed::balancing;

namespace {

/// Each chooser's own requests at each endpoint, and the last stated loads.
class KnownLoads : public ChoiceWay {
public:
  explicit KnownLoads(const StaleReportOptions &Options)
      : Options_(Options), Own_(Options.Choosers), Heard_(Options.Choosers),
        Estimates_(Options.Choosers) {
    for (std::size_t Index = 0; Index < Options.Choosers; ++Index) {
      Own_[Index].assign(Options.Endpoints, 0);
      Heard_[Index].assign(Options.Endpoints, 0);
    }
  }
  void sent(std::size_t Chooser, std::uint64_t, std::size_t Endpoint,
            TimePoint) override {
    ++Own_[Chooser][Endpoint];
    ++Heard_[Chooser][Endpoint];
  }
  void ended(std::size_t Chooser, std::uint64_t, std::size_t Endpoint,
             Duration Taken, TimePoint) override {
    --Own_[Chooser][Endpoint];
    if (Taken > Duration(0))
      Estimates_[Chooser].recordDuration(number(Endpoint), Taken);
  }
  void rejected(std::size_t Chooser, std::size_t Endpoint,
                TimePoint Now) override {
    Estimates_[Chooser].recordRejection(number(Endpoint), Now);
  }
  void heard(std::size_t Chooser, std::size_t Endpoint, const StatedLoad &Load,
             TimePoint StatedAt, TimePoint) override {
    Heard_[Chooser][Endpoint] = Load.Running + Load.Waiting;
    Estimates_[Chooser].recordStated(number(Endpoint), Load,
                                     Own_[Chooser][Endpoint], StatedAt);
  }

protected:
  static std::uint32_t number(std::size_t Endpoint) {
    return static_cast<std::uint32_t>(Endpoint);
  }
  std::size_t any() { return Random_() % Options_.Endpoints; }

  StaleReportOptions Options_;
  std::vector<std::vector<int>> Own_;
  /// Last stated load and what this chooser sent since.
  std::vector<std::vector<double>> Heard_;
  std::vector<LoadEstimate> Estimates_;
  std::mt19937_64 Random_{5};
};

using Choose = std::function<std::size_t(std::size_t, TimePoint)>;

/// Takes the least loaded of `Count` endpoints drawn at random; 0: of all.
class LeastOf final : public KnownLoads {
public:
  LeastOf(const StaleReportOptions &Options, std::size_t Count)
      : KnownLoads(Options), Count_(Count) {}
  std::size_t choose(std::size_t Chooser, TimePoint) override {
    std::size_t Best = any();
    const std::size_t Tried = Count_ == 0 ? Options_.Endpoints : Count_;
    for (std::size_t Index = 1; Index < Tried; ++Index) {
      const std::size_t Next =
          Count_ == 0 ? (Best + 1) % Options_.Endpoints : any();
      const std::size_t Other =
          Count_ == 0 ? (First_ + Index) % Options_.Endpoints : Next;
      if (Heard_[Chooser][Other] < Heard_[Chooser][Best])
        Best = Other;
    }
    First_ = any();
    return Best;
  }

private:
  std::size_t Count_;
  std::size_t First_ = 0;
};

/// Draws an endpoint with a probability in proportion to its free slots.
class ByFreeSlots final : public KnownLoads {
public:
  using KnownLoads::KnownLoads;
  std::size_t choose(std::size_t Chooser, TimePoint) override {
    std::vector<double> Weights;
    for (const double Load : Heard_[Chooser])
      Weights.push_back(std::max(0.1, Options_.Slots - Load));
    return std::discrete_distribution<std::size_t>(Weights.begin(),
                                                   Weights.end())(Random_);
  }
};

/// Takes an endpoint that told this chooser when it became idle, else any.
class IdleQueue final : public KnownLoads {
public:
  explicit IdleQueue(const StaleReportOptions &Options)
      : KnownLoads(Options), Idle_(Options.Choosers) {}
  void heard(std::size_t Chooser, std::size_t Endpoint, const StatedLoad &Load,
             TimePoint, TimePoint) override {
    if (Load.Running < Load.Slots / 2)
      Idle_[Chooser].push_back(Endpoint);
  }
  std::size_t choose(std::size_t Chooser, TimePoint) override {
    if (Idle_[Chooser].empty())
      return any();
    const std::size_t Result = Idle_[Chooser].front();
    Idle_[Chooser].pop_front();
    return Result;
  }

private:
  std::vector<std::deque<std::size_t>> Idle_;
};

/// Uses lent slots: each chooser may have its share of an endpoint's slots.
class LentSlots final : public KnownLoads {
public:
  using KnownLoads::KnownLoads;
  std::size_t choose(std::size_t Chooser, TimePoint) override {
    const double Share = static_cast<double>(Options_.Slots) /
                         static_cast<double>(Options_.Choosers);
    const std::size_t First = any();
    std::size_t Best = First;
    for (std::size_t Index = 0; Index < Options_.Endpoints; ++Index) {
      const std::size_t Other = (First + Index) % Options_.Endpoints;
      if (Own_[Chooser][Other] + 1 <= std::ceil(Share))
        return Other;
      if (Own_[Chooser][Other] < Own_[Chooser][Best])
        Best = Other;
    }
    return Best;
  }
};

/// Takes the first endpoint in an order of its own whose known load is at most
/// 1.25 of the mean.
class BoundedOrder final : public KnownLoads {
public:
  using KnownLoads::KnownLoads;
  std::size_t choose(std::size_t Chooser, TimePoint) override {
    double Sum = 1;
    for (const double Load : Heard_[Chooser])
      Sum += Load;
    const double Bound = 1.25 * Sum / static_cast<double>(Options_.Endpoints);
    for (std::size_t Index = 0; Index < Options_.Endpoints; ++Index) {
      const std::size_t Other = (Chooser + Index) % Options_.Endpoints;
      if (Heard_[Chooser][Other] + 1 <= std::ceil(Bound))
        return Other;
    }
    return any();
  }
};

class Evenly final : public KnownLoads {
public:
  using KnownLoads::KnownLoads;
  std::size_t choose(std::size_t Chooser, TimePoint Now) override {
    std::vector<LoadedEndpoint> Loads;
    std::vector<std::size_t> Indices;
    for (std::size_t Index = 0; Index < Options_.Endpoints; ++Index)
      if (!Estimates_[Chooser].isHeld(number(Index), Now)) {
        Loads.push_back(
            {static_cast<double>(Options_.Slots),
             static_cast<double>(Own_[Chooser][Index]), 0,
             Estimates_[Chooser].unknownRequests(number(Index), Now),
             Estimates_[Chooser].duration(number(Index))});
        Indices.push_back(Index);
      }
    return Loads.empty() ? any() : Indices[chooseEvenly(Loads, Random_)];
  }
};

struct NamedWay {
  const char *Name;
  std::function<std::unique_ptr<ChoiceWay>(const StaleReportOptions &)> Make;
};

} // namespace

int main(int Argc, char **Argv) {
  const std::uint64_t Seed = Argc > 1 ? std::strtoull(Argv[1], nullptr, 10) : 1;
  const std::vector<NamedWay> Ways = {
      {"least of all",
       [](const auto &O) { return std::make_unique<LeastOf>(O, 0); }},
      {"any", [](const auto &O) { return std::make_unique<LeastOf>(O, 1); }},
      {"least of 2",
       [](const auto &O) { return std::make_unique<LeastOf>(O, 2); }},
      {"free slots",
       [](const auto &O) { return std::make_unique<ByFreeSlots>(O); }},
      {"idle queue",
       [](const auto &O) { return std::make_unique<IdleQueue>(O); }},
      {"lent slots",
       [](const auto &O) { return std::make_unique<LentSlots>(O); }},
      {"bounded order",
       [](const auto &O) { return std::make_unique<BoundedOrder>(O); }},
      {"evenly", [](const auto &O) { return std::make_unique<Evenly>(O); }}};
  struct Scenario {
    const char *Name;
    StaleReportOptions Options;
  };
  std::vector<Scenario> Scenarios;
  for (const std::size_t Choosers : {1, 6, 80}) {
    StaleReportOptions Usual;
    Usual.Choosers = Choosers;
    Usual.Endpoints = Choosers == 80 ? 69 : 6;
    Scenarios.push_back({"usual", Usual});
    StaleReportOptions AtOnce = Usual;
    AtOnce.AllAtOnce = true;
    Scenarios.push_back({"at once", AtOnce});
    StaleReportOptions Faults = Usual;
    Faults.LostShare = 0.5;
    Faults.HasUnequalSpeeds = true;
    Faults.HasReturn = true;
    Scenarios.push_back({"faults", Faults});
    StaleReportOptions Full = Usual;
    Full.Load = 1;
    Scenarios.push_back({"full", Full});
  }
  std::printf("%-14s %-8s %8s %8s %8s %8s %8s\n", "way", "reports", "choosers",
              "run", "second", "rejected", "beside");
  for (const Scenario &Played : Scenarios)
    for (const NamedWay &Way : Ways) {
      StaleReportSimulation Simulation(Played.Options, Seed);
      const StaleReportResult Result =
          Simulation.run(*Way.Make(Played.Options));
      std::printf("%-14s %-8s %8zu %8.2f %8.2f %8d %8d\n", Way.Name,
                  Played.Name, Played.Options.Choosers, Result.BusiestOverMean,
                  Result.BusiestOverMeanSecond, Result.Rejected,
                  Result.RejectedBesideRoom);
    }
  return 0;
}
