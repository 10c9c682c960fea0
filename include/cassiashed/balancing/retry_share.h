#pragma once

#include "cassiashed/base/clock.h"
#include <deque>
#include <string>
#include <unordered_map>

namespace cassiashed::balancing {

struct RetryShareOptions {
  Duration Window{10000};
  double Ratio = 0.2; ///< retries per first attempt, all nodes together
  double Slack = 100; ///< further retries, all nodes together
};

/// This node's share of the retry budget of each service. Matters when
/// endpoints fail part of their requests, or all requests of a failed endpoint
/// are retried at once.
///
/// Every node allows `Ratio` of its own first attempts plus an equal part of
/// `Slack`, so the sum over all nodes stays within the budget without messages.
/// Half of the budget stays unused: a restarted process does not know what it
/// has spent. Not thread-safe.
class RetryShare {
public:
  explicit RetryShare(RetryShareOptions Options = {}) : Options_(Options) {}

  void setOptions(RetryShareOptions Options) { Options_ = Options; }

  void recordFirstAttempt(const std::string &Service, TimePoint Now);
  /// Whether this node's share, one of `NodeCount`, allows a retry.
  bool canSpendRetry(const std::string &Service, int NodeCount, TimePoint Now);
  /// Takes one retry from this node's share, one of `NodeCount`. Returns false
  /// if the share is used up.
  bool trySpendRetry(const std::string &Service, int NodeCount, TimePoint Now);

private:
  struct Window {
    std::deque<TimePoint> FirstAttempts;
    std::deque<TimePoint> Retries;
  };
  void dropExpired(std::deque<TimePoint> &Times, TimePoint Now) const;

  RetryShareOptions Options_;
  std::unordered_map<std::string, Window> Windows_;
};

} // namespace cassiashed::balancing
