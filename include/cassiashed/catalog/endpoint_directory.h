#pragma once

#include "cassiashed/catalog/endpoint.h"
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cassiashed::catalog {

/// One incarnation of an endpoint. Requests in flight share it, so it may
/// outlive its removal from the directory.
struct KnownEndpoint {
  Endpoint Entry;
  std::uint32_t Number = 0; ///< unique within this process
  TimePoint ColdUntil;      ///< end of the limit on requests to cold endpoints
  bool IsRegistered = true; ///< false once it was removed or replaced
  bool IsLeaving = false;   ///< it said so in an answer
  TimePoint PausedUntil;    ///< it asked this node for no requests until then
};
using EndpointRef = std::shared_ptr<KnownEndpoint>;

/// The known endpoints and the zones that are out of service. Finds the
/// endpoints that may receive new requests. Not thread-safe.
///
/// ```cpp
/// Directory.put(RegisteredEndpoint, Now);
/// for (const EndpointRef &Candidate : Directory.findUsable("bookings"))
///   consider(Candidate);
/// ```
class EndpointDirectory {
public:
  /// Effect of `put`.
  enum class Change { None, Updated, Appeared, Restarted };

  /// Adds or updates an endpoint. A different start time or address means a
  /// new incarnation, which replaces the old one.
  Change put(const Endpoint &Registered, TimePoint Now);
  /// Returns false if the endpoint is unknown.
  bool remove(const std::string &Id);
  /// Records that the endpoint said that it leaves. Only a new incarnation
  /// receives requests again.
  void markLeaving(const EndpointRef &Target) { Target->IsLeaving = true; }
  /// Records that the endpoint accepts no request of this node for `Pause`.
  void pause(const EndpointRef &Target, Duration Pause, TimePoint Now);
  /// Extends the warm-up of an endpoint whose response states that it stays
  /// cold for `Remaining`.
  void markCold(const EndpointRef &Target, Duration Remaining, TimePoint Now);

  void setZoneOut(const std::string &Zone, bool Out);
  bool isZoneOut(const std::string &Zone) const;

  /// Endpoints of a service that may receive new requests.
  std::vector<EndpointRef> findUsable(const std::string &Service) const;
  /// Whether the endpoint is registered, ready and not leaving, and its zone in
  /// service.
  bool isUsable(const KnownEndpoint &Target) const;
  EndpointRef find(const std::string &Id) const;
  const std::map<std::string, EndpointRef> &all() const { return Endpoints_; }

private:
  std::map<std::string, EndpointRef> Endpoints_;
  std::set<std::string> ZonesOut_;
  std::uint32_t NextNumber_ = 1;
};

} // namespace cassiashed::catalog
