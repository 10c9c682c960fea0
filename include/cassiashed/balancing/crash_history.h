#pragma once

#include "cassiashed/base/clock.h"
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>

namespace cassiashed::balancing {

struct CrashHistoryOptions {
  /// Endpoints that a content may crash before it is refused.
  std::size_t RefusedAfter = 3;
  Duration Memory{60000};         ///< after the last crash
  std::size_t MaxContents = 4096; ///< the oldest are forgotten beyond
};

/// Contents that were running on endpoints when these died. Load: a request
/// that crashes every endpoint that runs it and is sent again with a new id,
/// at any node. A content that completed once is forgotten. Not thread-safe.
class CrashHistory {
public:
  explicit CrashHistory(CrashHistoryOptions Options = {}) : Options_(Options) {}

  /// Returns whether this was news.
  bool recordCrash(std::uint64_t Content, const std::string &EndpointId,
                   TimePoint Now);
  void recordCompletion(std::uint64_t Content) { Contents_.erase(Content); }
  bool isRefused(std::uint64_t Content, TimePoint Now) const;
  std::size_t crashCount(std::uint64_t Content) const;

private:
  struct Record {
    std::set<std::string> Endpoints;
    TimePoint Last;
  };
  void dropOldest();

  CrashHistoryOptions Options_;
  std::unordered_map<std::uint64_t, Record> Contents_;
};

} // namespace cassiashed::balancing
