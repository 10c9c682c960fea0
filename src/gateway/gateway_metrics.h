#pragma once

#include "cassiashed/base/clock.h"
#include <memory>
#include <string>
#include <string_view>

namespace cassiashed::gateway {

/// Counters and histograms of one gateway. Label sets are bounded.
class GatewayMetrics {
public:
  virtual ~GatewayMetrics() = default;

  virtual void countOutcome(std::string_view Kind,
                            std::string_view Outcome) = 0;
  /// Counts a request of a model service by its route and the size of its
  /// prompt.
  virtual void countPrompt(std::string_view Route, double PromptTokens,
                           std::string_view Outcome) = 0;
  virtual void countAttempt(std::string_view Result) = 0;
  virtual void observeFirstByte(std::string_view Kind,
                                std::string_view Workspace, Duration Delay) = 0;
  /// Predicted against seen time to the first token.
  virtual void observePrediction(double PredictedMs, double SeenMs) = 0;
  /// Age of the copy of the endpoints' table when news for it arrived: the
  /// news is at most as old.
  virtual void observeNewsAge(Duration Age) = 0;
  virtual void setGauge(std::string_view Name, double Value) = 0;
  /// All metrics in the Prometheus text format.
  virtual std::string format() const = 0;
};

std::unique_ptr<GatewayMetrics> makeGatewayMetrics();

} // namespace cassiashed::gateway
