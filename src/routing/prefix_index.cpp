#include "cassiashed/routing/prefix_index.h"

#include "cassiashed/base/hash.h"
#include "cassiashed/base/invariant.h"

#include <algorithm>

namespace cassiashed::routing {

std::vector<std::uint64_t> hashPrefixBlocks(std::string_view Prompt) {
  constexpr std::size_t BlockBytes = PrefixBlockTokens * 4;
  constexpr std::size_t MaxBlocks = 64;
  std::vector<std::uint64_t> Hashes;
  std::uint64_t Previous = 0;
  for (std::size_t Start = 0;
       Start + BlockBytes <= Prompt.size() && Hashes.size() < MaxBlocks;
       Start += BlockBytes) {
    Previous = hashBytes(Prompt.substr(Start, BlockBytes), Previous);
    Hashes.push_back(Previous);
  }
  return Hashes;
}

PrefixIndex::EventSource &
PrefixIndex::findOrResetSource(const std::string &Endpoint,
                               std::uint64_t Incarnation) {
  EventSource &Source = Sources_[Endpoint];
  if (Source.Id == 0 || Source.Incarnation != Incarnation) {
    Source = EventSource{};
    // The new id invalidates all holders with the previous one.
    Source.Id = NextSourceId_++;
    Source.Incarnation = Incarnation;
  }
  return Source;
}

void PrefixIndex::recordEvent(const std::string &Endpoint,
                              std::uint64_t Incarnation,
                              const CacheEvent &Event, TimePoint Now) {
  const auto Known = Sources_.find(Endpoint);
  if (Known != Sources_.end() && Incarnation < Known->second.Incarnation)
    return;
  EventSource &Source = findOrResetSource(Endpoint, Incarnation);
  Source.LastContactAt = Now;
  if (Event.Sequence > Source.LastSequence) {
    if (Event.Sequence != Source.LastSequence + 1)
      Source.ConfirmedFrom = Event.Sequence;
    Source.LastSequence = Event.Sequence;
  }
  switch (Event.Kind) {
  case CacheEventKind::Stored:
    store(Endpoint, Source, Event, Now);
    break;
  case CacheEventKind::Evicted:
    evict(Source, Event);
    break;
  case CacheEventKind::Cleared:
    Source.ClearedAt = std::max(Source.ClearedAt, Event.Sequence);
    break;
  }
}

void PrefixIndex::recordEmptyPoll(const std::string &Endpoint,
                                  std::uint64_t Incarnation,
                                  std::uint64_t LastSequence, TimePoint Now) {
  const auto Known = Sources_.find(Endpoint);
  if (Known == Sources_.end() || Known->second.Incarnation != Incarnation)
    return;
  EventSource &Source = Known->second;
  Source.LastContactAt = Now;
  if (LastSequence > Source.LastSequence) {
    Source.LastSequence = LastSequence;
    Source.ConfirmedFrom = LastSequence + 1;
  }
}

void PrefixIndex::erase(const std::string &Endpoint) {
  Sources_.erase(Endpoint);
}

void PrefixIndex::store(const std::string &Endpoint, const EventSource &Source,
                        const CacheEvent &Event, TimePoint Now) {
  Prefix &Entry = Prefixes_[Event.PrefixHash];
  auto Existing = std::find_if(
      Entry.Holders.begin(), Entry.Holders.end(),
      [&](const PrefixHolder &Holder) { return Holder.Endpoint == Endpoint; });
  if (Existing == Entry.Holders.end()) {
    if (Entry.Holders.size() == MaxHolders)
      Entry.Holders.erase(std::min_element(
          Entry.Holders.begin(), Entry.Holders.end(),
          [](const PrefixHolder &Left, const PrefixHolder &Right) {
            return Left.StoredAt < Right.StoredAt;
          }));
    Existing = Entry.Holders.insert(Entry.Holders.end(), PrefixHolder{});
  } else if (Existing->SourceId == Source.Id &&
             Existing->Sequence >= Event.Sequence) {
    return;
  }
  *Existing = {Endpoint, Source.Id, Event.Sequence, Event.Tokens, Now};
  Entry.Serial = NextSerial_++;
  Order_.emplace_back(Event.PrefixHash, Entry.Serial);
  // Storing a prefix again leaves an outdated entry in `Order_`, so the length
  // of `Order_` has a limit of its own: twice the number of prefixes.
  while (Prefixes_.size() > Options_.MaxPrefixes ||
         Order_.size() > 2 * Options_.MaxPrefixes) {
    const auto [Hash, Serial] = Order_.front();
    Order_.pop_front();
    const auto Oldest = Prefixes_.find(Hash);
    if (Oldest != Prefixes_.end() && Oldest->second.Serial == Serial)
      Prefixes_.erase(Oldest);
  }
  CASSIASHED_INVARIANT(Prefixes_.size() <= Options_.MaxPrefixes,
                       "the prefix index exceeds its bound");
}

void PrefixIndex::evict(const EventSource &Source, const CacheEvent &Event) {
  const auto Found = Prefixes_.find(Event.PrefixHash);
  if (Found == Prefixes_.end())
    return;
  std::erase_if(Found->second.Holders, [&](const PrefixHolder &Holder) {
    return Holder.SourceId == Source.Id && Holder.Sequence < Event.Sequence;
  });
  if (Found->second.Holders.empty())
    Prefixes_.erase(Found);
}

std::vector<CachedPrefix> PrefixIndex::find(std::uint64_t PrefixHash,
                                            TimePoint Now) const {
  std::vector<CachedPrefix> Result;
  const auto Found = Prefixes_.find(PrefixHash);
  if (Found == Prefixes_.end())
    return Result;
  for (const PrefixHolder &Holder : Found->second.Holders) {
    const auto Known = Sources_.find(Holder.Endpoint);
    if (Known == Sources_.end() || Known->second.Id != Holder.SourceId)
      continue;
    const EventSource &Source = Known->second;
    if (Holder.Sequence < Source.ClearedAt ||
        Now - Holder.StoredAt > Options_.MaxAge)
      continue;
    const bool Confirmed =
        Holder.Sequence >= Source.ConfirmedFrom &&
        Now - Source.LastContactAt <= Options_.ConfirmationTimeout;
    Result.push_back({Holder.Endpoint, Holder.Tokens, Confirmed});
  }
  return Result;
}

std::vector<CachedPrefix>
PrefixIndex::findLongest(const std::vector<std::uint64_t> &Blocks,
                         TimePoint Now) const {
  std::vector<CachedPrefix> Result;
  for (std::size_t Index = 0; Index < Blocks.size(); ++Index) {
    bool IsExtended = false;
    for (const CachedPrefix &Holder : find(Blocks[Index], Now)) {
      const auto Known = std::find_if(Result.begin(), Result.end(),
                                      [&](const CachedPrefix &Run) {
                                        return Run.Endpoint == Holder.Endpoint;
                                      });
      if (Index == 0) {
        Result.push_back(
            {Holder.Endpoint, PrefixBlockTokens, Holder.Confirmed});
        IsExtended = true;
      } else if (Known != Result.end() &&
                 Known->Tokens == Index * PrefixBlockTokens) {
        Known->Tokens += PrefixBlockTokens;
        Known->Confirmed = Known->Confirmed && Holder.Confirmed;
        IsExtended = true;
      }
    }
    if (!IsExtended)
      break;
  }
  return Result;
}

} // namespace cassiashed::routing
