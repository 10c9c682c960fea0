#pragma once

#include "cassiashed/balancing/dispatcher.h"
#include <algorithm>
#include <map>
#include <string>

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

  /// Carries out what happened until `Now`: first tokens and ends.
  void settle(TimePoint Now) {
    while (!Events_.empty() && Events_.begin()->first <= Now) {
      const auto [At, Event] = *Events_.begin();
      Events_.erase(Events_.begin());
      for (FleetLoad *Each : {&Truth_, Event.View})
        if (Event.IsEnd)
          Each->finish(Event.Id, At);
        else
          Each->markStarted(Event.Id, At);
    }
  }

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
  /// Returns the time to its first token, in ms.
  double send(const PlacementRequest &Work, const Dispatch &Chosen,
              FleetLoad &View, Duration StreamFor, TimePoint Now) {
    Assignment Sent;
    Sent.Request = Work;
    Sent.Request.Urgent = Chosen.Urgent;
    double SeenMs = 0;
    for (std::size_t Index = 0; Index < Chosen.Endpoints.size(); ++Index) {
      const std::string &Engine = Chosen.Endpoints[Index]->Entry.Id;
      Sent.Parts.push_back({Engine, Chosen.Parts[Index]});
      const engine::EngineJob Job =
          makeJob(Sent.Request, Chosen.Parts[Index], Index == 0, Now, {});
      SeenMs = std::max(SeenMs, Truth_.timeline(Engine, *Model_.Engine)
                                    .forecast(Job, Now)
                                    .FirstTokenMs);
    }
    Truth_.assign(Sent, Now);
    if (&View != &Truth_)
      View.assign(Sent, Now);
    const TimePoint Seen =
        Now + std::chrono::milliseconds(static_cast<int>(SeenMs));
    Events_.emplace(Seen, Event{Work.Id, false, &View});
    Events_.emplace(Seen + StreamFor, Event{Work.Id, true, &View});
    return SeenMs;
  }

private:
  struct Event {
    std::uint64_t Id = 0;
    bool IsEnd = false;
    FleetLoad *View = nullptr;
  };

  catalog::Service Model_;
  catalog::EndpointDirectory Directory_;
  EndpointHealth Health_;
  ColdShare Cold_;
  FleetLoad Truth_;
  std::multimap<TimePoint, Event> Events_;
  std::mt19937_64 Random_{11};
};

} // namespace cassiashed::balancing
