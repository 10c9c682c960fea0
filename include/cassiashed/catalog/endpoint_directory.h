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

/// An endpoint and since when it is known. Shared with requests in progress,
/// which outlive its removal from the directory.
struct KnownEndpoint {
  Endpoint Entry;
  std::uint32_t Number = 0; ///< unique for the life of the process
  TimePoint ColdUntil;      ///< the cold limit applies until then
  bool IsRegistered = true; ///< false once it left the directory
};
using EndpointRef = std::shared_ptr<KnownEndpoint>;

/// Endpoints and zones out of service, as last read. Not thread-safe.
///
/// ```cpp
/// Directory.put(Entry, Now);
/// for (const EndpointRef &Each : Directory.usable("bookings"))
///   consider(Each);
/// ```
class EndpointDirectory {
public:
  /// What `put` changed.
  enum class Change { None, Updated, Appeared, Restarted };

  Change put(const Endpoint &Entry, TimePoint Now);
  /// Returns whether the endpoint was known.
  bool remove(const std::string &Id);
  /// A replica says that it is cold for `Left`, in an answer of its own.
  void markCold(const EndpointRef &Which, Duration Left, TimePoint Now);

  void setZoneOut(const std::string &Zone, bool Out);
  bool isZoneOut(const std::string &Zone) const;

  /// Endpoints of a service that may get new work.
  std::vector<EndpointRef> usable(const std::string &Service) const;
  /// Whether this endpoint may still get new work.
  bool isUsable(const KnownEndpoint &Which) const;
  EndpointRef find(const std::string &Id) const;
  const std::map<std::string, EndpointRef> &all() const { return Endpoints_; }

private:
  std::map<std::string, EndpointRef> Endpoints_;
  std::set<std::string> ZonesOut_;
  std::uint32_t NextNumber_ = 1;
};

} // namespace cassiashed::catalog
