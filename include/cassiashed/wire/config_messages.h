#pragma once

#include "cassiashed/wire/body.h"
#include <vector>

/// Bodies of configuration, order and status messages.
namespace cassiashed {

/// Asks a peer for a piece of the text of one configuration version. A text
/// above 64 KiB takes several pulls.
struct ConfigPull {
  std::uint64_t Version = 0;
  std::uint64_t Offset = 0;
  MSGPACK_DEFINE(Version, Offset)
};

/// `ObjectName` is the hash of the whole text; the receiver verifies it. An
/// empty `Text` at offset 0 means that the peer does not have the version.
struct ConfigText {
  static constexpr std::size_t MaxTextBytes = 48 * 1024;

  std::uint64_t Version = 0;
  std::uint64_t Offset = 0;
  std::uint64_t TotalBytes = 0;
  std::string ApplyId;
  std::string ObjectName;
  std::string Text;
  MSGPACK_DEFINE(Version, Offset, TotalBytes, ApplyId, ObjectName, Text)
};

/// An operator's order passed on to the node that can carry it out.
struct OrderForward {
  std::string OrderId;
  std::string Kind; ///< for example `drain` or `load_model`
  std::string Target;
  std::string Arguments; ///< JSON object
  MSGPACK_DEFINE(OrderId, Kind, Target, Arguments)
};

struct OrderReply {
  std::string OrderId;
  bool Accepted = false;
  std::string Reason;
  MSGPACK_DEFINE(OrderId, Accepted, Reason)
};

struct StatusQuery {
  std::string Topic; ///< empty: everything
  MSGPACK_DEFINE(Topic)
};

struct StatusReply {
  std::string Json;
  MSGPACK_DEFINE(Json)
};

/// Answer to a message that the receiver cannot process.
struct FailureReply {
  std::string Reason;
  MSGPACK_DEFINE(Reason)
};

} // namespace cassiashed
