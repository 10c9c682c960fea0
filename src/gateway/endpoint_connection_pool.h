#pragma once

#include "cassiashed/catalog/endpoint_directory.h"
#include "gateway/http_wire.h"
#include <memory>
#include <unordered_map>
#include <vector>

namespace cassiashed::gateway {

class EndpointConnectionPool;

/// A connection to an endpoint, used by one request at a time. It is closed
/// when it goes out of scope, unless it was released to the pool.
class EndpointConnection {
public:
  /// Above the largest head of an answer.
  static constexpr std::size_t MaxBufferBytes = 128 * 1024;

  EndpointConnection(EndpointConnectionPool &Pool, std::uint32_t Number,
                     Tcp::socket Socket);
  EndpointConnection(const EndpointConnection &) = delete;
  EndpointConnection &operator=(const EndpointConnection &) = delete;
  ~EndpointConnection();

  Tcp::socket Socket;
  /// Bytes read beyond the last answer. Its limit also ends answers whose next
  /// part, such as a chunk's extension or a trailer, never ends.
  beast::flat_buffer Buffer{MaxBufferBytes};
  std::uint32_t Number;  ///< of the endpoint
  bool IsReused = false; ///< carried an earlier request
  TimePoint IdleSince;
  Duration KeepAliveTimeout{0}; ///< stated by the endpoint; 0: not stated

private:
  EndpointConnectionPool &Pool_;
};
using EndpointConnectionPtr = std::unique_ptr<EndpointConnection>;

/// Keeps connections to endpoints open between requests. `Number` is the number
/// of an endpoint in the directory. Not thread-safe.
class EndpointConnectionPool {
public:
  explicit EndpointConnectionPool(asio::io_context &Context)
      : Context_(Context) {}

  /// Returns an open connection without unread bytes; null if there is none.
  EndpointConnectionPtr takeIdle(std::uint32_t Number, TimePoint Now);
  /// Opens a connection; returns null if that fails or takes longer than
  /// `Timeout`.
  http::Task<EndpointConnectionPtr> connect(const catalog::Endpoint &Endpoint,
                                            std::uint32_t Number,
                                            Duration Timeout);
  /// Returns a connection to the pool for the next request.
  void release(EndpointConnectionPtr Connection, TimePoint Now);
  void closeIdle(std::uint32_t Number) { Idle_.erase(Number); }
  /// Closes idle connections to an endpoint until fewer than `MaxOpen` are open
  /// or none is idle.
  void closeIdleAbove(std::uint32_t Number, int MaxOpen);
  void closeExpired(TimePoint Now);
  /// Closes up to `Count` idle connections to any endpoints.
  void closeAnyIdle(std::size_t Count);

  /// Open connections to an endpoint, idle ones included.
  int openCount(std::uint32_t Number) const;
  /// Connections to an endpoint that carry a request.
  int busyCount(std::uint32_t Number) const;
  std::size_t openTotal() const { return TotalOpen_; }

private:
  friend class EndpointConnection;
  void countOpened(std::uint32_t Number);
  void countClosed(std::uint32_t Number);

  asio::io_context &Context_;
  std::unordered_map<std::uint32_t, int> OpenCounts_;
  std::size_t TotalOpen_ = 0;
  std::unordered_map<std::uint32_t, std::vector<EndpointConnectionPtr>> Idle_;
};

} // namespace cassiashed::gateway
