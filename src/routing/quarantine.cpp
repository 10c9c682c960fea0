#include "cassiashed/routing/quarantine.h"

#include <algorithm>

namespace cassiashed::routing {
namespace {

/// Two crashes suffice for a quarantine; more are kept because some may turn
/// out to belong to a burst.
constexpr std::size_t MaxCrashesPerContent = 6;

std::chrono::milliseconds ageOf(TimePoint At, TimePoint Now) {
  return std::max(
      std::chrono::milliseconds(0),
      std::chrono::duration_cast<std::chrono::milliseconds>(Now - At));
}

} // namespace

void Quarantine::setZoneSizes(
    std::unordered_map<std::string, std::size_t> Sizes) {
  ZoneSizes_ = std::move(Sizes);
}

Quarantine::CrashPtr Quarantine::findOrAddCrash(const EndpointCrash &Crash,
                                                TimePoint Now) {
  for (const CrashPtr &Known : Crashes_) {
    const EndpointCrash &Report = Known->Report;
    const auto TimeBetween = Report.LastSeenAt > Crash.LastSeenAt
                                 ? Report.LastSeenAt - Crash.LastSeenAt
                                 : Crash.LastSeenAt - Report.LastSeenAt;
    const bool SameIncarnation =
        Report.Incarnation != 0 && Report.Incarnation == Crash.Incarnation;
    const bool MaybeSameIncarnation =
        Report.Incarnation == 0 || Crash.Incarnation == 0;
    if (Report.Endpoint == Crash.Endpoint &&
        (SameIncarnation ||
         (MaybeSameIncarnation && TimeBetween <= Options_.BurstWindow)))
      return Known;
  }
  Crashes_.push_back(std::make_shared<Quarantine::Crash>(
      Quarantine::Crash{Crash, Now, false}));
  if (Crashes_.size() > Options_.MaxCrashes)
    Crashes_.pop_front();
  CrashPtr Added = Crashes_.back();
  markBursts(Crash.Zone);
  return Added;
}

/// Marks every crash that lies within `BurstWindow` of enough others. The mark
/// is never cleared, so it stays valid after the other crashes are evicted.
void Quarantine::markBursts(const std::string &Zone) {
  std::vector<CrashPtr> Crashes;
  for (const CrashPtr &Known : Crashes_)
    if (Known->Report.Zone == Zone)
      Crashes.push_back(Known);
  std::sort(Crashes.begin(), Crashes.end(),
            [](const CrashPtr &Left, const CrashPtr &Right) {
              return Left->Report.LastSeenAt < Right->Report.LastSeenAt;
            });
  const auto Size = ZoneSizes_.find(Zone);
  const std::size_t ZoneSize = Size == ZoneSizes_.end() ? 0 : Size->second;
  for (std::size_t First = 0; First < Crashes.size(); ++First) {
    std::unordered_set<std::string> Endpoints;
    std::size_t Last = First;
    for (; Last < Crashes.size() && Crashes[Last]->Report.LastSeenAt -
                                            Crashes[First]->Report.LastSeenAt <=
                                        Options_.BurstWindow;
         ++Last)
      Endpoints.insert(Crashes[Last]->Report.Endpoint);
    const std::size_t Count = Endpoints.size();
    if (Count >= Options_.BurstCrashes ||
        (Count >= 2 && ZoneSize > 0 && Count * 2 > ZoneSize))
      for (std::size_t Next = First; Next < Last; ++Next)
        Crashes[Next]->InBurst = true;
  }
}

Quarantine::ContentState &
Quarantine::findOrCreateContent(const std::string &ContentHash, TimePoint Now) {
  if (Contents_.size() >= Options_.MaxContents && !Contents_.count(ContentHash))
    evict(Now);
  ContentState &State = Contents_[ContentHash];
  State.LastChange = Now;
  return State;
}

/// Erases expired contents. If that frees no space, erases the oldest tenth,
/// starting with contents that are not quarantined.
void Quarantine::evict(TimePoint Now) {
  std::erase_if(Contents_, [&](const auto &Item) {
    return Item.second.QuarantinedUntil <= Now &&
           Now - Item.second.LastChange > Options_.RepeatedExpiry;
  });
  if (Contents_.size() < Options_.MaxContents)
    return;
  std::vector<std::pair<std::pair<bool, TimePoint>, std::string>> Order;
  Order.reserve(Contents_.size());
  for (const auto &[ContentHash, State] : Contents_)
    Order.push_back(
        {{State.QuarantinedUntil > Now, State.LastChange}, ContentHash});
  std::sort(Order.begin(), Order.end());
  for (std::size_t Index = 0; Index <= Order.size() / 10; ++Index)
    Contents_.erase(Order[Index].second);
}

bool Quarantine::recordSuspicion(const std::string &ContentHash,
                                 const CrashPtr &Cause, TimePoint Now) {
  ContentState &State = findOrCreateContent(ContentHash, Now);
  if (Cause->Report.LastSeenAt <= State.RemovedAt ||
      std::find(State.Crashes.begin(), State.Crashes.end(), Cause) !=
          State.Crashes.end())
    return false;
  State.Crashes.push_back(Cause);
  if (State.Crashes.size() > MaxCrashesPerContent) {
    const auto Burst =
        std::find_if(State.Crashes.begin(), State.Crashes.end(),
                     [](const CrashPtr &Known) { return Known->InBurst; });
    State.Crashes.erase(Burst == State.Crashes.end() ? State.Crashes.begin()
                                                     : Burst);
  }
  State.CompletedSinceCrash = false;
  return true;
}

void Quarantine::recordCrash(const EndpointCrash &Crash,
                             const std::vector<std::string> &InFlight,
                             TimePoint Now) {
  const CrashPtr Cause = findOrAddCrash(Crash, Now);
  for (const std::string &ContentHash : InFlight)
    if (recordSuspicion(ContentHash, Cause, Now))
      PendingNotices_.push_back({{QuarantineNoticeKind::Suspect,
                                  ContentHash,
                                  {},
                                  Crash.Endpoint,
                                  Crash.Zone,
                                  Crash.Incarnation},
                                 Cause});
}

std::size_t Quarantine::countSharedContents(const CrashPtr &First,
                                            const CrashPtr &Second) const {
  const auto WasInvolved = [](const ContentState &State,
                              const CrashPtr &Cause) {
    return std::find(State.Crashes.begin(), State.Crashes.end(), Cause) !=
           State.Crashes.end();
  };
  return static_cast<std::size_t>(
      std::count_if(Contents_.begin(), Contents_.end(), [&](const auto &Item) {
        return WasInvolved(Item.second, First) &&
               WasInvolved(Item.second, Second);
      }));
}

bool Quarantine::hasSufficientEvidence(const ContentState &State) const {
  for (std::size_t Second = 0; Second < State.Crashes.size(); ++Second) {
    const CrashPtr &Later = State.Crashes[Second];
    if (Later->InBurst)
      continue;
    if (State.WasQuarantined)
      return true;
    for (std::size_t First = 0; First < Second; ++First) {
      const CrashPtr &Earlier = State.Crashes[First];
      if (!Earlier->InBurst &&
          Earlier->Report.Endpoint != Later->Report.Endpoint &&
          countSharedContents(Earlier, Later) <= Options_.MaxSuspects)
        return true;
    }
  }
  return false;
}

void Quarantine::quarantine(const std::string &ContentHash, ContentState &State,
                            TimePoint Now) {
  State.QuarantinedUntil =
      Now + (State.WasQuarantined ? Options_.RepeatedExpiry : Options_.Expiry);
  State.WasQuarantined = true;
  State.Crashes.clear();
  State.LastChange = Now;
  PendingNotices_.push_back(
      {{QuarantineNoticeKind::Quarantined, ContentHash},
       std::make_shared<Crash>(Crash{{"", "", 0, Now}, Now, false})});
}

QuarantineVerdict Quarantine::judge(const std::string &ContentHash,
                                    TimePoint Now) {
  const auto Found = Contents_.find(ContentHash);
  if (Found == Contents_.end())
    return QuarantineVerdict::Clear;
  ContentState &State = Found->second;
  if (State.QuarantinedUntil > Now)
    return QuarantineVerdict::Refuse;
  std::erase_if(State.Crashes, [&](const CrashPtr &Cause) {
    return Now - Cause->Report.LastSeenAt > Options_.Expiry;
  });
  TimePoint Latest{};
  for (const CrashPtr &Cause : State.Crashes)
    if (!Cause->InBurst)
      Latest = std::max(Latest, Cause->DetectedAt);
  if (hasSufficientEvidence(State)) {
    if (Now - Latest < Options_.BurstWindow)
      return QuarantineVerdict::Wait;
    quarantine(ContentHash, State, Now);
    return QuarantineVerdict::Refuse;
  }
  if (State.WasQuarantined)
    return QuarantineVerdict::RunIsolated;
  return Latest == TimePoint{} || State.CompletedSinceCrash
             ? QuarantineVerdict::Clear
             : QuarantineVerdict::RunIsolated;
}

std::vector<std::string>
Quarantine::crashZones(const std::string &ContentHash) const {
  std::vector<std::string> Zones;
  if (const auto Found = Contents_.find(ContentHash); Found != Contents_.end())
    for (const CrashPtr &Cause : Found->second.Crashes)
      if (!Cause->InBurst)
        Zones.push_back(Cause->Report.Zone);
  return Zones;
}

bool Quarantine::beginIsolatedRun(const std::string &ContentHash) {
  return IsolatedRuns_.insert(ContentHash).second;
}

void Quarantine::endIsolatedRun(const std::string &ContentHash,
                                bool Completed) {
  IsolatedRuns_.erase(ContentHash);
  if (const auto Found = Contents_.find(ContentHash);
      Completed && Found != Contents_.end())
    Found->second.CompletedSinceCrash = true;
}

bool Quarantine::merge(const QuarantineNotice &Notice, TimePoint Now) {
  const TimePoint OccurredAt = Now - Notice.Age;
  switch (Notice.Kind) {
  case QuarantineNoticeKind::Suspect:
    if (Notice.Age > Options_.Expiry)
      return false;
    return recordSuspicion(Notice.ContentHash,
                           findOrAddCrash({Notice.Endpoint, Notice.Zone,
                                           Notice.Incarnation, OccurredAt},
                                          Now),
                           Now);
  case QuarantineNoticeKind::Quarantined: {
    const TimePoint Until = OccurredAt + Options_.Expiry;
    if (Until <= Now)
      return false;
    ContentState &State = findOrCreateContent(Notice.ContentHash, Now);
    // Senders measure ages, so a notice received over two paths yields times
    // that differ by the network delay.
    if (OccurredAt <= State.RemovedAt ||
        Until <= State.QuarantinedUntil + Options_.BurstWindow)
      return false;
    State.QuarantinedUntil =
        State.WasQuarantined && State.QuarantinedUntil < OccurredAt
            ? OccurredAt + Options_.RepeatedExpiry
            : Until;
    State.WasQuarantined = true;
    State.Crashes.clear();
    return true;
  }
  case QuarantineNoticeKind::Removed: {
    const auto Found = Contents_.find(Notice.ContentHash);
    if (Found != Contents_.end() &&
        OccurredAt <= Found->second.RemovedAt + Options_.BurstWindow)
      return false;
    ContentState &State = findOrCreateContent(Notice.ContentHash, Now);
    State = ContentState{};
    State.LastChange = Now;
    State.RemovedAt = OccurredAt;
    return true;
  }
  }
  return false;
}

std::vector<QuarantineNotice> Quarantine::takeNotices(TimePoint Now) {
  std::vector<QuarantineNotice> Result;
  // Contents in flight at a burst are not suspects, so a power failure sends no
  // notices.
  for (auto &[Notice, Cause] : PendingNotices_)
    if (!Cause->InBurst) {
      Notice.Age = ageOf(Cause->Report.LastSeenAt, Now);
      Result.push_back(std::move(Notice));
    }
  PendingNotices_.clear();
  return Result;
}

void Quarantine::remove(const std::string &ContentHash, TimePoint Now) {
  ContentState &State = findOrCreateContent(ContentHash, Now);
  State = ContentState{};
  State.LastChange = Now;
  State.RemovedAt = Now;
  PendingNotices_.push_back(
      {{QuarantineNoticeKind::Removed, ContentHash},
       std::make_shared<Crash>(Crash{{"", "", 0, Now}, Now, false})});
}

std::vector<std::string> Quarantine::quarantined(TimePoint Now) const {
  std::vector<std::string> Result;
  for (const auto &[ContentHash, State] : Contents_)
    if (State.QuarantinedUntil > Now)
      Result.push_back(ContentHash);
  return Result;
}

} // namespace cassiashed::routing
