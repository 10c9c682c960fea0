#pragma once

#include "cassiashed/balancing/load_estimate.h"
#include <algorithm>
#include <deque>
#include <map>
#include <queue>
#include <random>
#include <vector>

namespace cassiashed::balancing {

/// A way to choose endpoints, with the knowledge of each of several choosers.
class ChoiceWay {
public:
  virtual ~ChoiceWay() = default;
  virtual std::size_t choose(std::size_t Chooser, TimePoint Now) = 0;
  virtual void sent(std::size_t, std::uint64_t, std::size_t, TimePoint) {}
  virtual void ended(std::size_t, std::uint64_t, std::size_t, Duration,
                     TimePoint) {}
  virtual void rejected(std::size_t, std::size_t, TimePoint) {}
  /// A chooser hears what an endpoint stated at `StatedAt`.
  virtual void heard(std::size_t, std::size_t, const StatedLoad &,
                     TimePoint /*StatedAt*/, TimePoint /*Now*/) {}
};

struct StaleReportOptions {
  std::size_t Choosers = 1;
  std::size_t Endpoints = 6;
  int Slots = 12;
  int Queue = 24;
  double Load = 0.7;             ///< share of the endpoints' capacity
  double LostShare = 0;          ///< of reports
  bool AllAtOnce = false;        ///< all hear all reports once a second
  bool HasUnequalSpeeds = false; ///< every third takes twice as long
  bool HasReturn = false;        ///< the first crashes and returns empty
  Duration Length{10000};
};

struct StaleReportResult {
  double BusiestOverMean = 0;       ///< requests of the whole run, by capacity
  double BusiestOverMeanSecond = 0; ///< of each second, mean of all seconds
  int Rejected = 0;
  int RejectedBesideRoom = 0; ///< while another endpoint had a free slot
};

/// Simulates choosers that send to the same endpoints and hear of their load
/// 0 to 1 s late, in any order.
class StaleReportSimulation {
public:
  static constexpr TimePoint Start{std::chrono::hours(1)};

  StaleReportSimulation(const StaleReportOptions &Options, std::uint64_t Seed)
      : Options_(Options), Random_(Seed), Endpoints_(Options.Endpoints) {
    for (std::size_t Index = 0; Index < Endpoints_.size(); ++Index)
      Endpoints_[Index].Slowness =
          Options.HasUnequalSpeeds && Index % 3 == 0 ? 2 : 1;
  }

  StaleReportResult run(ChoiceWay &Way) {
    double Capacity = 0; // requests per ms
    for (const Endpoint &One : Endpoints_)
      Capacity += Options_.Slots / (MeanMs * One.Slowness);
    std::exponential_distribution<double> Gap(Capacity * Options_.Load);
    double NextArrival = 0;
    for (int Ms = 0; Ms < Options_.Length.count(); ++Ms) {
      const TimePoint Now = Start + Duration(Ms);
      if (Options_.HasReturn && Ms == 2000)
        crash(Way, Now);
      IsFirstAway_ = Options_.HasReturn && Ms >= 2000 && Ms < 4000;
      endRequests(Way, Now);
      if (Ms % 100 == 0)
        report(Way, Now);
      while (NextArrival <= Ms) {
        place(Way, Now);
        NextArrival += Gap(Random_);
      }
      if (Ms % 1000 == 999)
        closeSecond();
    }
    for (const Endpoint &One : Endpoints_)
      Result_.BusiestOverMean = std::max(Result_.BusiestOverMean,
                                         One.Total * One.Slowness * Capacity *
                                             MeanMs / Options_.Slots / Sent_);
    Result_.BusiestOverMeanSecond /=
        static_cast<double>(Options_.Length.count()) / 1000;
    return Result_;
  }

private:
  static constexpr double MeanMs = 250;
  static constexpr std::size_t Attempts = 3;

  struct Request {
    std::uint64_t Id = 0;
    std::size_t Chooser = 0;
    TimePoint SentAt;
    TimePoint EndsAt;
    bool operator>(const Request &Other) const { return EndsAt > Other.EndsAt; }
  };
  struct Endpoint {
    double Slowness = 1;
    std::priority_queue<Request, std::vector<Request>, std::greater<>> Running;
    std::deque<Request> Waiting;
    std::deque<std::pair<TimePoint, StatedLoad>> Stated; ///< newest last
    double Total = 0;
    double ThisSecond = 0;
  };

  void start(Endpoint &Target, Request Started, TimePoint Now) {
    std::uniform_real_distribution<double> Length(0.2, 1.8);
    Started.EndsAt =
        Now +
        Duration(static_cast<int>(MeanMs * Target.Slowness * Length(Random_)));
    Target.Running.push(Started);
  }
  bool hasFreeSlot(std::size_t Index) const {
    return !(Index == 0 && IsFirstAway_) &&
           static_cast<int>(Endpoints_[Index].Running.size()) < Options_.Slots;
  }
  void endRequests(ChoiceWay &Way, TimePoint Now) {
    for (std::size_t Index = 0; Index < Endpoints_.size(); ++Index) {
      Endpoint &One = Endpoints_[Index];
      while (!One.Running.empty() && One.Running.top().EndsAt <= Now) {
        const Request Ended = One.Running.top();
        One.Running.pop();
        Way.ended(Ended.Chooser, Ended.Id, Index,
                  std::chrono::duration_cast<Duration>(Now - Ended.SentAt),
                  Now);
        if (One.Waiting.empty())
          continue;
        start(One, One.Waiting.front(), Now);
        One.Waiting.pop_front();
      }
    }
  }
  void crash(ChoiceWay &Way, TimePoint Now) {
    Endpoint &First = Endpoints_.front();
    for (; !First.Running.empty(); First.Running.pop())
      Way.ended(First.Running.top().Chooser, First.Running.top().Id, 0,
                Duration(0), Now);
    for (const Request &Lost : First.Waiting)
      Way.ended(Lost.Chooser, Lost.Id, 0, Duration(0), Now);
    First.Waiting.clear();
  }
  void report(ChoiceWay &Way, TimePoint Now) {
    for (Endpoint &One : Endpoints_) {
      One.Stated.push_back(
          {Now,
           {static_cast<int>(One.Running.size()),
            static_cast<int>(One.Waiting.size()), Options_.Slots}});
      if (One.Stated.size() > 10)
        One.Stated.pop_front();
    }
    const auto IsSecond =
        (Now - Start) % std::chrono::seconds(1) == TimePoint::duration::zero();
    std::bernoulli_distribution Hears((Options_.AllAtOnce ? IsSecond : 0.1) *
                                      (1 - Options_.LostShare));
    for (std::size_t Chooser = 0; Chooser < Options_.Choosers; ++Chooser)
      for (std::size_t Index = IsFirstAway_; Index < Endpoints_.size(); ++Index)
        if (Hears(Random_)) {
          const auto &Stated = Endpoints_[Index].Stated;
          std::uniform_int_distribution<std::size_t> Any(0, Stated.size() - 1);
          const auto &[At, Load] =
              Options_.AllAtOnce ? Stated.back() : Stated[Any(Random_)];
          Way.heard(Chooser, Index, Load, At, Now);
        }
  }
  void place(ChoiceWay &Way, TimePoint Now) {
    Request Placed{NextId_++, Random_() % Options_.Choosers, Now, Now};
    for (std::size_t Attempt = 0; Attempt < Attempts; ++Attempt) {
      const std::size_t Index = Way.choose(Placed.Chooser, Now);
      Endpoint &Target = Endpoints_[Index];
      const bool IsAway = Index == 0 && IsFirstAway_;
      if (IsAway || static_cast<int>(Target.Waiting.size()) >= Options_.Queue) {
        Way.rejected(Placed.Chooser, Index, Now);
        Result_.Rejected += !IsAway;
        bool HasRoom = false;
        for (std::size_t Other = 0; Other < Endpoints_.size(); ++Other)
          HasRoom = HasRoom || hasFreeSlot(Other);
        Result_.RejectedBesideRoom += !IsAway && HasRoom;
        continue;
      }
      ++Sent_;
      ++Target.Total;
      ++Target.ThisSecond;
      Way.sent(Placed.Chooser, Placed.Id, Index, Now);
      if (hasFreeSlot(Index))
        start(Target, Placed, Now);
      else
        Target.Waiting.push_back(Placed);
      return;
    }
  }
  void closeSecond() {
    double Busiest = 0;
    double Sum = 0;
    double Weights = 0;
    for (Endpoint &One : Endpoints_) {
      Busiest = std::max(Busiest, One.ThisSecond * One.Slowness);
      Sum += One.ThisSecond;
      Weights += 1 / One.Slowness;
      One.ThisSecond = 0;
    }
    Result_.BusiestOverMeanSecond += Sum > 0 ? Busiest * Weights / Sum : 0;
  }

  StaleReportOptions Options_;
  std::mt19937_64 Random_;
  std::vector<Endpoint> Endpoints_;
  StaleReportResult Result_;
  std::uint64_t NextId_ = 1;
  double Sent_ = 0;
  bool IsFirstAway_ = false;
};

} // namespace cassiashed::balancing
