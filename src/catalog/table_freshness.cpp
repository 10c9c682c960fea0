#include "cassiashed/catalog/table_freshness.h"

#include <algorithm>

namespace cassiashed::catalog {
namespace {

/// The relation between two clocks is measured anew after this time: at a
/// drift of 100 parts per million they part by 6 ms in it.
constexpr std::chrono::seconds EpochMemory{60};

} // namespace

BootTime TableFreshness::answeredAt(BootTime SentAt, BootTime ReceivedAt,
                                    Duration StoreTime) {
  const BootTime From = SentAt - StoreTime;
  const BootTime To = ReceivedAt - StoreTime;
  const bool Usable = EpochKnownAt_ &&
                      ReceivedAt - *EpochKnownAt_ < EpochMemory &&
                      From <= EpochTo_ && To >= EpochFrom_;
  if (Usable) {
    EpochFrom_ = std::max(EpochFrom_, From);
    EpochTo_ = std::min(EpochTo_, To);
  } else {
    // The first answer, an old relation, or a store whose clock was set.
    EpochFrom_ = From;
    EpochTo_ = To;
    EpochKnownAt_ = ReceivedAt;
  }
  return std::clamp<BootTime>(EpochFrom_ + StoreTime, SentAt, ReceivedAt);
}

void TableFreshness::noteStoreAnswer(BootTime SentAt, BootTime ReceivedAt,
                                     std::optional<Duration> StoreTime) {
  const BootTime At =
      StoreTime ? answeredAt(SentAt, ReceivedAt, *StoreTime) : SentAt;
  CompleteAt_ = std::max(CompleteAt_.value_or(At), At);
}

void TableFreshness::notePeerAnswer(BootTime AskedAt, Duration Age) {
  const BootTime At = AskedAt - std::max(Age, Duration(0));
  CompleteAt_ = std::max(CompleteAt_.value_or(At), At);
}

std::optional<Duration> TableFreshness::age(BootTime Now) const {
  if (!CompleteAt_)
    return std::nullopt;
  return std::chrono::ceil<Duration>(Now - *CompleteAt_);
}

bool TableFreshness::isWithin(Duration Bound, BootTime Now) const {
  return CompleteAt_ && Now - *CompleteAt_ <= Bound;
}

Refresh nextRefresh(std::optional<Duration> Age, Duration Bound,
                    Duration SinceAsked, Duration SinceRead,
                    const RefreshOptions &Options) {
  const auto IsOver = [Bound](Duration Value, double Part) {
    return static_cast<double>(Value.count()) >=
           static_cast<double>(Bound.count()) * Part;
  };
  const bool MayRead = IsOver(SinceRead, Options.ReadPeriod);
  if (MayRead && (!Age || IsOver(*Age, Options.ReadFrom)))
    return Refresh::ReadStore;
  const bool MayAsk = IsOver(SinceAsked, Options.AskPeriod);
  if (MayAsk && (!Age || IsOver(*Age, Options.AskFrom)))
    return Refresh::AskNodes;
  return Refresh::Nothing;
}

} // namespace cassiashed::catalog
