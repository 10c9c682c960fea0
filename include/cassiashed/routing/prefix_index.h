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

/// Which endpoint probably holds which prompt prefix in its KV cache.
namespace cassiashed::routing {

/// Tokens per block of an engine's prefix cache, at 4 bytes per token.
inline constexpr std::size_t PrefixBlockTokens = 1'024;

/// Hashes of the leading whole blocks of a prompt, each over all text up to its
/// end, as engines name them in cache events; at most 64. The first one is the
/// `PrefixHash` of a `RouteRequest`.
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
  /// Prefixes known at a time; about 150 B each, so 2.5 MB of the 32 MB that
  /// a node may use for control work.
  std::size_t MaxPrefixes = 16'384;
  /// A prefix not stored again within this time is no longer reported.
  std::chrono::seconds MaxAge{600};
  /// Without an event or an empty poll within this time, evictions may have
  /// been missed and nothing of the endpoint counts as confirmed.
  std::chrono::seconds ConfirmationTimeout{5};
};

/// Built from cache events that come late, with gaps and twice. The answers
/// are estimates. `Confirmed` means only that every event up to the newest one
/// was seen since the prefix was stored; an event may still be on its way, so
/// memory must not be reserved on the strength of it. Not thread-safe.
class PrefixIndex {
public:
  explicit PrefixIndex(PrefixIndexOptions Options = {}) : Options_(Options) {}

  /// Applies one event. A missing sequence number or another incarnation ends
  /// the confirmation of everything known of the endpoint; another
  /// incarnation also discards it, since its memory is empty.
  void record(const std::string &Endpoint, std::uint64_t Incarnation,
              const CacheEvent &Event, TimePoint Now);
  /// Notes that a poll up to `LastSequence` had no further events.
  void recordEmptyPoll(const std::string &Endpoint, std::uint64_t Incarnation,
                       std::uint64_t LastSequence, TimePoint Now);
  /// Forgets an endpoint, for example when it leaves the configuration.
  void erase(const std::string &Endpoint);

  /// Probable holders of a prefix, at most `MaxHolders`.
  std::vector<CachedPrefix> find(std::uint64_t PrefixHash, TimePoint Now) const;
  /// Per endpoint the leading blocks of a prompt that it probably holds, at
  /// most `MaxHolders`. `Blocks` is from `hashPrefixBlocks`.
  std::vector<CachedPrefix>
  findLongest(const std::vector<std::uint64_t> &Blocks, TimePoint Now) const;

  std::size_t size() const { return Prefixes_.size(); }

  static constexpr std::size_t MaxHolders = 4;

private:
  struct EventSource {
    std::uint32_t Id = 0; ///< new for each incarnation
    std::uint64_t Incarnation = 0;
    std::uint64_t LastSequence = 0;
    std::uint64_t ConfirmedFrom = 0; ///< events from here on have no gap
    std::uint64_t ClearedAt = 0;
    TimePoint LastEventAt{};
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
    std::uint64_t Serial = 0; ///< matches the newest entry in `Order_`
  };

  EventSource &findOrResetSource(const std::string &Endpoint,
                                 std::uint64_t Incarnation);
  void store(const std::string &Endpoint, const EventSource &Source,
             const CacheEvent &Event, TimePoint Now);
  void evict(const EventSource &Source, const CacheEvent &Event);

  PrefixIndexOptions Options_;
  std::unordered_map<std::string, EventSource> Sources_;
  std::unordered_map<std::uint64_t, Prefix> Prefixes_;
  /// Prefixes in the order in which they were stored last.
  std::deque<std::pair<std::uint64_t, std::uint64_t>> Order_;
  std::uint32_t NextSourceId_ = 1;
  std::uint64_t NextSerial_ = 1;
};

} // namespace cassiashed::routing
