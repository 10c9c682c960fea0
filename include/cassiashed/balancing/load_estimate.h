#pragma once

#include "cassiashed/balancing/endpoint_health.h"
#include "cassiashed/base/clock.h"
#include <cstdint>
#include <random>
#include <unordered_map>
#include <vector>

namespace cassiashed::balancing {

/// Requests at an endpoint as it stated them in an answer.
struct StatedLoad {
  int Running = 0;
  int Waiting = 0;
  int Slots = 0;
};

/// Requests at an endpoint that this node does not know otherwise.
struct UnknownRequests {
  double Kept = 0;     ///< that the endpoint stated and still has
  double Replaced = 0; ///< that have ended since; about as many have followed
  bool IsStated = false;
};

/// How long requests took at an endpoint.
struct MeasuredDuration {
  double MeanMs = 0; ///< moving average; 0: none measured
  int Answers = 0;
};

struct LoadEstimateOptions {
  /// Age from which a stated load is ignored.
  Duration MaxAge{3000};
  /// Time without sends to an endpoint after it rejected a request as full:
  /// about the time in which some of its requests end.
  Duration RejectionHold{60};
  /// Duration of requests before the first one was answered. Short, since a
  /// stated load that is trusted for too long makes all nodes choose the same
  /// endpoint.
  double FirstDurationMs = 50;
};

/// What endpoints stated about their load, aged by how long their requests
/// take. Matters when many nodes send to the same endpoints without reports of
/// each other's requests. Endpoints are identified by their numbers. Not
/// thread-safe.
class LoadEstimate {
public:
  explicit LoadEstimate(LoadEstimateOptions Options = {}) : Options_(Options) {}

  /// Records a load that was stated at `StatedAt`, when this node knew of
  /// `KnownRequests` requests there. An older one than recorded is ignored.
  void recordStated(std::uint32_t Number, const StatedLoad &Stated,
                    int KnownRequests, TimePoint StatedAt);
  /// Records that the endpoint was full.
  void recordRejection(std::uint32_t Number, TimePoint Now);
  /// Records how long a request was at the endpoint. Only answers without an
  /// error of the endpoint count: quick failures do not make it fast.
  void recordDuration(std::uint32_t Number, Duration Taken,
                      EndpointOutcome Outcome);
  void remove(std::uint32_t Number) { Records_.erase(Number); }

  UnknownRequests unknownRequests(std::uint32_t Number, TimePoint Now) const;
  MeasuredDuration duration(std::uint32_t Number) const;
  /// Number of endpoints whose stated load is recent enough to be used.
  std::size_t statedCount(TimePoint Now) const;
  bool isHeld(std::uint32_t Number, TimePoint Now) const;

private:
  struct Record {
    TimePoint StatedAt{}; ///< zero: never
    double Unknown = 0;
    MeasuredDuration Taken;
    TimePoint HeldUntil{};
  };

  LoadEstimateOptions Options_;
  std::unordered_map<std::uint32_t, Record> Records_;
};

/// An endpoint to choose from.
struct LoadedEndpoint {
  double Slots = 1;
  double KnownRequests = 0;
  double PenaltyPerSlot = 0; ///< counts as requests per slot
  UnknownRequests Unknown;
  MeasuredDuration Taken;
};

/// Chooses an endpoint so that the sum of all nodes' choices fills the
/// endpoints evenly. The requests that replaced stated ones are assumed to have
/// filled the emptiest endpoints up to a common level. Of the endpoints below
/// that level the one with the fewest known requests is chosen, which are never
/// out of date; faster endpoints are preferred, and ties are broken at random.
/// Fresh knowledge thus gives the emptiest endpoint, old knowledge a choice
/// among many. Returns the index, or the number of endpoints if there are none.
std::size_t chooseEvenly(const std::vector<LoadedEndpoint> &Endpoints,
                         std::mt19937_64 &Random);

} // namespace cassiashed::balancing
