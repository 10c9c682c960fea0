#include "cassiashed/scheduling/fair_share.h"

#include "cassiashed/base/hash.h"
#include "cassiashed/base/invariant.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace cassiashed::scheduling {
namespace {

/// Half-lives after which the scale starts again at 1. Older use is less than
/// one token per million and is dropped.
constexpr double MaxHalfLives = 40;

/// Lower weights are raised to this: the order by use per weight is undefined
/// for weights of zero or less.
constexpr double MinWeight = 1e-6;

} // namespace

WorkspaceUse &FairShare::pin(std::string_view Workspace, double Weight,
                             TimePoint Now) {
  rebase(Now);
  const std::uint64_t Key = hashBytes(Workspace);
  auto Found = Entries_.find(Key);
  if (Found == Entries_.end()) {
    if (Entries_.size() >= Options_.MaxWorkspaces)
      evictLowest();
    Found = Entries_.try_emplace(Key).first;
  }
  WorkspaceUse &Use = Found->second;
  Use.Weight = std::max(Weight, MinWeight);
  ++Use.Pins;
  return Use;
}

void FairShare::unpin(WorkspaceUse &Use) {
  CASSIASHED_INVARIANT(Use.Pins > 0, "workspace entry unpinned twice");
  --Use.Pins;
  if (Use.Pins == 0)
    Use.Queued = 0;
}

void FairShare::addUse(WorkspaceUse &Use, std::uint64_t Tokens, TimePoint Now) {
  Use.Used += static_cast<double>(Tokens) * scale(Now);
}

double FairShare::scale(TimePoint Now) {
  rebase(Now);
  const double HalfLives =
      std::chrono::duration<double>(Now - Origin_) / Options_.HalfLife;
  return std::exp2(HalfLives);
}

void FairShare::rebase(TimePoint Now) {
  if (Origin_ == TimePoint{})
    Origin_ = Now;
  const double HalfLives =
      std::chrono::duration<double>(Now - Origin_) / Options_.HalfLife;
  if (HalfLives < MaxHalfLives)
    return;
  const double Factor = std::exp2(-HalfLives);
  for (auto &[Key, Use] : Entries_)
    Use.Used *= Factor;
  std::erase_if(Entries_, [](const auto &Entry) {
    return Entry.second.Pins == 0 && Entry.second.Used < 1;
  });
  Origin_ = Now;
}

void FairShare::evictLowest() {
  std::vector<double> UnpinnedUses;
  UnpinnedUses.reserve(Entries_.size());
  for (const auto &[Key, Use] : Entries_)
    if (Use.Pins == 0)
      UnpinnedUses.push_back(Use.Used);
  if (UnpinnedUses.empty())
    return;
  // Evicting a quarter at a time keeps the average cost per insertion constant.
  const auto Cut = UnpinnedUses.begin() +
                   static_cast<std::ptrdiff_t>(UnpinnedUses.size() / 4);
  std::nth_element(UnpinnedUses.begin(), Cut, UnpinnedUses.end());
  const double EvictionThreshold = *Cut;
  std::erase_if(Entries_, [EvictionThreshold](const auto &Entry) {
    return Entry.second.Pins == 0 && Entry.second.Used <= EvictionThreshold;
  });
}

} // namespace cassiashed::scheduling
