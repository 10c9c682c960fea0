#pragma once

#include "cassiashed/balancing/load_estimate.h"
#include "gateway/node_messages.h"
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cassiashed::gateway {

/// Newest load that each endpoint stated, until it was sent to other nodes.
class StatedLoadQueue {
public:
  void put(const std::string &EndpointId, const balancing::StatedLoad &Stated,
           TimePoint Now) {
    Newest_[EndpointId] = {Stated, Now};
  }
  /// Removes and returns at most `Most` loads, going on after the endpoint of
  /// the last one: otherwise the first endpoints that answer often would keep
  /// the others' loads from being sent.
  std::vector<StatedLoadReport> take(std::size_t Most, TimePoint Now) {
    std::vector<StatedLoadReport> Result;
    while (!Newest_.empty() && Result.size() < Most) {
      auto Next = Newest_.upper_bound(LastTaken_);
      if (Next == Newest_.end())
        Next = Newest_.begin();
      const auto &[Stated, StatedAt] = Next->second;
      Result.push_back(
          {Next->first, Stated.Running, Stated.Waiting, Stated.Slots,
           std::chrono::duration_cast<Duration>(Now - StatedAt).count()});
      LastTaken_ = Next->first;
      Newest_.erase(Next);
    }
    return Result;
  }

private:
  std::map<std::string, std::pair<balancing::StatedLoad, TimePoint>> Newest_;
  std::string LastTaken_;
};

} // namespace cassiashed::gateway
