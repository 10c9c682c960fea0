#include "gateway/descriptor_limit.h"

#include <algorithm>

namespace cassiashed::gateway {

std::size_t excessConnections(const DescriptorUse &Use,
                              std::size_t FileDescriptors) {
  // A quarter is for files, the store, the nodes and calls to helpers.
  const std::size_t Available = FileDescriptors - FileDescriptors / 4;
  const std::size_t Needed =
      Use.IdleCallers + Use.ActiveCallers +
      std::max(Use.ActiveCallers, Use.EndpointConnections);
  return Needed > Available ? Needed - Available : 0;
}

std::size_t spareEndpointConnections(const DescriptorUse &Use,
                                     std::size_t FileDescriptors) {
  const std::size_t Beyond =
      Use.EndpointConnections -
      std::min(Use.EndpointConnections, Use.ActiveCallers);
  return std::min(Beyond, excessConnections(Use, FileDescriptors));
}

} // namespace cassiashed::gateway
