#include "cassiashed/balancing/crash_history.h"

#include <algorithm>

namespace cassiashed::balancing {

bool CrashHistory::recordCrash(std::uint64_t Content,
                               const std::string &EndpointId, TimePoint Now) {
  Record &Entry = Contents_[Content];
  if (!Entry.Endpoints.empty() && Entry.Last + Options_.Memory < Now)
    Entry.Endpoints.clear();
  Entry.Last = Now;
  const bool News = Entry.Endpoints.insert(EndpointId).second;
  if (Contents_.size() > Options_.MaxContents)
    dropOldest();
  return News;
}

bool CrashHistory::isRefused(std::uint64_t Content, TimePoint Now) const {
  const auto Found = Contents_.find(Content);
  return Found != Contents_.end() &&
         Found->second.Endpoints.size() >= Options_.RefusedAfter &&
         Found->second.Last + Options_.Memory >= Now;
}

std::size_t CrashHistory::crashCount(std::uint64_t Content) const {
  const auto Found = Contents_.find(Content);
  return Found == Contents_.end() ? 0 : Found->second.Endpoints.size();
}

void CrashHistory::dropOldest() {
  const auto Oldest =
      std::min_element(Contents_.begin(), Contents_.end(),
                       [](const auto &Left, const auto &Right) {
                         return Left.second.Last < Right.second.Last;
                       });
  Contents_.erase(Oldest);
}

} // namespace cassiashed::balancing
