#pragma once

#include "cassiashed/base/clock.h"
#include "cassiashed/base/error.h"
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cassiashed {

/// Metrics of one node. Label sets are bounded: histograms exist for each
/// length class and for the workspaces named at construction; all other
/// workspaces share the label `other`, since prometheus-cpp keeps every label
/// set for the life of the process.
class Metrics {
public:
  virtual ~Metrics() = default;

  virtual void countAnswered(std::string_view Workspace,
                             std::string_view Class) = 0;
  virtual void countError(ErrorKind Kind, Ran Effect) = 0;
  virtual void countRetry() = 0;
  virtual void observeFirstToken(std::string_view Workspace,
                                 std::string_view Class, Duration Delay) = 0;
  virtual void observeTokenGap(std::string_view Class, Duration Delay) = 0;
  virtual void observeQueueWait(std::string_view Class, Duration Delay) = 0;
  virtual void setGauge(std::string_view Name, double Value) = 0;

  /// Workspaces that get histograms of their own, at most 20.
  virtual void nameWorkspaces(const std::vector<std::string> &Names) = 0;

  /// All metrics in the Prometheus text format.
  virtual std::string format() const = 0;
};

std::unique_ptr<Metrics> makeMetrics();

} // namespace cassiashed
