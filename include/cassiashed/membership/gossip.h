#pragma once

#include "cassiashed/base/clock.h"
#include "cassiashed/membership/config_sync.h"
#include "cassiashed/membership/messages.h"
#include <memory>
#include <random>
#include <string>
#include <vector>

/// Who takes part, in what state, and the exchange of membership changes,
/// configuration version, contact ages and zone orders.
namespace cassiashed {

using RandomSource = std::mt19937_64;

struct GossipOptions {
  MemberRecord Self;              ///< state and version are ignored
  std::vector<std::string> Seeds; ///< addresses, "IP:port"
  int Partners = 2;               ///< contacted once a second until they change
  int RandomContacts = 1;         ///< contacted once a second, chosen anew
  Duration SuspectAfter = std::chrono::seconds(3); ///< without news
  Duration DeadAfter = std::chrono::seconds(3);    ///< as suspect
  std::size_t MaxChanges = 6; ///< member records in one message
};

struct GossipSend {
  std::uint64_t Id = 0; ///< for `onReply` or `onNoReply`
  std::string Address;
  GossipMessage Message;
};

/// Decision object. Call `tick` at least three times a second.
class Gossip {
public:
  virtual ~Gossip() = default;

  /// Messages to send now. Each must end in `onReply` or `onNoReply`; a reply
  /// is waited for at most 1 s.
  virtual std::vector<GossipSend> tick(TimePoint Now, RandomSource &Random) = 0;

  /// Processes a message and returns the reply to it.
  virtual GossipMessage receive(const GossipMessage &Message,
                                TimePoint Now) = 0;
  virtual void onReply(std::uint64_t Id, const GossipMessage &Reply,
                       TimePoint Now) = 0;
  virtual void onNoReply(std::uint64_t Id, TimePoint Now) = 0;

  /// Tells the others that this node is about to stop.
  virtual void setLeaving() = 0;

  /// All known members, this node included, ordered by name.
  virtual std::vector<MemberRecord> members() const = 0;

  /// Members that are neither dead nor leaving; suspects count as live.
  virtual std::vector<MemberRecord> liveMembers() const = 0;
};

/// `Sync` must outlive the result.
std::unique_ptr<Gossip> makeGossip(GossipOptions Options, ConfigSync &Sync);

} // namespace cassiashed
