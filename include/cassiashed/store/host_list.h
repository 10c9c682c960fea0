#pragma once

#include <optional>
#include <string>
#include <vector>

namespace cassiashed {

enum class HostState { Live, Leaving };

/// One host as the platform lists it. The list lags by seconds.
struct HostEntry {
  std::string Name;
  std::string Address;
  std::string Zone;
  HostState State = HostState::Live;
};

class HostList {
public:
  virtual ~HostList() = default;
  virtual std::optional<std::vector<HostEntry>> list(std::string &Reason) = 0;
};

} // namespace cassiashed
