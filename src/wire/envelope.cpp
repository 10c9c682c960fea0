#include "cassiashed/wire/envelope.h"

#include "cassiashed/base/invariant.h"
#include <cstring>
#include <msgpack.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>

namespace cassiashed {
namespace {

struct KindEntry {
  const char *Name;
  MessageKind Kind;
  TrafficClass Traffic;
};

constexpr KindEntry KindTable[] = {
    {"gossip", MessageKind::Gossip, TrafficClass::Control},
    {"gossip-reply", MessageKind::GossipReply, TrafficClass::Control},
    {"config-pull", MessageKind::ConfigPull, TrafficClass::Control},
    {"config-text", MessageKind::ConfigText, TrafficClass::Control},
    {"promise-request", MessageKind::PromiseRequest, TrafficClass::Control},
    {"promise-reply", MessageKind::PromiseReply, TrafficClass::Control},
    {"release-request", MessageKind::ReleaseRequest, TrafficClass::Control},
    {"release-reply", MessageKind::ReleaseReply, TrafficClass::Control},
    {"handover", MessageKind::Handover, TrafficClass::Control},
    {"grant-request", MessageKind::GrantRequest, TrafficClass::Request},
    {"grant-reply", MessageKind::GrantReply, TrafficClass::Request},
    {"grant-ready", MessageKind::GrantReady, TrafficClass::Request},
    {"grant-release", MessageKind::GrantRelease, TrafficClass::Request},
    {"grant-hold", MessageKind::GrantHold, TrafficClass::Request},
    {"grant-hold-reply", MessageKind::GrantHoldReply, TrafficClass::Request},
    {"order-forward", MessageKind::OrderForward, TrafficClass::Control},
    {"order-reply", MessageKind::OrderReply, TrafficClass::Control},
    {"status-query", MessageKind::StatusQuery, TrafficClass::Control},
    {"status-reply", MessageKind::StatusReply, TrafficClass::Control},
    {"record-batch", MessageKind::RecordBatch, TrafficClass::Request},
    {"record-batch-reply", MessageKind::RecordBatchReply,
     TrafficClass::Request},
    {"quarantine-notice", MessageKind::QuarantineNotice, TrafficClass::Control},
    {"acknowledge", MessageKind::Acknowledge, TrafficClass::Control},
    {"failure", MessageKind::Failure, TrafficClass::Control},
};
static_assert(std::size(KindTable) == MessageKindCount);

const KindEntry &entryOf(MessageKind Kind) {
  const auto &Entry = KindTable[static_cast<int>(Kind)];
  CASSIASHED_INVARIANT(Entry.Kind == Kind, "message kinds out of order");
  return Entry;
}

using Digest = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;
using PrivateKey = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;

} // namespace

std::string_view nameOf(MessageKind Kind) { return entryOf(Kind).Name; }
TrafficClass trafficClassOf(MessageKind Kind) { return entryOf(Kind).Traffic; }

EnvelopeCodec::EnvelopeCodec(std::string Key) : Key_(std::move(Key)) {
  CASSIASHED_INVARIANT(!Key_.empty(), "the cluster key is empty");
}

std::array<char, TagBytes> EnvelopeCodec::tagOf(std::string_view Bytes) const {
  const PrivateKey Key(EVP_PKEY_new_raw_private_key(
                           EVP_PKEY_HMAC, nullptr,
                           reinterpret_cast<const unsigned char *>(Key_.data()),
                           Key_.size()),
                       EVP_PKEY_free);
  const Digest Context(EVP_MD_CTX_new(), EVP_MD_CTX_free);
  unsigned char Full[EVP_MAX_MD_SIZE];
  std::size_t Length = sizeof(Full);
  const bool Signed =
      Key && Context &&
      EVP_DigestSignInit(Context.get(), nullptr, EVP_sha256(), nullptr,
                         Key.get()) == 1 &&
      EVP_DigestSign(Context.get(), Full, &Length,
                     reinterpret_cast<const unsigned char *>(Bytes.data()),
                     Bytes.size()) == 1;
  CASSIASHED_INVARIANT(Signed && Length >= TagBytes, "HMAC-SHA256 failed");
  std::array<char, TagBytes> Tag;
  std::memcpy(Tag.data(), Full, TagBytes);
  return Tag;
}

std::optional<std::string> EnvelopeCodec::encode(const Envelope &Content,
                                                 std::string &Reason) const {
  msgpack::sbuffer Buffer;
  msgpack::packer<msgpack::sbuffer> Packer(Buffer);
  Packer.pack_array(6);
  Packer.pack(ProtocolVersion);
  Packer.pack(static_cast<int>(Content.Kind));
  Packer.pack(Content.Sender);
  Packer.pack(Content.SenderIncarnation);
  Packer.pack(Content.Sequence);
  Packer.pack_bin(static_cast<std::uint32_t>(Content.Body.size()));
  Packer.pack_bin_body(Content.Body.data(),
                       static_cast<std::uint32_t>(Content.Body.size()));
  if (Buffer.size() + TagBytes > MaxMessageBytes) {
    Reason = "message exceeds 64 KiB";
    return std::nullopt;
  }
  std::string Bytes(Buffer.data(), Buffer.size());
  const auto Tag = tagOf(Bytes);
  Bytes.append(Tag.data(), Tag.size());
  return Bytes;
}

std::optional<Envelope> EnvelopeCodec::decode(std::string_view Bytes,
                                              std::string &Reason) const {
  if (Bytes.size() > MaxMessageBytes || Bytes.size() <= TagBytes) {
    Reason = "message size out of range";
    return std::nullopt;
  }
  const auto Signed = Bytes.substr(0, Bytes.size() - TagBytes);
  const auto Tag = tagOf(Signed);
  // Constant time, so that the tag cannot be guessed byte by byte.
  if (CRYPTO_memcmp(Tag.data(), Bytes.data() + Signed.size(), TagBytes) != 0) {
    Reason = "wrong tag";
    return std::nullopt;
  }
  try {
    const auto Handle = msgpack::unpack(
        Signed.data(), Signed.size(), nullptr, nullptr,
        msgpack::unpack_limit(16, 0, MaxMessageBytes, MaxMessageBytes, 0, 2));
    const msgpack::object &Root = Handle.get();
    if (Root.type != msgpack::type::ARRAY || Root.via.array.size < 1 ||
        Root.via.array.ptr[0].as<std::uint32_t>() != ProtocolVersion) {
      Reason = "unknown protocol version";
      return std::nullopt;
    }
    if (Root.via.array.size < 6) {
      Reason = "envelope is incomplete";
      return std::nullopt;
    }
    const msgpack::object *Fields = Root.via.array.ptr;
    const int Kind = Fields[1].as<int>();
    if (Kind < 0 || Kind >= MessageKindCount) {
      Reason = "unknown message kind";
      return std::nullopt;
    }
    Envelope Result;
    Result.Kind = static_cast<MessageKind>(Kind);
    Result.Sender = Fields[2].as<std::string>();
    Result.SenderIncarnation = Fields[3].as<std::uint64_t>();
    Result.Sequence = Fields[4].as<std::uint64_t>();
    Result.Body = Fields[5].as<std::string>();
    return Result;
  } catch (const std::exception &Failure) {
    Reason = Failure.what();
    return std::nullopt;
  }
}

bool ReplayGuard::accept(const std::string &Sender, std::uint64_t Incarnation,
                         std::uint64_t Sequence) {
  const std::lock_guard Lock(Mutex_);
  auto Found = Windows_.find(Sender);
  if (Found == Windows_.end()) {
    if (Windows_.size() >= MaxSenders) {
      auto Oldest = Windows_.begin();
      for (auto It = Windows_.begin(); It != Windows_.end(); ++It)
        if (It->second.LastUse < Oldest->second.LastUse)
          Oldest = It;
      Windows_.erase(Oldest);
    }
    Found = Windows_.emplace(Sender, Window{}).first;
    Found->second.Incarnation = Incarnation;
  }
  Window &State = Found->second;
  if (Incarnation < State.Incarnation)
    return false;
  if (Incarnation > State.Incarnation) {
    State = Window{};
    State.Incarnation = Incarnation;
  }
  State.LastUse = ++Uses_;
  if (Sequence > State.Highest) {
    const std::uint64_t Step = Sequence - State.Highest;
    if (Step >= WindowSize)
      State.Seen.fill(0);
    else
      for (std::uint64_t Next = State.Highest + 1; Next <= Sequence; ++Next)
        State.Seen[Next % WindowSize / 64] &= ~(1ULL << (Next % 64));
    State.Highest = Sequence;
  } else if (State.Highest - Sequence >= WindowSize) {
    return false;
  }
  std::uint64_t &Word = State.Seen[Sequence % WindowSize / 64];
  const std::uint64_t Bit = 1ULL << (Sequence % 64);
  if (Word & Bit)
    return false;
  Word |= Bit;
  return true;
}

} // namespace cassiashed
