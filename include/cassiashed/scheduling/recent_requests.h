#pragma once

#include "cassiashed/base/clock.h"
#include "cassiashed/scheduling/grant.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

/// Cache of attempts that ended recently.
namespace cassiashed::scheduling {

/// Keeps the answers for attempts that have ended, so that late or duplicate
/// messages do not run an attempt a second time. Bounded by age and by number
/// of entries; the oldest entries are removed first.
class RecentRequests {
public:
  RecentRequests(Duration Retention, std::size_t MaxEntries)
      : Retention_(Retention), MaxEntries_(MaxEntries) {}

  void add(std::uint64_t KeyHash, RefusalReason Answer, TimePoint Now);
  std::optional<RefusalReason> find(std::uint64_t KeyHash, TimePoint Now);
  std::size_t size() const { return Answers_.size(); }

private:
  void removeExpired(TimePoint Now);

  struct Entry {
    std::uint64_t KeyHash;
    TimePoint ExpiresAt;
  };

  Duration Retention_;
  std::size_t MaxEntries_;
  std::deque<Entry> Expiries_;
  std::unordered_map<std::uint64_t, RefusalReason> Answers_;
};

} // namespace cassiashed::scheduling
