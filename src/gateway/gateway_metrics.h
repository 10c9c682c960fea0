#pragma once

#include "cassiashed/base/clock.h"
#include <memory>
#include <string>
#include <string_view>

namespace cassiashed::gateway {

/// Counters and histograms of one gateway. The number of label sets is bounded.
class GatewayMetrics {
public:
  virtual ~GatewayMetrics() = default;

  virtual void countOutcome(std::string_view Kind,
                            std::string_view Outcome) = 0;
  /// Counts a request of a model service by its route, the length of its prompt
  /// and its outcome.
  virtual void countPrompt(std::string_view Route, double PromptTokens,
                           std::string_view Outcome) = 0;
  virtual void countAttempt(std::string_view Result) = 0;
  /// Counts a caller's connection that ended; `Unread`: with bytes of the
  /// caller that were not read.
  virtual void countConnectionEnd(std::string_view End, bool Unread) = 0;
  virtual void observeFirstByte(std::string_view Kind,
                                std::string_view Workspace, Duration Delay) = 0;
  /// Records the predicted and the actual time to the first token.
  virtual void observePrediction(double PredictedMs, double ActualMs) = 0;
  /// Records the age of this node's copy of the endpoints' table when an update
  /// arrived. The update itself is at most that old.
  virtual void observeUpdateAge(Duration Age) = 0;
  virtual void setGauge(std::string_view Name, double Value) = 0;
  /// All metrics in the Prometheus text format.
  virtual std::string format() const = 0;
};

std::unique_ptr<GatewayMetrics> makeGatewayMetrics();

} // namespace cassiashed::gateway
