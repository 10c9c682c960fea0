#include "cassiashed/balancing/load_estimate.h"

#include <algorithm>
#include <cmath>

namespace cassiashed::balancing {
namespace {

/// Weight of the newest duration in the moving average.
constexpr double DurationWeight = 0.2;
/// Least age of a stated load, in ms: requests of others that were on their way
/// when the answer was sent.
constexpr double TransitMs = 3;
/// Most unknown requests per registered slot that are believed. Endpoints queue
/// a few per slot; a larger value is a fault.
constexpr double MaxUnknownPerSlot = 8;
/// Share of the mean unknown load that an endpoint has at least, whatever it
/// states: one that always states 0 then gets a bounded share of the requests.
constexpr double LeastShareOfMean = 0.5;
/// Range of random load, in requests per slot, that breaks ties.
constexpr double TieRange = 0.1;
/// Number of answers from which half of a measured duration is believed; single
/// requests differ by much more than endpoints.
constexpr double HalfBelievedAnswers = 4;
constexpr double MaxSlowness = 4;

double toMs(TimePoint::duration Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

} // namespace

void LoadEstimate::recordStated(std::uint32_t Number, const StatedLoad &Stated,
                                int KnownRequests, TimePoint StatedAt) {
  Record &Entry = Records_[Number];
  if (StatedAt <= Entry.StatedAt || Stated.Slots <= 0)
    return;
  const double Requests = static_cast<double>(Stated.Running) + Stated.Waiting;
  Entry.StatedAt = StatedAt;
  Entry.Unknown = std::max(0.0, Requests - KnownRequests);
}

void LoadEstimate::recordRejection(std::uint32_t Number, TimePoint Now) {
  Records_[Number].HeldUntil = Now + Options_.RejectionHold;
}

void LoadEstimate::recordDuration(std::uint32_t Number, Duration Taken,
                                  EndpointOutcome Outcome) {
  if (Outcome != EndpointOutcome::Answered)
    return;
  MeasuredDuration &Mean = Records_[Number].Taken;
  const auto TakenMs =
      static_cast<double>(std::max(Taken, Duration(1)).count());
  ++Mean.Answers;
  Mean.MeanMs +=
      std::max(DurationWeight, 1.0 / Mean.Answers) * (TakenMs - Mean.MeanMs);
}

MeasuredDuration LoadEstimate::duration(std::uint32_t Number) const {
  const auto Found = Records_.find(Number);
  return Found == Records_.end() ? MeasuredDuration() : Found->second.Taken;
}

UnknownRequests LoadEstimate::unknownRequests(std::uint32_t Number,
                                              TimePoint Now) const {
  UnknownRequests Result;
  const auto Found = Records_.find(Number);
  if (Found == Records_.end() || Found->second.StatedAt == TimePoint() ||
      Now - Found->second.StatedAt >= Options_.MaxAge)
    return Result;
  const Record &Entry = Found->second;
  const double AgeMs = std::max(0.0, toMs(Now - Entry.StatedAt)) + TransitMs;
  const double DurationMs =
      Entry.Taken.Answers > 0 ? Entry.Taken.MeanMs : Options_.FirstDurationMs;
  Result.Kept = Entry.Unknown * std::exp(-AgeMs / DurationMs);
  Result.Replaced = Entry.Unknown - Result.Kept;
  Result.IsStated = true;
  return Result;
}

std::size_t LoadEstimate::statedCount(TimePoint Now) const {
  return static_cast<std::size_t>(
      std::count_if(Records_.begin(), Records_.end(), [&](const auto &Entry) {
        return unknownRequests(Entry.first, Now).IsStated;
      }));
}

bool LoadEstimate::isHeld(std::uint32_t Number, TimePoint Now) const {
  const auto Found = Records_.find(Number);
  return Found != Records_.end() && Found->second.HeldUntil > Now;
}

namespace {

/// Durations at each endpoint relative to the mean of all.
std::vector<double> slownesses(const std::vector<LoadedEndpoint> &Endpoints) {
  double Sum = 0;
  int Measured = 0;
  for (const LoadedEndpoint &Endpoint : Endpoints)
    if (Endpoint.Taken.Answers > 0) {
      Sum += Endpoint.Taken.MeanMs;
      ++Measured;
    }
  std::vector<double> Result(Endpoints.size(), 1);
  for (std::size_t Index = 0; Index < Endpoints.size(); ++Index) {
    const MeasuredDuration &Taken = Endpoints[Index].Taken;
    const double Believed =
        Taken.Answers / (Taken.Answers + HalfBelievedAnswers);
    if (Taken.Answers > 0)
      Result[Index] =
          std::clamp(1 + Believed * (Taken.MeanMs * Measured / Sum - 1),
                     1 / MaxSlowness, MaxSlowness);
  }
  return Result;
}

/// The unknown requests of an endpoint as far as its slots make them plausible.
UnknownRequests boundUnknown(const LoadedEndpoint &Endpoint) {
  UnknownRequests Result = Endpoint.Unknown;
  const double Sum = Result.Kept + Result.Replaced;
  const double Most = MaxUnknownPerSlot * Endpoint.Slots;
  if (Sum > Most) {
    Result.Kept *= Most / Sum;
    Result.Replaced *= Most / Sum;
  }
  return Result;
}

} // namespace

std::size_t chooseEvenly(const std::vector<LoadedEndpoint> &Endpoints,
                         std::mt19937_64 &Random) {
  double StatedSlots = 0;
  double Unknown = 0;
  for (const LoadedEndpoint &Endpoint : Endpoints)
    if (Endpoint.Unknown.IsStated) {
      const UnknownRequests Stated = boundUnknown(Endpoint);
      StatedSlots += Endpoint.Slots;
      Unknown += Stated.Kept + Stated.Replaced;
    }
  const double MeanPerSlot = StatedSlots > 0 ? Unknown / StatedSlots : 0;
  struct Fill {
    double PerSlot = 0;
    std::size_t Index = 0;
  };
  std::vector<Fill> Fills;
  Fills.reserve(Endpoints.size());
  double Poured = 1; // the request to place, and those that others placed
  for (std::size_t Index = 0; Index < Endpoints.size(); ++Index) {
    const LoadedEndpoint &Endpoint = Endpoints[Index];
    const UnknownRequests Stated = boundUnknown(Endpoint);
    double Kept = Stated.Kept;
    if (Stated.IsStated) {
      Poured += Stated.Replaced;
      Kept = std::max(Kept, LeastShareOfMean * MeanPerSlot * Endpoint.Slots -
                                Stated.Replaced);
    } else {
      // A new endpoint, or one that has not answered for long, counts as
      // average: it must not attract the requests of all nodes.
      Kept = MeanPerSlot * Endpoint.Slots;
    }
    Fills.push_back({(Endpoint.KnownRequests + Kept) / Endpoint.Slots +
                         Endpoint.PenaltyPerSlot,
                     Index});
  }
  std::sort(Fills.begin(), Fills.end(),
            [](const Fill &Left, const Fill &Right) {
              return Left.PerSlot < Right.PerSlot;
            });
  // The level reaches the endpoints up to `Count`.
  std::size_t Count = 0;
  double Slots = 0;
  double Filled = 0;
  while (Count < Fills.size()) {
    const double PerSlot = Fills[Count].PerSlot;
    if (Count > 0 && PerSlot * Slots - Filled >= Poured)
      break;
    Slots += Endpoints[Fills[Count].Index].Slots;
    Filled += PerSlot * Endpoints[Fills[Count].Index].Slots;
    ++Count;
  }
  const std::vector<double> Slowness = slownesses(Endpoints);
  std::uniform_real_distribution<double> Tie(0, TieRange);
  std::size_t Best = Endpoints.size();
  double BestLoad = 0;
  for (std::size_t Position = 0; Position < Count; ++Position) {
    const std::size_t Index = Fills[Position].Index;
    const LoadedEndpoint &Endpoint = Endpoints[Index];
    const double Load =
        (Endpoint.KnownRequests / Endpoint.Slots + Tie(Random)) *
            Slowness[Index] +
        Endpoint.PenaltyPerSlot;
    if (Best < Endpoints.size() && Load >= BestLoad)
      continue;
    Best = Index;
    BestLoad = Load;
  }
  return Best;
}

} // namespace cassiashed::balancing
