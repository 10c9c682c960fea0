#include "cassiashed/scheduling/recent_requests.h"

namespace cassiashed::scheduling {

void RecentRequests::add(std::uint64_t KeyHash, RefusalReason Answer,
                         TimePoint Now) {
  removeExpired(Now);
  if (!Answers_.try_emplace(KeyHash, Answer).second)
    return;
  Expiries_.push_back({KeyHash, Now + Retention_});
  while (Expiries_.size() > MaxEntries_) {
    Answers_.erase(Expiries_.front().KeyHash);
    Expiries_.pop_front();
  }
}

std::optional<RefusalReason> RecentRequests::find(std::uint64_t KeyHash,
                                                  TimePoint Now) {
  removeExpired(Now);
  const auto Found = Answers_.find(KeyHash);
  if (Found == Answers_.end())
    return std::nullopt;
  return Found->second;
}

void RecentRequests::removeExpired(TimePoint Now) {
  while (!Expiries_.empty() && Expiries_.front().ExpiresAt <= Now) {
    Answers_.erase(Expiries_.front().KeyHash);
    Expiries_.pop_front();
  }
}

} // namespace cassiashed::scheduling
