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

} // namespace cassiashed::gateway
