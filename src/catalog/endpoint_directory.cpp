#include "cassiashed/catalog/endpoint_directory.h"

#include <algorithm>
#include <array>

namespace cassiashed::catalog {

std::string_view nameOf(EndpointState State) {
  static constexpr std::array<std::string_view, 2> Names = {"ready",
                                                            "draining"};
  return Names[static_cast<std::size_t>(State)];
}

EndpointDirectory::Change EndpointDirectory::put(const Endpoint &Registered,
                                                 TimePoint Now) {
  EndpointRef &Known = Endpoints_[Registered.Id];
  const bool Restarted =
      Known && (Known->Entry.StartedAtUnixMs != Registered.StartedAtUnixMs ||
                Known->Entry.address() != Registered.address());
  if (Known && !Restarted) {
    Known->Entry = Registered;
    if (Registered.ColdRemaining.count() > 0)
      Known->ColdUntil =
          std::max(Known->ColdUntil, Now + Registered.ColdRemaining);
    return Change::Updated;
  }
  if (Known)
    Known->IsRegistered = false;
  const bool Existed = Known != nullptr;
  Known = std::make_shared<KnownEndpoint>();
  Known->Entry = Registered;
  Known->Number = NextNumber_++;
  Known->ColdUntil = Now + Registered.ColdRemaining;
  return Existed ? Change::Restarted : Change::Appeared;
}

bool EndpointDirectory::remove(const std::string &Id) {
  const auto Found = Endpoints_.find(Id);
  if (Found == Endpoints_.end())
    return false;
  Found->second->IsRegistered = false;
  Endpoints_.erase(Found);
  return true;
}

void EndpointDirectory::markCold(const EndpointRef &Target, Duration Remaining,
                                 TimePoint Now) {
  Target->ColdUntil = std::max(Target->ColdUntil, Now + Remaining);
}

void EndpointDirectory::pause(const EndpointRef &Target, Duration Pause,
                              TimePoint Now) {
  Target->PausedUntil = std::max(Target->PausedUntil, Now + Pause);
}

void EndpointDirectory::setZoneOut(const std::string &Zone, bool Out) {
  if (Out)
    ZonesOut_.insert(Zone);
  else
    ZonesOut_.erase(Zone);
}

bool EndpointDirectory::isZoneOut(const std::string &Zone) const {
  return ZonesOut_.count(Zone) != 0;
}

bool EndpointDirectory::isUsable(const KnownEndpoint &Target) const {
  return Target.IsRegistered && !Target.IsLeaving &&
         Target.Entry.State == EndpointState::Ready &&
         !isZoneOut(Target.Entry.Zone);
}

std::vector<EndpointRef>
EndpointDirectory::findUsable(const std::string &Service) const {
  std::vector<EndpointRef> Result;
  for (const auto &[Id, Known] : Endpoints_)
    if (Known->Entry.Service == Service && isUsable(*Known))
      Result.push_back(Known);
  return Result;
}

EndpointRef EndpointDirectory::find(const std::string &Id) const {
  const auto Found = Endpoints_.find(Id);
  return Found == Endpoints_.end() ? nullptr : Found->second;
}

} // namespace cassiashed::catalog
