#pragma once

#include "cassiashed/catalog/endpoint_directory.h"
#include "gateway/http_wire.h"
#include <memory>
#include <unordered_map>
#include <vector>

namespace cassiashed::gateway {

class EndpointPool;

/// A connection to an endpoint, in use by one request at a time. Closed when
/// it goes out of scope, unless it was given back to the pool.
class EndpointLink {
public:
  EndpointLink(EndpointPool &Pool, std::uint32_t Number, Tcp::socket Socket);
  EndpointLink(const EndpointLink &) = delete;
  EndpointLink &operator=(const EndpointLink &) = delete;
  ~EndpointLink();

  Tcp::socket Socket;
  beast::flat_buffer Buffer; ///< bytes read beyond the last answer
  std::uint32_t Number;      ///< endpoint
  bool Reused = false;       ///< it has carried an earlier request
  TimePoint IdleSince;
  Duration IdleLimit{0}; ///< the endpoint's keep-alive time; 0: not stated

private:
  EndpointPool &Pool_;
};
using LinkRef = std::unique_ptr<EndpointLink>;

/// Keep-alive connections to endpoints. Runs on one thread.
class EndpointPool {
public:
  explicit EndpointPool(asio::io_context &Context) : Context_(Context) {}

  /// A connection that is open and has no unread bytes; null if there is none.
  LinkRef takeIdle(std::uint32_t Number, TimePoint Now);
  /// A new connection; null if it failed within `Timeout`.
  http::Task<LinkRef> connect(const catalog::Endpoint &Peer,
                              std::uint32_t Number, Duration Timeout);
  /// Keeps the connection for the next request.
  void giveBack(LinkRef Link, TimePoint Now);
  void closeIdle(std::uint32_t Number) { Idle_.erase(Number); }
  /// Closes idle connections to an endpoint until fewer than `Limit` are open
  /// or none is idle.
  void makeRoom(std::uint32_t Number, int Limit);
  void dropExpired(TimePoint Now);

  /// Connections to an endpoint, idle ones included.
  int openCount(std::uint32_t Number) const;
  /// Connections to an endpoint that carry a request.
  int busyCount(std::uint32_t Number) const;
  std::size_t openTotal() const { return OpenTotal_; }

private:
  friend class EndpointLink;
  void countOpened(std::uint32_t Number);
  void countClosed(std::uint32_t Number);

  asio::io_context &Context_;
  std::unordered_map<std::uint32_t, int> Open_;
  std::size_t OpenTotal_ = 0;
  std::unordered_map<std::uint32_t, std::vector<LinkRef>> Idle_;
};

} // namespace cassiashed::gateway
