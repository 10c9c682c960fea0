#include "cassiashed/balancing/fleet_load.h"

#include <algorithm>

namespace cassiashed::balancing {

engine::EngineTimeline &FleetLoad::timeline(const std::string &EndpointId,
                                            const engine::EngineSpec &Spec) {
  auto &Entry = Timelines_[EndpointId];
  if (!Entry)
    Entry = std::make_unique<engine::EngineTimeline>(Spec);
  return *Entry;
}

int FleetLoad::outstanding(const std::string &EndpointId) const {
  const auto Found = Outstanding_.find(EndpointId);
  return Found == Outstanding_.end() ? 0 : Found->second;
}

void FleetLoad::assign(const Assignment &Work, TimePoint Now) {
  finish(Work.Request.Id, Now);
  for (std::size_t Index = 0; Index < Work.Parts.size(); ++Index) {
    const AssignedPromptPart &Part = Work.Parts[Index];
    ++Outstanding_[Part.EndpointId];
    const auto Found = Timelines_.find(Part.EndpointId);
    if (Found != Timelines_.end())
      Found->second->add(
          makeJob(Work.Request, Part.Part, Index == 0, Now, Options_), Now);
  }
  const TimePoint ExpiresAt =
      Now +
      std::chrono::duration_cast<TimePoint::duration>(
          std::chrono::duration<double, std::milli>(Work.Request.DeadlineMs));
  Active_[Work.Request.Id] = {Work, ExpiresAt};
}

const std::string *FleetLoad::decodeEndpointOf(std::uint64_t Id) const {
  const auto Found = Active_.find(Id);
  if (Found == Active_.end() || Found->second.Work.Parts.empty())
    return nullptr;
  return &Found->second.Work.Parts.front().EndpointId;
}

void FleetLoad::markStarted(std::uint64_t Id, TimePoint Now) {
  const auto Found = Active_.find(Id);
  if (Found == Active_.end())
    return;
  const std::vector<AssignedPromptPart> &Parts = Found->second.Work.Parts;
  for (std::size_t Index = 0; Index < Parts.size(); ++Index) {
    const auto Timeline = Timelines_.find(Parts[Index].EndpointId);
    if (Timeline == Timelines_.end())
      continue;
    // The helpers have read their parts, or the first token would not be here.
    if (Index == 0)
      Timeline->second->markFirstToken(Id, Now);
    else
      Timeline->second->remove(Id, Now);
  }
}

void FleetLoad::removeParts(const Assignment &Work, TimePoint Now) {
  for (const AssignedPromptPart &Part : Work.Parts) {
    const auto Count = Outstanding_.find(Part.EndpointId);
    if (Count != Outstanding_.end() && --Count->second <= 0)
      Outstanding_.erase(Count);
    const auto Timeline = Timelines_.find(Part.EndpointId);
    if (Timeline != Timelines_.end())
      Timeline->second->remove(Work.Request.Id, Now);
  }
}

void FleetLoad::finish(std::uint64_t Id, TimePoint Now) {
  const auto Found = Active_.find(Id);
  if (Found == Active_.end())
    return;
  removeParts(Found->second.Work, Now);
  Active_.erase(Found);
}

void FleetLoad::finishAllFromNode(std::uint32_t Origin, TimePoint Now) {
  std::erase_if(Active_, [&](const auto &Entry) {
    if (Entry.second.Work.Origin != Origin)
      return false;
    removeParts(Entry.second.Work, Now);
    return true;
  });
}

void FleetLoad::removeEndpoint(const std::string &EndpointId) {
  Timelines_.erase(EndpointId);
  Outstanding_.erase(EndpointId);
}

void FleetLoad::expire(TimePoint Now) {
  std::erase_if(Active_, [&](const auto &Entry) {
    if (Entry.second.ExpiresAt > Now)
      return false;
    removeParts(Entry.second.Work, Now);
    return true;
  });
}

} // namespace cassiashed::balancing
