#include "cassiashed/balancing/crash_history.h"

#include <algorithm>

namespace cassiashed::balancing {

bool CrashHistory::recordCrash(std::uint64_t ContentHash,
                               const std::string &EndpointId, TimePoint Now) {
  Record &Entry = Contents_[ContentHash];
  if (!Entry.Endpoints.empty() && Entry.LastCrash + Options_.Retention < Now)
    Entry.Endpoints.clear();
  Entry.LastCrash = Now;
  const bool IsNew = Entry.Endpoints.insert(EndpointId).second;
  if (Contents_.size() > Options_.MaxContents)
    dropOldest();
  return IsNew;
}

bool CrashHistory::isRefused(std::uint64_t ContentHash, TimePoint Now) const {
  const auto Found = Contents_.find(ContentHash);
  return Found != Contents_.end() &&
         Found->second.Endpoints.size() >= Options_.RefusalThreshold &&
         Found->second.LastCrash + Options_.Retention >= Now;
}

std::size_t
CrashHistory::crashedEndpointCount(std::uint64_t ContentHash) const {
  const auto Found = Contents_.find(ContentHash);
  return Found == Contents_.end() ? 0 : Found->second.Endpoints.size();
}

void CrashHistory::dropOldest() {
  const auto Oldest =
      std::min_element(Contents_.begin(), Contents_.end(),
                       [](const auto &Left, const auto &Right) {
                         return Left.second.LastCrash < Right.second.LastCrash;
                       });
  Contents_.erase(Oldest);
}

} // namespace cassiashed::balancing
