#pragma once

#include "cassiashed/base/clock.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>

/// Weighted use of an endpoint by each workspace.
namespace cassiashed::scheduling {

struct FairShareOptions {
  /// Past use counts half as much after this time.
  Duration HalfLife = std::chrono::seconds(30);
  /// Workspaces tracked. 4,096 entries take about 300 KB per endpoint. Those
  /// with the lowest use are evicted first: they then count as unused, which
  /// can only favour them.
  std::size_t MaxWorkspaces = 4096;
};

/// Use of one workspace. New tokens are added to `Used` with a scale that grows
/// with time. This is equivalent to the decay of older use, and entries can be
/// compared without an update of each.
struct WorkspaceUse {
  double Used = 0;
  std::uint64_t Queued = 0; ///< tokens of waiting requests
  double Weight = 1;
  std::uint32_t Pins = 0; ///< waiters that refer to this entry

  /// Order of service: the lowest is served first.
  double weightedUse() const { return Used / Weight; }
  /// Order of refusal: the highest is refused first. Waiting tokens count, so
  /// that a workspace without past use cannot fill the queue. `Scale` is the
  /// result of `FairShare::scale` for the present time.
  double demand(double Scale) const {
    return (Used + static_cast<double>(Queued) * Scale) / Weight;
  }
};

/// Adds up granted tokens per workspace with exponential decay, so that a busy
/// endpoint serves workspaces in proportion to their weights.
class FairShare {
public:
  explicit FairShare(FairShareOptions Options) : Options_(Options) {}

  /// The entry of a workspace, valid until `unpin`.
  WorkspaceUse &pin(std::string_view Workspace, double Weight, TimePoint Now);
  void unpin(WorkspaceUse &Use);
  void addUse(WorkspaceUse &Use, std::uint64_t Tokens, TimePoint Now);
  /// What one token adds to `WorkspaceUse::Used` at this time.
  double scale(TimePoint Now);
  std::size_t size() const { return Entries_.size(); }

private:
  void evictLowest();
  /// Scales all entries down once the scale has grown too large.
  void rebase(TimePoint Now);

  FairShareOptions Options_;
  TimePoint Origin_{};
  /// Keyed by hash. A collision would merge the use of two workspaces.
  std::unordered_map<std::uint64_t, WorkspaceUse> Entries_;
};

} // namespace cassiashed::scheduling
