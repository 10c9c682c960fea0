#pragma once

#include <cstdint>
#include <string_view>

/// Division of the memory and cold-start limits of an endpoint between nodes.
namespace cassiashed::scheduling {

/// Part of the limits of an endpoint that one node may use. `Half` and
/// `OtherHalf` of a limit add up to exactly the limit.
enum class Share : std::uint8_t {
  None,
  Half,      ///< rounded down
  OtherHalf, ///< rounded up
  Full,
};

/// The part of `Total` that a node with this share may use.
constexpr std::uint64_t shareOf(std::uint64_t Total, Share NodeShare) {
  switch (NodeShare) {
  case Share::None:
    return 0;
  case Share::Half:
    return Total / 2;
  case Share::OtherHalf:
    return Total - Total / 2;
  case Share::Full:
    return Total;
  }
  return 0;
}

constexpr std::string_view nameOf(Share NodeShare) {
  switch (NodeShare) {
  case Share::None:
    return "none";
  case Share::Half:
    return "half";
  case Share::OtherHalf:
    return "other-half";
  case Share::Full:
    return "full";
  }
  return "none";
}

} // namespace cassiashed::scheduling
