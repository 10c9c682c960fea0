#pragma once

#include <cstdint>
#include <string>
#include <vector>

/// What membership decisions exchange between nodes. `wire` encodes these
/// structures; they contain no clock values, only ages and durations.
namespace cassiashed {

enum class MemberState { Alive, Leaving, Suspect, Dead };

/// What one node says about a member. Records of the same member are ordered
/// by incarnation, then version, then state; the higher one wins.
struct MemberRecord {
  std::string Name;
  std::string Address;
  std::string Zone;
  std::uint64_t Incarnation = 0;
  std::uint32_t Version = 0; ///< increased by the member to deny a suspicion
  MemberState State = MemberState::Alive;
};

/// An operator's order about an availability zone, given while the table
/// service is down. For one zone the order with the higher number wins.
struct ZoneOrder {
  std::string Zone;
  bool Out = false;
  std::uint64_t Number = 0;
  std::string Id;           ///< breaks ties between orders with the same number
  std::uint16_t HeldBy = 0; ///< bit per witness that has the order
  /// Configuration version that contains the order; 0: not committed yet.
  std::uint64_t CommittedVersion = 0;
};

/// Age of a contact that never took place.
inline constexpr std::uint16_t NoContactAge = 0xffff;

/// One gossip message or reply.
struct GossipMessage {
  MemberRecord Sender;
  bool WantsMembers = false;       ///< asks for the whole member list
  std::uint64_t ConfigVersion = 0; ///< highest version known to the sender
  std::uint32_t MemberDigest = 0;  ///< equal for equal member lists
  /// Time of the sender's clock, and the `Stamp` of the receiver's last reply
  /// with the time since its arrival. They bound the transit time, without
  /// which a delayed message would pass for fresh.
  std::uint32_t Stamp = 0;
  std::uint32_t EchoStamp = 0; ///< 0: no reply received yet
  std::uint32_t EchoHoldMs = 0;
  std::uint32_t EchoIncarnation = 0; ///< low bits of the receiver's
  std::uint32_t WitnessListHash = 0;
  /// Per witness, in the order of the settings: age in units of 10 ms of the
  /// newest state of that witness that is contained in this message.
  std::vector<std::uint16_t> WitnessAges;
  std::vector<MemberRecord> Members; ///< changes, or the whole list
  std::vector<ZoneOrder> Orders;
};

/// Asks the recorded standby not to use its half for a while, for all
/// endpoints with the same owner and standby. Sent only while the owner cannot
/// renew its lease, and to end that state.
struct PromiseRequest {
  struct Item {
    std::string Endpoint;
    std::uint64_t Epoch = 0;
    /// False: the owner's lease does not bound its share any more, so the
    /// standby may use its half when the promise and `LeaseLeftMs` are over.
    /// True: the standby must not do so until it is asked again.
    bool Disarm = false;
  };
  std::string Owner;
  std::uint64_t OwnerIncarnation = 0;
  std::uint64_t StandbyIncarnation = 0; ///< the receiver's, as recorded
  std::uint64_t Number = 0;             ///< increases with each request
  std::uint32_t LeaseLeftMs = 0;        ///< validity left at sending
  std::vector<Item> Items;
};

/// Endpoints for which the standby agreed; refused ones are missing.
struct PromiseReply {
  std::vector<std::string> Endpoints;
};

/// Asks an earlier holder to confirm that it uses no share of the endpoint
/// under an epoch below `Epoch`.
struct ReleaseRequest {
  struct Item {
    std::string Endpoint;
    std::uint64_t Epoch = 0;
  };
  std::vector<Item> Items;
};

struct ReleaseReply {
  std::uint64_t Incarnation = 0;     ///< of the node that answers
  std::vector<std::string> Released; ///< endpoints without a share in use
};

} // namespace cassiashed
