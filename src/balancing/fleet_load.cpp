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

void FleetLoad::assign(const Assignment &Assigned, TimePoint Now) {
  if (OnNewRequest_ && Active_.count(Assigned.Request.Id) == 0)
    OnNewRequest_(Assigned);
  finish(Assigned.Request.Id, Now);
  for (std::size_t Index = 0; Index < Assigned.Parts.size(); ++Index) {
    const AssignedPromptPart &Part = Assigned.Parts[Index];
    ++Outstanding_[Part.EndpointId];
    const auto Found = Timelines_.find(Part.EndpointId);
    if (Found != Timelines_.end())
      Found->second->add(
          makeJob(Assigned.Request, Part.Part, Index == 0, Now, Options_), Now);
  }
  const TimePoint ExpiresAt =
      Now + std::chrono::duration_cast<TimePoint::duration>(
                std::chrono::duration<double, std::milli>(
                    Assigned.Request.DeadlineMs));
  Active_[Assigned.Request.Id] = {Assigned, ExpiresAt};
}

const std::string *FleetLoad::decodeEndpointOf(std::uint64_t Id) const {
  const auto Found = Active_.find(Id);
  if (Found == Active_.end() || Found->second.Assigned.Parts.empty())
    return nullptr;
  return &Found->second.Assigned.Parts.front().EndpointId;
}

void FleetLoad::markStarted(std::uint64_t Id, TimePoint Now) {
  const auto Found = Active_.find(Id);
  if (Found == Active_.end())
    return;
  const std::vector<AssignedPromptPart> &Parts = Found->second.Assigned.Parts;
  for (std::size_t Index = 0; Index < Parts.size(); ++Index) {
    const auto Timeline = Timelines_.find(Parts[Index].EndpointId);
    if (Timeline == Timelines_.end())
      continue;
    // The first token shows that the helpers have prefilled their parts.
    if (Index == 0)
      Timeline->second->markFirstToken(Id, Now);
    else
      Timeline->second->remove(Id, Now);
  }
}

void FleetLoad::removeParts(const Assignment &Assigned, TimePoint Now) {
  for (const AssignedPromptPart &Part : Assigned.Parts) {
    const auto Count = Outstanding_.find(Part.EndpointId);
    if (Count != Outstanding_.end() && --Count->second <= 0)
      Outstanding_.erase(Count);
    const auto Timeline = Timelines_.find(Part.EndpointId);
    if (Timeline != Timelines_.end())
      Timeline->second->remove(Assigned.Request.Id, Now);
  }
}

void FleetLoad::finish(std::uint64_t Id, TimePoint Now) {
  const auto Found = Active_.find(Id);
  if (Found == Active_.end())
    return;
  removeParts(Found->second.Assigned, Now);
  Active_.erase(Found);
}

void FleetLoad::finishAllFromNode(std::uint32_t Origin, TimePoint Now) {
  std::erase_if(Active_, [&](const auto &Entry) {
    if (Entry.second.Assigned.Origin != Origin)
      return false;
    removeParts(Entry.second.Assigned, Now);
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
    removeParts(Entry.second.Assigned, Now);
    return true;
  });
}

} // namespace cassiashed::balancing
