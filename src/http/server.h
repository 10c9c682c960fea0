#pragma once

#include "cassiashed/base/clock.h"
#include "http/asio.h"
#include "http/memory_account.h"
#include "http/message.h"
#include <functional>
#include <memory>

/// HTTP/1.1 server whose handlers are coroutines and may stream their reply.
namespace cassiashed::http {

struct ServerOptions {
  std::string Host = "127.0.0.1";
  unsigned short Port = 0; ///< 0: any free port
  std::size_t MaxHeadBytes = 16 * 1024;
  std::size_t MaxBodyBytes = 8 * 1024 * 1024;
  Duration HeadTimeout = std::chrono::seconds(10);
  std::size_t MinBodyBytesPerSecond = 16 * 1024;
  Duration IdleTimeout = std::chrono::seconds(75); ///< between requests
  int SendBufferBytes = 16 * 1024; ///< kernel buffer of one connection
  /// Above it, the connection whose last request is the oldest is closed; 0: no
  /// limit.
  std::size_t MaxConnections = 0;
  /// Holds the replies of `send` until they are written; null: not limited. It
  /// is used on the server's only thread.
  MemoryAccount *Memory = nullptr;
};

/// Why a request could not be read; answered before the handler is reached.
enum class ReadFailure { Malformed, HeadTooLarge, BodyTooLarge, TooSlow };

/// Sends the reply of one request: either `send`, or `startStream`, any number
/// of `write` and `endStream`. All return false once the caller is gone.
class ResponseWriter {
public:
  virtual ~ResponseWriter() = default;
  virtual Task<bool> send(int Status, std::string_view ContentType,
                          std::string Body, Headers Extra = {}) = 0;
  virtual Task<bool> startStream(int Status, std::string_view ContentType,
                                 Headers Extra = {}) = 0;
  /// Returns when the bytes are with the kernel; a slow reader delays it.
  /// Fails after `Timeout` without progress.
  virtual Task<bool> write(std::string_view Bytes, Duration Timeout) = 0;
  virtual Task<bool> endStream() = 0;
  /// Whether a reply was begun.
  virtual bool started() const = 0;
  /// Whether the last failed `write` ran into its timeout.
  virtual bool timedOut() const = 0;
  /// Calls `Notify` once if the caller closes the connection while the
  /// handler runs. An empty function ends the watch.
  virtual void watchClose(std::function<void()> Notify) = 0;
};

using Handler = std::function<Task<void>(Request, ResponseWriter &)>;
using FailureBody = std::function<Response(ReadFailure)>;

class Server {
public:
  virtual ~Server() = default;
  /// Port on which the server listens.
  virtual unsigned short port() const = 0;
  /// Accepts no further connections and closes idle ones; requests in
  /// progress go on.
  virtual void stopAccepting() = 0;
  virtual std::size_t activeRequests() const = 0;
};

/// Starts a server on `Context`, which must outlive it. Returns null and sets
/// `Reason` if the address cannot be used.
///
/// ```cpp
/// auto Front = startServer(Context, {.Port = 8080}, handle, describe, Reason);
/// ```
std::unique_ptr<Server> startServer(asio::io_context &Context,
                                    ServerOptions Options, Handler Handle,
                                    FailureBody Describe, std::string &Reason);

} // namespace cassiashed::http
