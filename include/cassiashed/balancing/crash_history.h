#pragma once

#include "cassiashed/base/clock.h"
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>

namespace cassiashed::balancing {

struct CrashHistoryOptions {
  /// Number of crashed endpoints from which a content is refused.
  std::size_t RefusalThreshold = 3;
  Duration Retention{60000};      ///< of a content, after its last crash
  std::size_t MaxContents = 4096; ///< the oldest are removed beyond this
};

/// Remembers request contents that were running on endpoints when these
/// crashed. Matters when a request crashes every endpoint that runs it, and its
/// caller retries it with new ids at any node. A content that completes once is
/// removed. Not thread-safe.
class CrashHistory {
public:
  explicit CrashHistory(CrashHistoryOptions Options = {}) : Options_(Options) {}

  /// Returns false if this crash was known already.
  bool recordCrash(std::uint64_t ContentHash, const std::string &EndpointId,
                   TimePoint Now);
  void recordCompletion(std::uint64_t ContentHash) {
    Contents_.erase(ContentHash);
  }
  bool isRefused(std::uint64_t ContentHash, TimePoint Now) const;
  std::size_t crashedEndpointCount(std::uint64_t ContentHash) const;

private:
  struct Record {
    std::set<std::string> Endpoints;
    TimePoint LastCrash;
  };
  void dropOldest();

  CrashHistoryOptions Options_;
  std::unordered_map<std::uint64_t, Record> Contents_;
};

} // namespace cassiashed::balancing
