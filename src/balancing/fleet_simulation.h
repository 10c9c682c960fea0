#pragma once

#include "cassiashed/balancing/dispatcher.h"
#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cassiashed::balancing {

/// Simulates a fleet of engines that behave as `EngineTimeline` predicts, for
/// tests of placement decisions. Requests are placed by the load that a view
/// knows, which may be less than the actual load.
class FleetSimulation {
public:
  static constexpr TimePoint Start{std::chrono::hours(1)};

  explicit FleetSimulation(int Engines) {
    Model_.Name = "model";
    engine::EngineSpec Spec;
    Spec.Slots = 10;
    Spec.MemoryTokens = 232000;
    Spec.StepsPerPass = 45;
    Spec.StepMs = 1.02;
    Spec.PrefillTokensPerMs = 206;
    Spec.PrefillPairsMs = 0.138;
    Model_.Engine = Spec;
    for (int Index = 0; Index < Engines; ++Index) {
      catalog::Endpoint Engine;
      Engine.Id = "engine-" + std::to_string(Index);
      Engine.Service = Model_.Name;
      Engine.Host = "10.0.0.1";
      Engine.Port = static_cast<unsigned short>(8000 + Index);
      Engine.Zone = "a";
      Directory_.put(Engine, Start);
    }
    addTimelines(ActualLoad_);
  }

  /// Adds a timeline of each engine to a node's view of the fleet.
  void addTimelines(FleetLoad &View) {
    for (const auto &[Id, Endpoint] : Directory_.all())
      View.timeline(Id, *Model_.Engine);
  }

  /// All requests in flight, from all nodes.
  FleetLoad &actualLoad() { return ActualLoad_; }

  /// Simulates until `Now`: first tokens, completions, and callers that
  /// disconnect at their deadline.
  void advanceTo(TimePoint Now) {
    for (; SimulatedUntil_ <= Now; SimulatedUntil_ += SimulationStep)
      for (auto Sent = Sent_.begin(); Sent != Sent_.end();)
        Sent =
            advanceRequest(Sent->second) ? Sent_.erase(Sent) : std::next(Sent);
  }

  /// Whether a request had its first token before its deadline.
  bool wasServed(std::uint64_t Id) const { return Served_.count(Id) != 0; }

  /// Chooses engines from the load that `View` knows.
  Dispatch choose(const PlacementRequest &Work, FleetLoad &View,
                  TimePoint Now) {
    DispatchRequest Request;
    Request.Target = &Model_;
    Request.Work = Work;
    Dispatcher FleetDispatcher(Directory_, View, Health_, Cold_, {});
    return FleetDispatcher.choose(Request, Now, Random_);
  }

  /// Sends a request to the chosen engines; its stream takes `StreamFor`.
  /// Returns the time to its first token in ms if no later request delays it.
  double send(const PlacementRequest &Work, const Dispatch &Chosen,
              FleetLoad &View, Duration StreamFor, TimePoint Now) {
    Assignment Assigned;
    Assigned.Request = Work;
    Assigned.Request.Urgent = Chosen.Urgent;
    SentRequest Sent{Work, {}, &View, Now, StreamFor, {}};
    double FirstTokenMs = 0;
    for (std::size_t Index = 0; Index < Chosen.Endpoints.size(); ++Index) {
      const std::string &Engine = Chosen.Endpoints[Index]->Entry.Id;
      Assigned.Parts.push_back({Engine, Chosen.Parts[Index]});
      Sent.Engines.push_back(Engine);
      const engine::EngineJob Job =
          makeJob(Assigned.Request, Chosen.Parts[Index], Index == 0, Now, {});
      FirstTokenMs =
          std::max(FirstTokenMs, ActualLoad_.timeline(Engine, *Model_.Engine)
                                     .forecast(Job, Now)
                                     .FirstTokenMs);
    }
    ActualLoad_.assign(Assigned, Now);
    if (&View != &ActualLoad_)
      View.assign(Assigned, Now);
    Sent_.emplace(Work.Id, std::move(Sent));
    return FirstTokenMs;
  }

private:
  static constexpr Duration SimulationStep{20};

  struct SentRequest {
    PlacementRequest Work;
    std::vector<std::string> Engines;
    FleetLoad *View = nullptr;
    TimePoint SentAt;
    Duration StreamFor{0};
    std::optional<TimePoint> EndsAt; ///< set at its first token
  };

  /// Advances a request to `SimulatedUntil_`; returns whether it has ended.
  bool advanceRequest(SentRequest &Sent) {
    const std::chrono::duration<double, std::milli> Elapsed =
        SimulatedUntil_ - Sent.SentAt;
    const auto IsPrefilling = [&](const std::string &Engine) {
      engine::EngineTimeline &Timeline =
          ActualLoad_.timeline(Engine, *Model_.Engine);
      Timeline.advance(SimulatedUntil_);
      return Timeline.isPrefilling(Sent.Work.Id);
    };
    bool HasEnded = Sent.EndsAt && *Sent.EndsAt <= SimulatedUntil_;
    if (!Sent.EndsAt) {
      HasEnded = Elapsed.count() > Sent.Work.DeadlineMs;
      if (!HasEnded && std::none_of(Sent.Engines.begin(), Sent.Engines.end(),
                                    IsPrefilling)) {
        Sent.EndsAt = SimulatedUntil_ + Sent.StreamFor;
        Served_.insert(Sent.Work.Id);
        for (FleetLoad *Load : {&ActualLoad_, Sent.View})
          Load->markStarted(Sent.Work.Id, SimulatedUntil_);
      }
    }
    if (HasEnded)
      for (FleetLoad *Load : {&ActualLoad_, Sent.View})
        Load->finish(Sent.Work.Id, SimulatedUntil_);
    return HasEnded;
  }

  catalog::Service Model_;
  catalog::EndpointDirectory Directory_;
  EndpointHealth Health_;
  ColdStartLimiter Cold_;
  FleetLoad ActualLoad_;
  std::map<std::uint64_t, SentRequest> Sent_;
  std::set<std::uint64_t> Served_;
  TimePoint SimulatedUntil_ = Start;
  std::mt19937_64 Random_{11};
};

} // namespace cassiashed::balancing
