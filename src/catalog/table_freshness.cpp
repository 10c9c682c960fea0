#include "cassiashed/catalog/table_freshness.h"

#include <algorithm>

namespace cassiashed::catalog {
namespace {

/// Store reads of all nodes per period while no node's replica is up to date.
constexpr double ReadersPerPeriod = 8;

} // namespace

void TableFreshness::recordStoreAnswer(BootTime SentAt, BootTime ReceivedAt,
                                       std::optional<Duration> StoreTime) {
  const BootTime At =
      StoreTime ? Clock_.recordAnswer(SentAt, ReceivedAt, *StoreTime) : SentAt;
  CompleteAt_ = std::max(CompleteAt_.value_or(At), At);
}

void TableFreshness::recordPeerAnswer(BootTime AskedAt, Duration Age) {
  const BootTime At = AskedAt - std::max(Age, Duration(0));
  CompleteAt_ = std::max(CompleteAt_.value_or(At), At);
}

void TableFreshness::recordPeerSnapshot(Duration StoreTime, BootTime Now) {
  if (wouldImprove(StoreTime, Now))
    CompleteAt_ = Clock_.earliestTimeOf(StoreTime, Now);
}

bool TableFreshness::wouldImprove(Duration StoreTime, BootTime Now) const {
  const std::optional<BootTime> At = Clock_.earliestTimeOf(StoreTime, Now);
  return At && (!CompleteAt_ || *At > *CompleteAt_);
}

bool TableFreshness::isSnapshotWithin(Duration StoreTime, Duration Bound,
                                      BootTime Now) const {
  const std::optional<BootTime> At = Clock_.earliestTimeOf(StoreTime, Now);
  return At && Now - *At <= Bound;
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
  const auto ReachesFraction = [Bound](Duration Value, double Fraction) {
    return static_cast<double>(Value.count()) >=
           static_cast<double>(Bound.count()) * Fraction;
  };
  const bool CanRead = ReachesFraction(SinceRead, Options.ReadPeriodFraction);
  if (CanRead && (!Age || ReachesFraction(*Age, Options.ReadAgeFraction)))
    return Refresh::ReadStore;
  const bool CanAsk = ReachesFraction(SinceAsked, Options.AskPeriodFraction);
  if (CanAsk && (!Age || ReachesFraction(*Age, Options.AskAgeFraction)))
    return Refresh::AskNodes;
  return Refresh::Nothing;
}

double storeReadProbability(int Nodes, bool OthersAreCurrent) {
  return OthersAreCurrent ? 1 : std::min(1.0, ReadersPerPeriod / Nodes);
}

} // namespace cassiashed::catalog
