#pragma once

#include "cassiashed/base/clock.h"
#include "cassiashed/membership/messages.h"
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Which configuration version this node must have, whether it is current
/// enough to take new work, and zone orders given during an outage.
namespace cassiashed {

/// A node that is not current refuses new work.
inline constexpr Duration FreshnessLimit = std::chrono::milliseconds(2500);

struct ConfigSyncOptions {
  std::string Node;
  /// Seed nodes of the settings, at most 9, the same list on every node.
  std::vector<std::string> Witnesses;
  Duration Limit = FreshnessLimit;
};

/// Interval between polls of `config/current`: 1 s for witnesses and up to 100
/// nodes, at most 2 s, which is 180 reads/s at 360 nodes.
Duration configPollInterval(std::size_t NodeCount, bool IsWitness);

/// A version that is newer than the one in force.
struct ConfigWant {
  std::uint64_t Version = 0;
  std::string Peer; ///< node that has heard of it; empty: from the table row
};

/// Decision object; the caller does all input and output.
///
/// ```cpp
/// if (Sync->takePollDue(Now, NodeCount)) {
///   // read config/current, then:
///   Sync->onRowRead(Start, Version, Now);
/// }
/// if (auto Want = Sync->wanted()) { /* pull, check and put into force */
///   Sync->onInForce(Want->Version, Now);
/// }
/// ```
class ConfigSync {
public:
  virtual ~ConfigSync() = default;

  /// True once per poll interval.
  virtual bool takePollDue(TimePoint Now, std::size_t NodeCount) = 0;

  /// Result of a poll that was started at `Start`; no version: it failed.
  /// A row that does not exist has version 0.
  virtual void onRowRead(TimePoint Start, std::optional<std::uint64_t> Version,
                         TimePoint Now) = 0;

  virtual std::optional<ConfigWant> wanted() const = 0;

  /// The whole text of `Version` was checked and is in effect. Returns false
  /// if a newer version is in force already; the caller then drops the text.
  virtual bool onInForce(std::uint64_t Version, TimePoint Now) = 0;
  virtual std::uint64_t inForce() const = 0;

  /// Whether this node may take and send new work. Ask again right before
  /// work is sent to an endpoint.
  virtual bool isCurrent(TimePoint Now) const = 0;

  /// Everything that a majority of witnesses or the table row had at this
  /// time is in force here. Nothing: never current so far.
  virtual std::optional<TimePoint> currentAsOf() const = 0;

  /// Accepts an operator's order while the table service is down. Returns the
  /// order with its number.
  virtual ZoneOrder addOrder(std::string Zone, bool Out, std::string Id,
                             TimePoint Now) = 0;

  /// True when more than half of the witnesses have the order.
  virtual bool isAcknowledged(const std::string &OrderId) const = 0;

  /// The order is part of the configuration `Version`, which replaces it as
  /// soon as that version is in force.
  virtual void onOrderCommitted(const std::string &OrderId,
                                std::uint64_t Version, TimePoint Now) = 0;

  /// The order in effect for the zone, over the configuration in force.
  virtual std::optional<ZoneOrder>
  orderInEffect(const std::string &Zone) const = 0;

  /// All orders that the configuration does not contain yet.
  virtual std::vector<ZoneOrder> openOrders() const = 0;

  /// Fills version, ages and orders of an outgoing gossip message.
  virtual void fill(GossipMessage &Message, TimePoint Now) = 0;

  /// Takes version and orders from a message, and contact ages if it is known
  /// that the message was sent after `SentAfter`.
  virtual void absorb(const GossipMessage &Message,
                      std::optional<TimePoint> SentAfter, TimePoint Now) = 0;
};

std::unique_ptr<ConfigSync> makeConfigSync(ConfigSyncOptions Options);

} // namespace cassiashed
