#pragma once

#include "cassiashed/base/clock.h"
#include <deque>
#include <string>
#include <unordered_map>

/// Limits that hold for the sum over all nodes, kept by a share per node.
namespace cassiashed::balancing {

struct RetryShareOptions {
  Duration Window{10000};
  double Ratio = 0.2; ///< repeats allowed per first attempt, of all nodes
  double Slack = 100; ///< repeats allowed besides, of all nodes together
};

/// This node's share of the retry budget of each service. Load: endpoints that
/// fail part of their requests, or all requests of a failed endpoint at once.
///
/// Every node allows `Ratio` of its own first attempts plus its part of
/// `Slack`, so the sum stays within the budget without any message. Half of
/// the budget stays unused: a process that was restarted has forgotten what it
/// spent. Not thread-safe.
class RetryShare {
public:
  explicit RetryShare(RetryShareOptions Options = {}) : Options_(Options) {}

  void setOptions(RetryShareOptions Options) { Options_ = Options; }

  void recordFirstAttempt(const std::string &Service, TimePoint Now);
  /// Takes one repeat from the share of `NodeCount` nodes. False: none left.
  bool tryConsume(const std::string &Service, int NodeCount, TimePoint Now);

private:
  struct Window {
    std::deque<TimePoint> Firsts;
    std::deque<TimePoint> Repeats;
  };
  void dropOld(std::deque<TimePoint> &Times, TimePoint Now) const;

  RetryShareOptions Options_;
  std::unordered_map<std::string, Window> Windows_;
};

} // namespace cassiashed::balancing
