#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

/// Authenticated messages between nodes: a msgpack envelope followed by the
/// first 16 bytes of its HMAC-SHA256 under the cluster key.
namespace cassiashed {

inline constexpr std::uint32_t ProtocolVersion = 1;
inline constexpr std::size_t MaxMessageBytes = 65536; ///< envelope with tag
inline constexpr std::size_t TagBytes = 16;

enum class MessageKind {
  Gossip,
  GossipReply,
  ConfigPull,
  ConfigText,
  PromiseRequest,
  PromiseReply,
  ReleaseRequest,
  ReleaseReply,
  Handover,
  GrantRequest,
  GrantReply,
  GrantReady,
  GrantRelease,
  GrantHold,
  GrantHoldReply,
  OrderForward,
  OrderReply,
  StatusQuery,
  StatusReply,
  RecordBatch,
  RecordBatchReply,
  QuarantineNotice,
  Acknowledge,
  Failure,
};

/// Number of values of `MessageKind`.
inline constexpr int MessageKindCount =
    static_cast<int>(MessageKind::Failure) + 1;

/// Request traffic grows with the callers' requests and is counted apart from
/// control traffic.
enum class TrafficClass { Control, Request };

std::string_view nameOf(MessageKind Kind);
TrafficClass trafficClassOf(MessageKind Kind);

/// A message without sender; what handlers see and callers pass.
struct Message {
  MessageKind Kind = MessageKind::Failure;
  std::string Body; ///< msgpack, see the headers of the message groups
};

/// One message as it travels.
struct Envelope {
  MessageKind Kind = MessageKind::Failure;
  std::string Sender;
  std::uint64_t SenderIncarnation = 0;
  std::uint64_t Sequence = 0; ///< increases with each message of a sender
  std::string Body;
};

/// Encodes envelopes with a tag and checks the tag before it decodes. Safe for
/// use by several threads.
///
/// ```cpp
/// EnvelopeCodec Codec("cluster key");
/// std::string Reason;
/// if (auto Bytes = Codec.encode(Envelope, Reason)) ...
/// ```
class EnvelopeCodec {
public:
  explicit EnvelopeCodec(std::string Key);

  /// Fails if the result would exceed `MaxMessageBytes`.
  std::optional<std::string> encode(const Envelope &Content,
                                    std::string &Reason) const;

  /// Fails on a wrong tag, an unknown version or kind, and malformed bytes.
  std::optional<Envelope> decode(std::string_view Bytes,
                                 std::string &Reason) const;

private:
  std::array<char, TagBytes> tagOf(std::string_view Bytes) const;

  std::string Key_;
};

/// Accepts each sequence number of a sender once. Numbers may arrive out of
/// order within a window; older numbers and older incarnations are refused.
/// Safe for use by several threads.
class ReplayGuard {
public:
  /// Concurrent calls of one sender overtake each other by far less than this.
  static constexpr std::uint64_t WindowSize = 4096;

  /// Senders above this number replace the one that was silent longest.
  static constexpr std::size_t MaxSenders = 1024;

  bool accept(const std::string &Sender, std::uint64_t Incarnation,
              std::uint64_t Sequence);

private:
  struct Window {
    std::uint64_t Incarnation = 0;
    std::uint64_t Highest = 0;
    std::uint64_t LastUse = 0;
    std::array<std::uint64_t, WindowSize / 64> Seen{};
  };

  std::mutex Mutex_;
  std::uint64_t Uses_ = 0;
  std::unordered_map<std::string, Window> Windows_;
};

} // namespace cassiashed
