#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cassiashed {

/// An IP address and a TCP port.
struct HostPort {
  std::string Host; ///< IP number; IPv6 without brackets
  std::uint16_t Port = 0;

  friend bool operator==(const HostPort &, const HostPort &) = default;
};

/// Parses `10.0.0.1:8080` or `[fd00::1]:8080`. Names are refused: processes
/// address each other by IP number.
std::optional<HostPort> parseHostPort(std::string_view Text);
std::string formatHostPort(const HostPort &Address);

} // namespace cassiashed
