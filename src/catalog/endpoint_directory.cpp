#include "cassiashed/catalog/endpoint_directory.h"

#include <algorithm>
#include <array>

namespace cassiashed::catalog {

std::string_view nameOf(EndpointState State) {
  static constexpr std::array<std::string_view, 2> Names = {"ready",
                                                            "draining"};
  return Names[static_cast<std::size_t>(State)];
}

EndpointDirectory::Change EndpointDirectory::put(const Endpoint &Entry,
                                                 TimePoint Now) {
  EndpointRef &Known = Endpoints_[Entry.Id];
  const bool Restarted =
      Known && (Known->Entry.StartedAtUnixMs != Entry.StartedAtUnixMs ||
                Known->Entry.address() != Entry.address());
  if (Known && !Restarted) {
    Known->Entry = Entry;
    if (Entry.ColdFor.count() > 0)
      Known->ColdUntil = std::max(Known->ColdUntil, Now + Entry.ColdFor);
    return Change::Updated;
  }
  if (Known)
    Known->IsRegistered = false;
  const bool Existed = Known != nullptr;
  Known = std::make_shared<KnownEndpoint>();
  Known->Entry = Entry;
  Known->Number = NextNumber_++;
  Known->ColdUntil = Now + Entry.ColdFor;
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

void EndpointDirectory::markCold(const EndpointRef &Which, Duration Left,
                                 TimePoint Now) {
  Which->ColdUntil = std::max(Which->ColdUntil, Now + Left);
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

bool EndpointDirectory::isUsable(const KnownEndpoint &Which) const {
  return Which.IsRegistered && Which.Entry.State == EndpointState::Ready &&
         !isZoneOut(Which.Entry.Zone);
}

std::vector<EndpointRef>
EndpointDirectory::usable(const std::string &Service) const {
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
