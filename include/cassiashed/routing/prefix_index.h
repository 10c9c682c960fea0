#pragma once

#include "cassiashed/base/clock.h"
#include "cassiashed/routing/router.h"

#include <array>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// Tracks which endpoint probably holds which prompt prefix in its KV cache.
namespace cassiashed::routing {

/// Tokens per block of an engine's prefix cache, at 4 bytes per token.
inline constexpr std::size_t PrefixBlockTokens = 1'024;

/// Hashes of the leading complete blocks of a prompt, at most 64. Each covers
/// the prompt up to the end of its block, as in the cache events of the
/// engines. The first one is the `PrefixHash` of a `RouteRequest`.
std::vector<std::uint64_t> hashPrefixBlocks(std::string_view Prompt);

enum class CacheEventKind { Stored, Evicted, Cleared };

/// An event that an endpoint publishes. Sequence numbers start at 1 in each
/// incarnation and increase by 1.
struct CacheEvent {
  std::uint64_t Sequence = 0;
  CacheEventKind Kind = CacheEventKind::Stored;
  std::uint64_t PrefixHash = 0;             ///< not used by `Cleared`
  std::uint64_t Tokens = PrefixBlockTokens; ///< only used by `Stored`
};

struct PrefixIndexOptions {
  /// About 150 B each, so 2.5 MB of the 32 MB that a node may use for control
  /// data.
  std::size_t MaxPrefixes = 16'384;
  /// A prefix not stored again within this time is no longer reported.
  std::chrono::seconds MaxAge{600};
  /// Without an event or an empty poll within this time, evictions may have
  /// been missed and nothing of the endpoint counts as confirmed.
  std::chrono::seconds ConfirmationTimeout{5};
};

/// Finds endpoints that can reuse cached tokens of a prompt. It is built from
/// cache events that may be late, missing or duplicated, so results are
/// estimates. `Confirmed` means only that no event was missed between the one
/// that stored the prefix and the newest one received. An eviction may still be
/// in transit, so memory must not be reserved based on it. Not thread-safe.
class PrefixIndex {
public:
  explicit PrefixIndex(PrefixIndexOptions Options = {}) : Options_(Options) {}

  /// Applies one event. After a gap in the sequence numbers, nothing stored
  /// before it is confirmed. A new incarnation discards all prefixes of the
  /// endpoint, since its memory is empty.
  void recordEvent(const std::string &Endpoint, std::uint64_t Incarnation,
                   const CacheEvent &Event, TimePoint Now);
  /// Records that a poll returned no events after `LastSequence`.
  void recordEmptyPoll(const std::string &Endpoint, std::uint64_t Incarnation,
                       std::uint64_t LastSequence, TimePoint Now);
  /// Erases an endpoint, for example when it is removed from the configuration.
  void erase(const std::string &Endpoint);

  /// Endpoints that probably hold a prefix, at most `MaxHolders`.
  std::vector<CachedPrefix> find(std::uint64_t PrefixHash, TimePoint Now) const;
  /// The leading blocks of a prompt that each endpoint probably holds, for at
  /// most `MaxHolders` endpoints. `Blocks` is from `hashPrefixBlocks`.
  std::vector<CachedPrefix>
  findLongest(const std::vector<std::uint64_t> &Blocks, TimePoint Now) const;

  std::size_t size() const { return Prefixes_.size(); }

  static constexpr std::size_t MaxHolders = 4;

private:
  struct EventSource {
    std::uint32_t Id = 0; ///< new for each incarnation
    std::uint64_t Incarnation = 0;
    std::uint64_t LastSequence = 0;
    std::uint64_t ConfirmedFrom = 0; ///< no gap from this sequence on
    std::uint64_t ClearedAt = 0;     ///< sequence number
    TimePoint LastContactAt{};
  };
  struct PrefixHolder {
    std::string Endpoint;
    std::uint32_t SourceId = 0;
    std::uint64_t Sequence = 0; ///< of the `Stored` event
    std::uint64_t Tokens = 0;
    TimePoint StoredAt{};
  };
  struct Prefix {
    std::vector<PrefixHolder> Holders;
    std::uint64_t Serial = 0; ///< equals that of its newest `Order_` entry
  };

  EventSource &findOrResetSource(const std::string &Endpoint,
                                 std::uint64_t Incarnation);
  void store(const std::string &Endpoint, const EventSource &Source,
             const CacheEvent &Event, TimePoint Now);
  void evict(const EventSource &Source, const CacheEvent &Event);

  PrefixIndexOptions Options_;
  std::unordered_map<std::string, EventSource> Sources_;
  std::unordered_map<std::uint64_t, Prefix> Prefixes_;
  /// Hash and serial of prefixes, least recently stored first. An entry is
  /// outdated if its serial differs from that of the prefix.
  std::deque<std::pair<std::uint64_t, std::uint64_t>> Order_;
  std::uint32_t NextSourceId_ = 1;
  std::uint64_t NextSerial_ = 1;
};

} // namespace cassiashed::routing
