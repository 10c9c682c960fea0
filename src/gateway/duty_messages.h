#pragma once

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace cassiashed::gateway {

/// Requests that the sender counted in one window, by workspace.
struct UsageMessage {
  std::int64_t Window = 0;
  std::map<std::string, std::uint64_t> Counts;
  MSGPACK_DEFINE(Window, Counts)
};

/// What nodes tell each other for the duties, see docs/design/duties.md.
struct DutyMessage {
  std::int64_t UnixMs = 0; ///< the sender's clock; 0: not stated
  std::vector<UsageMessage> Usage;
  /// The sender holds the lease: its fence, and the newest version of its row.
  std::uint64_t Fence = 0; ///< 0: does not hold it
  std::uint64_t RowVersion = 0;
  std::uint64_t Era = 0;
  MSGPACK_DEFINE(UnixMs, Usage, Fence, RowVersion, Era)
};

} // namespace cassiashed::gateway
