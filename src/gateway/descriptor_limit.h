#pragma once

#include <cstddef>

namespace cassiashed::gateway {

/// Descriptors that callers' connections take or may need.
struct DescriptorUse {
  std::size_t IdleCallers = 0;   ///< wait for a request
  std::size_t ActiveCallers = 0; ///< may need a connection to an endpoint
  std::size_t EndpointConnections = 0;
};

/// Idle connections to endpoints whose closing makes room: the others are kept
/// for the active callers and would have to be opened again.
std::size_t spareEndpointConnections(const DescriptorUse &Use,
                                     std::size_t FileDescriptors);

/// Connections that have to close so that the endpoints, the store and other
/// nodes keep their part of the descriptors.
std::size_t excessConnections(const DescriptorUse &Use,
                              std::size_t FileDescriptors);

} // namespace cassiashed::gateway
