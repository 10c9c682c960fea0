#pragma once

#include "cassiashed/base/clock.h"
#include <cstdint>
#include <string>
#include <string_view>

/// Endpoints of services, as their replicas registered them in the store.
namespace cassiashed::catalog {

enum class EndpointState { Ready, Draining };
std::string_view nameOf(EndpointState State);

struct Endpoint {
  std::string Id; ///< of this incarnation of the replica
  std::string Service;
  std::string Host; ///< IP address
  unsigned short Port = 0;
  std::string Zone;
  int Slots = 1; ///< requests that run concurrently
  EndpointState State = EndpointState::Ready;
  Duration ColdRemaining{0}; ///< time until its warm-up ends
  /// Start of the replica; distinguishes incarnations with the same id.
  /// 0: unknown.
  std::int64_t StartedAtUnixMs = 0;

  std::string address() const { return Host + ":" + std::to_string(Port); }
};

} // namespace cassiashed::catalog
