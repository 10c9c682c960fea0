#include "gateway/restored_endpoints.h"

#include <array>

namespace cassiashed::gateway {
namespace {

/// The platform removes the row of a silent replica after three heartbeat
/// intervals of about a second; a row that stays longer has a living writer.
constexpr Duration RemovedHold{10000};
/// A copy is some seconds old; older removals are in it.
constexpr Duration RemovalMemory{60000};

bool isSameIncarnation(const catalog::Endpoint &Left,
                       const catalog::Endpoint &Right) {
  return Left.StartedAtUnixMs == Right.StartedAtUnixMs &&
         Left.address() == Right.address();
}

/// Whether `Listed` started before `Known`.
bool isEarlier(const catalog::Endpoint &Listed,
               const catalog::Endpoint &Known) {
  return Listed.StartedAtUnixMs != 0 &&
         Listed.StartedAtUnixMs < Known.StartedAtUnixMs;
}

} // namespace

std::string_view nameOf(HeldReason Reason) {
  static constexpr std::array<std::string_view, 4> Names = {
      "none", "draining", "removed", "replaced"};
  return Names[static_cast<std::size_t>(Reason)];
}

void RestoredEndpoints::recordRemoval(const catalog::Endpoint &Removed,
                                      TimePoint Now) {
  Removals_[Removed.Id] = {Removed, Now};
}

HeldReason RestoredEndpoints::hold(const catalog::Row &Listed,
                                   const catalog::Endpoint &Decoded,
                                   const catalog::EndpointRef &Known,
                                   bool IsLeaving, TimePoint Now) {
  using catalog::EndpointState;
  if (Known && isEarlier(Decoded, Known->Entry))
    return HeldReason::Replaced;
  const auto Removal = Removals_.find(Listed.Key);
  const bool WasRemoved =
      Known ? IsLeaving && isSameIncarnation(Decoded, Known->Entry)
            : Removal != Removals_.end() &&
                  (isEarlier(Decoded, Removal->second.Entry) ||
                   isSameIncarnation(Decoded, Removal->second.Entry));
  if (WasRemoved) {
    Held_[Listed.Key] = {Listed, Now + RemovedHold};
    return HeldReason::Removed;
  }
  const bool WasDraining = Known && isSameIncarnation(Decoded, Known->Entry) &&
                           Known->Entry.State == EndpointState::Draining;
  return WasDraining && Decoded.State == EndpointState::Ready
             ? HeldReason::Draining
             : HeldReason::None;
}

void RestoredEndpoints::beginEra(TimePoint Now) {
  for (auto &[Id, Row] : Held_)
    Row.Until = Now + RemovedHold;
}

void RestoredEndpoints::recordRow(const catalog::Row &Arrived, bool BeginsEra,
                                  TimePoint Now) {
  Held_.erase(Arrived.Key);
  if (BeginsEra)
    return;
  if (!Arrived.Removed) {
    Removals_.erase(Arrived.Key);
    return;
  }
  const auto Known = Removals_.find(Arrived.Key);
  if (Known != Removals_.end())
    Known->second.At = Now;
}

std::vector<catalog::Row> RestoredEndpoints::takeDue(TimePoint Now) {
  std::vector<catalog::Row> Due;
  for (const auto &[Id, Row] : Held_)
    if (Row.Until <= Now)
      Due.push_back(Row.Listed);
  for (const catalog::Row &Row : Due)
    Held_.erase(Row.Key);
  std::erase_if(Removals_, [Now](const auto &IdAndRemoval) {
    return IdAndRemoval.second.At + RemovalMemory <= Now;
  });
  return Due;
}

} // namespace cassiashed::gateway
