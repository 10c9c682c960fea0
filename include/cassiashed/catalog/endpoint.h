#pragma once

#include "cassiashed/base/clock.h"
#include <cstdint>
#include <string>
#include <string_view>

/// A replica as it registered itself.
namespace cassiashed::catalog {

enum class EndpointState { Ready, Draining };
std::string_view nameOf(EndpointState State);

struct Endpoint {
  std::string Id; ///< of this incarnation
  std::string Service;
  std::string Host; ///< IP address
  unsigned short Port = 0;
  std::string Zone;
  int Slots = 1; ///< requests that it runs at once
  EndpointState State = EndpointState::Ready;
  Duration ColdFor{0}; ///< how much longer it stays cold
  /// Wall-clock start in Unix milliseconds; tells incarnations with the same
  /// id apart. 0: unknown.
  std::int64_t StartedAtUnixMs = 0;

  std::string address() const { return Host + ":" + std::to_string(Port); }
};

} // namespace cassiashed::catalog
