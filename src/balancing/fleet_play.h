#pragma once

#include "cassiashed/balancing/dispatcher.h"
#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Engines that behave as predicted, for tests of decisions about a fleet.
namespace cassiashed::balancing {

class FleetPlay {
public:
  static constexpr TimePoint Start{std::chrono::hours(1)};

  explicit FleetPlay(int Engines) {
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
      catalog::Endpoint Entry;
      Entry.Id = "engine-" + std::to_string(Index);
      Entry.Service = Model_.Name;
      Entry.Host = "10.0.0.1";
      Entry.Port = static_cast<unsigned short>(8000 + Index);
      Entry.Zone = "a";
      Directory_.put(Entry, Start);
    }
    prepare(Truth_);
  }

  /// Makes a timeline of each engine, for a node's view of the fleet.
  void prepare(FleetLoad &View) {
    for (const auto &[Id, Known] : Directory_.all())
      View.timeline(Id, *Model_.Engine);
  }

  /// All work under way.
  FleetLoad &truth() { return Truth_; }

  /// Carries out what happened until `Now`: first tokens, ends, and callers
  /// that leave at their deadline.
  void settle(TimePoint Now) {
    for (; SettledAt_ <= Now; SettledAt_ += SettleStep)
      for (auto Each = Sent_.begin(); Each != Sent_.end();)
        Each = settleOne(Each->second) ? Sent_.erase(Each) : std::next(Each);
  }

  /// Whether a request had its first token before its deadline.
  bool wasServed(std::uint64_t Id) const { return Served_.count(Id) != 0; }

  /// Chooses engines by what `View` knows.
  Dispatch choose(const PlacementRequest &Work, FleetLoad &View,
                  TimePoint Now) {
    DispatchRequest Request;
    Request.Target = &Model_;
    Request.Work = Work;
    Dispatcher Chooser(Directory_, View, Health_, Cold_, {});
    return Chooser.choose(Request, Now, Random_);
  }

  /// Sends a request to the engines chosen; its stream takes `StreamFor`.
  /// Returns the time to its first token if no later work delays it, in ms.
  double send(const PlacementRequest &Work, const Dispatch &Chosen,
              FleetLoad &View, Duration StreamFor, TimePoint Now) {
    Assignment Assigned;
    Assigned.Request = Work;
    Assigned.Request.Urgent = Chosen.Urgent;
    SentRequest Sent{Work, {}, &View, Now, StreamFor, {}};
    double SeenMs = 0;
    for (std::size_t Index = 0; Index < Chosen.Endpoints.size(); ++Index) {
      const std::string &Engine = Chosen.Endpoints[Index]->Entry.Id;
      Assigned.Parts.push_back({Engine, Chosen.Parts[Index]});
      Sent.Engines.push_back(Engine);
      const engine::EngineJob Job =
          makeJob(Assigned.Request, Chosen.Parts[Index], Index == 0, Now, {});
      SeenMs = std::max(SeenMs, Truth_.timeline(Engine, *Model_.Engine)
                                    .forecast(Job, Now)
                                    .FirstTokenMs);
    }
    Truth_.assign(Assigned, Now);
    if (&View != &Truth_)
      View.assign(Assigned, Now);
    Sent_.emplace(Work.Id, std::move(Sent));
    return SeenMs;
  }

private:
  static constexpr Duration SettleStep{20};

  struct SentRequest {
    PlacementRequest Work;
    std::vector<std::string> Engines;
    FleetLoad *View = nullptr;
    TimePoint At;
    Duration StreamFor{0};
    std::optional<TimePoint> EndsAt; ///< known from its first token on
  };

  /// Brings a request to `SettledAt_`; returns whether it has ended.
  bool settleOne(SentRequest &Sent) {
    const std::chrono::duration<double, std::milli> Passed =
        SettledAt_ - Sent.At;
    const auto IsReading = [&](const std::string &Engine) {
      engine::EngineTimeline &Timeline =
          Truth_.timeline(Engine, *Model_.Engine);
      Timeline.advance(SettledAt_);
      return Timeline.isPrefilling(Sent.Work.Id);
    };
    bool HasEnded = Sent.EndsAt && *Sent.EndsAt <= SettledAt_;
    if (!Sent.EndsAt) {
      HasEnded = Passed.count() > Sent.Work.DeadlineMs;
      if (!HasEnded &&
          std::none_of(Sent.Engines.begin(), Sent.Engines.end(), IsReading)) {
        Sent.EndsAt = SettledAt_ + Sent.StreamFor;
        Served_.insert(Sent.Work.Id);
        for (FleetLoad *Each : {&Truth_, Sent.View})
          Each->markStarted(Sent.Work.Id, SettledAt_);
      }
    }
    if (HasEnded)
      for (FleetLoad *Each : {&Truth_, Sent.View})
        Each->finish(Sent.Work.Id, SettledAt_);
    return HasEnded;
  }

  catalog::Service Model_;
  catalog::EndpointDirectory Directory_;
  EndpointHealth Health_;
  ColdStartLimiter Cold_;
  FleetLoad Truth_;
  std::map<std::uint64_t, SentRequest> Sent_;
  std::set<std::uint64_t> Served_;
  TimePoint SettledAt_ = Start;
  std::mt19937_64 Random_{11};
};

} // namespace cassiashed::balancing
