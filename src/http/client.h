#pragma once

#include "cassiashed/base/clock.h"
#include "http/asio.h"
#include "http/message.h"
#include <memory>
#include <optional>

/// HTTP/1.1 client whose reply bodies can be read piece by piece.
namespace cassiashed::http {

/// How far an exchange got before it failed; decides whether the request can
/// have had an effect.
enum class ClientFailure {
  None,
  NotConnected, ///< no byte of the request was sent
  NotAnswered,  ///< the request was sent, at least in part
  Truncated,    ///< the reply ended before its end
  TimedOut,     ///< the peer made no progress in time
  TooLarge,     ///< the reply exceeds the limit of the call
};

struct ClientOptions {
  Duration ConnectTimeout = std::chrono::seconds(2);
  Duration WriteTimeout = std::chrono::seconds(30);
  /// Bytes that the peer did not get are dropped when the connection ends, not
  /// sent again by the kernel: the request must not arrive later.
  bool DropUnsent = false;
  int ReceiveBufferBytes = 0; ///< kernel buffer; 0 leaves the default
};

/// One exchange on one connection. Not safe for use by several threads; runs
/// on the executor of the coroutine that calls it.
class ClientStream {
public:
  virtual ~ClientStream() = default;

  /// Returns false on failure; no byte of a request was sent.
  virtual Task<bool> connect(Address Peer) = 0;

  /// Sends the request on the connection. Returns false on failure.
  virtual Task<bool> send(Request Message) = 0;

  /// Connects and sends the request. Returns false on failure.
  virtual Task<bool> start(Address Peer, Request Message) = 0;

  /// Reads status and headers of the final answer; interim answers (1xx) are
  /// skipped. Must succeed before the body is read.
  virtual Task<std::optional<Response>> readHead(Duration Timeout) = 0;

  /// Reads the next piece of the body; an empty string at its end. At most
  /// 16 KiB are held.
  virtual Task<std::optional<std::string>> readSome(Duration Timeout) = 0;

  /// Why the last operation failed.
  virtual ClientFailure failure() const = 0;

  /// Ends pending operations with a failure. Must be called on the stream's
  /// executor.
  virtual void close() = 0;
};

std::shared_ptr<ClientStream> makeClientStream(asio::any_io_executor Executor,
                                               ClientOptions Options = {});

/// Bytes of a reply that `fetch` reads if nothing else is said. A faulty peer
/// may send bytes without end.
inline constexpr std::size_t MaxReplyBytes = 1024 * 1024;

/// Time and size limits of one call. With a `BodyTimeout`, a large reply on a
/// slow link is not abandoned while it arrives.
struct FetchLimits {
  Duration HeadTimeout{1000};  ///< until the head of the reply is read
  Duration PauseTimeout{1000}; ///< longest time without bytes of the body
  /// For the whole body, from the end of the head on. 0: the body has to arrive
  /// within the rest of `HeadTimeout`.
  Duration BodyTimeout{0};
  std::size_t MaxBytes = MaxReplyBytes;
};

/// Sends one request and reads the whole reply within `Limits`.
Task<std::optional<Response>> fetch(Address Peer, Request Message,
                                    FetchLimits Limits,
                                    ClientFailure *Failure = nullptr);

/// Sends one request and reads the whole reply within `Timeout`, up to
/// `MaxBytes`.
Task<std::optional<Response>> fetch(Address Peer, Request Message,
                                    Duration Timeout,
                                    ClientFailure *Failure = nullptr,
                                    std::size_t MaxBytes = MaxReplyBytes);

} // namespace cassiashed::http
