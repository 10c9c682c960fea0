#pragma once

#include "cassiashed/base/clock.h"
#include "cassiashed/engine/engine_spec.h"
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cassiashed::duties {

/// Limits of a service's replicas in each zone.
struct ScalingLimits {
  int Minimum = 0;
  int Maximum = 0;
  Duration Boot{0}; ///< from the order until a new replica serves
};

/// Time that one request takes of an engine whose batch is full.
double engineTimeMs(const engine::EngineSpec &Spec, double PromptTokens,
                    double OutputTokens);

/// What the endpoints' table and the operator state about a zone.
struct ZoneReplicas {
  std::string Zone;
  int Registered = 0; ///< replicas that are not leaving
  bool InService = true;
};

struct ReplicaOrder {
  std::string Zone;
  int Count = 0;
};

/// Number of replicas that a service needs. Follows the work that arrived: the
/// most within a hold time, since callers wait for a boot when replicas are
/// missing, and only cost is lost when there are too many. Not thread-safe.
class ReplicaPlanner {
public:
  /// Records a request that was sent to the service, by its engine time.
  void recordWork(double EngineMs, const ScalingLimits &Limits, TimePoint Now);

  /// Orders that are due. Without enough knowledge of the load there are none:
  /// the last orders hold.
  std::vector<ReplicaOrder> dueOrders(const std::vector<ZoneReplicas> &Zones,
                                      const ScalingLimits &Limits,
                                      TimePoint Now);
  /// The order of `Zone` was sent; `Accepted`: the platform confirmed it.
  void recordOrder(const ReplicaOrder &Order, bool Accepted, TimePoint Now);
  /// Part of the work up to now was not seen: no orders of fewer replicas until
  /// a hold time has passed.
  void recordGap(TimePoint Now) { GapAt_ = Now; }
  /// Forgets the orders, not the load. To be called when this node takes over.
  void beginTerm();

  /// Replicas that the recent peak of the work takes, as a fraction; nothing
  /// until the load was seen for long enough.
  std::optional<double> wanted(const ScalingLimits &Limits, TimePoint Now);
  /// Intervals of work that are remembered.
  std::size_t keptBins() const { return Bins_.size(); }

private:
  struct Bin {
    TimePoint Start;
    double EngineMs = 0;
  };
  struct ZoneOrderState {
    std::optional<int> Ordered; ///< accepted
    TimePoint SentAt;
    bool HasSent = false;
    bool IsUnclear = false; ///< the last one was not confirmed
  };
  static Duration holdTime(const ScalingLimits &Limits);
  static Duration rateWindow(const ScalingLimits &Limits);
  /// Forgets work on which no order depends any more.
  void discardOld(const ScalingLimits &Limits, TimePoint Now);
  /// Engines that the work of the busiest known interval of this length took.
  double peakUse(Duration Window) const;

  std::deque<Bin> Bins_;
  std::optional<TimePoint> FirstWorkAt_;
  TimePoint GapAt_; ///< end of the last gap in what was seen
  std::map<std::string, ZoneOrderState> Orders_;
};

} // namespace cassiashed::duties
