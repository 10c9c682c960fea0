#pragma once

#include "cassiashed/base/clock.h"
#include "cassiashed/wire/envelope.h"
#include <functional>
#include <memory>
#include <optional>
#include <string>

/// Authenticated request/reply messages between nodes, over nng and TCP.
namespace cassiashed {

struct PeerTransportOptions {
  std::string ListenAddress; ///< "IP:port"; port 0 picks a free one
  std::string ClusterKey;
  std::string NodeName;
  std::uint64_t Incarnation = 0;
  int WorkerCount = 2;      ///< threads that run handlers and callbacks
  int MaxOpenRequests = 64; ///< requests received and not yet replied to
  Duration PeerIdleLimit = std::chrono::minutes(5); ///< then disconnected
};

enum class CallFailure {
  None,
  NotSent,  ///< no connection in time; the peer has not seen the message
  NoReply,  ///< the peer may have processed the message
  BadReply, ///< the reply failed authentication
  Rejected, ///< the peer answered with `MessageKind::Failure`
  Closed,   ///< the transport is shutting down; as `NoReply`
};

struct CallResult {
  CallFailure Failure = CallFailure::None;
  std::string Reason; ///< empty on success
  Message Reply;
  std::string Sender;
  std::uint64_t SenderIncarnation = 0;
};

/// A request as the handler gets it.
struct ReceivedMessage {
  Message Content;
  std::string Sender;
  std::uint64_t SenderIncarnation = 0;
};

/// Sends the reply; may be called once, from any thread, at any time. If all
/// copies are destroyed without a call, the peer gets a `Failure`.
using ReplyFunction = std::function<void(Message)>;
using MessageHandler = std::function<void(ReceivedMessage, ReplyFunction)>;
using CallCallback = std::function<void(CallResult)>;

/// Totals since the start. Bytes include nng's framing of 12 bytes for each
/// message, but not TCP and IP headers. Replies count as the traffic class of
/// their request.
struct TrafficTotals {
  std::uint64_t MessagesIn = 0, MessagesOut = 0;
  std::uint64_t BytesIn = 0, BytesOut = 0;
};

struct TransportTotals {
  TrafficTotals Control, Request;
  std::uint64_t DroppedUnauthenticated = 0; ///< wrong tag, version or format
  std::uint64_t DroppedReplayed = 0;
};

/// Handlers and callbacks run on the transport's workers, several at a time.
/// The destructor ends all calls with `Closed`, runs their callbacks and waits
/// for running handlers; it must not run on a worker.
class PeerTransport {
public:
  virtual ~PeerTransport() = default;

  /// Sends a message and returns at once. `Callback` runs exactly once.
  virtual void call(const std::string &Address, Message Content,
                    Duration Timeout, CallCallback Callback) = 0;

  /// The port in use, for a listen address with port 0.
  virtual int port() const = 0;
  virtual TransportTotals totals() const = 0;
};

/// Starts listening. Returns nothing and sets `Reason` if the address cannot
/// be used.
///
/// ```cpp
/// auto Transport = makePeerTransport(Options, Handler, Reason);
/// Transport->call("10.0.0.2:7000", packMessage(MessageKind::StatusQuery,
///                 StatusQuery{}), std::chrono::seconds(1), Callback);
/// ```
std::unique_ptr<PeerTransport> makePeerTransport(PeerTransportOptions Options,
                                                 MessageHandler Handler,
                                                 std::string &Reason);

} // namespace cassiashed
