#include "gateway/endpoint_connection_pool.h"

#include "http/peek.h"
#include <algorithm>

namespace cassiashed::gateway {
namespace {

/// As many as a node uses at the same time at normal load.
constexpr std::size_t MaxIdlePerEndpoint = 8;
/// Applies if the endpoint states no keep-alive time.
constexpr Duration DefaultKeepAliveTimeout{4000};
/// A connection is not reused in the last part of its keep-alive time, since
/// the endpoint may close it while a request is on its way.
constexpr Duration KeepAliveMargin{800};
constexpr std::chrono::seconds DeadPeerTimeout{3};

bool isExpired(const EndpointConnection &Connection, TimePoint Now) {
  const Duration MaxIdle =
      Connection.KeepAliveTimeout.count() > 0
          ? std::max(Connection.KeepAliveTimeout - KeepAliveMargin, Duration(0))
          : DefaultKeepAliveTimeout;
  return Now - Connection.IdleSince > MaxIdle;
}

} // namespace

EndpointConnection::EndpointConnection(EndpointConnectionPool &Pool,
                                       std::uint32_t Number, Tcp::socket Socket)
    : Socket(std::move(Socket)), Number(Number), Pool_(Pool) {
  Pool_.countOpened(Number);
}

EndpointConnection::~EndpointConnection() {
  Pool_.countClosed(Number);
  Code Ignored;
  Socket.close(Ignored);
}

void EndpointConnectionPool::countOpened(std::uint32_t Number) {
  ++OpenCounts_[Number];
  ++TotalOpen_;
}

void EndpointConnectionPool::countClosed(std::uint32_t Number) {
  --TotalOpen_;
  const auto Found = OpenCounts_.find(Number);
  if (Found != OpenCounts_.end() && --Found->second <= 0)
    OpenCounts_.erase(Found);
}

EndpointConnectionPtr EndpointConnectionPool::takeIdle(std::uint32_t Number,
                                                       TimePoint Now) {
  const auto Found = Idle_.find(Number);
  while (Found != Idle_.end() && !Found->second.empty()) {
    EndpointConnectionPtr Connection = std::move(Found->second.back());
    Found->second.pop_back();
    // A readable connection was closed by the endpoint, or holds bytes that
    // belong to no request.
    if (!isExpired(*Connection, Now) &&
        http::probeReadable(Connection->Socket) == http::Readable::Nothing)
      return Connection;
  }
  return nullptr;
}

http::Task<EndpointConnectionPtr>
EndpointConnectionPool::connect(const catalog::Endpoint &Endpoint,
                                std::uint32_t Number, Duration Timeout) {
  Code Failure;
  const auto Ip = asio::ip::make_address(Endpoint.Host, Failure);
  if (Failure)
    co_return nullptr;
  Tcp::socket Socket(Context_);
  asio::steady_timer Timer(Context_, Timeout);
  Timer.async_wait([&Socket](Code Cancelled) {
    if (!Cancelled) {
      Code Ignored;
      Socket.close(Ignored);
    }
  });
  const Tcp::endpoint Address(Ip, Endpoint.Port);
  co_await Socket.async_connect(Address, intoCode(Failure));
  // If the timer has expired, its handler may still be queued. It must not run
  // after the socket is moved from below.
  if (Timer.cancel() == 0)
    Failure = asio::error::timed_out;
  if (Failure) {
    Code Ignored;
    Socket.close(Ignored);
    // Lets a queued timeout handler run before the socket is destroyed.
    co_await asio::post(Context_, asio::use_awaitable);
    co_return nullptr;
  }
  Code Ignored;
  Socket.set_option(Tcp::no_delay(true), Ignored);
  detectDeadPeer(Socket, DeadPeerTimeout);
  EndpointConnectionPtr Connection =
      std::make_unique<EndpointConnection>(*this, Number, std::move(Socket));
  co_return Connection;
}

void EndpointConnectionPool::release(EndpointConnectionPtr Connection,
                                     TimePoint Now) {
  if (Connection->Buffer.size() != 0)
    return; // bytes after a complete answer belong to no request
  Connection->IdleSince = Now;
  Connection->IsReused = true;
  Connection->Buffer.shrink_to_fit();
  std::vector<EndpointConnectionPtr> &IdleConnections =
      Idle_[Connection->Number];
  if (IdleConnections.size() < MaxIdlePerEndpoint)
    IdleConnections.push_back(std::move(Connection));
}

void EndpointConnectionPool::closeIdleAbove(std::uint32_t Number, int MaxOpen) {
  const auto Found = Idle_.find(Number);
  while (Found != Idle_.end() && !Found->second.empty() &&
         openCount(Number) >= MaxOpen)
    Found->second.erase(Found->second.begin());
}

void EndpointConnectionPool::closeExpired(TimePoint Now) {
  for (auto Entry = Idle_.begin(); Entry != Idle_.end();) {
    std::erase_if(Entry->second, [Now](
                                     const EndpointConnectionPtr &Connection) {
      return isExpired(*Connection, Now) ||
             http::probeReadable(Connection->Socket) != http::Readable::Nothing;
    });
    Entry = Entry->second.empty() ? Idle_.erase(Entry) : std::next(Entry);
  }
}

void EndpointConnectionPool::closeAnyIdle(std::size_t Count) {
  for (auto Entry = Idle_.begin(); Entry != Idle_.end() && Count > 0;) {
    while (!Entry->second.empty() && Count > 0) {
      Entry->second.erase(Entry->second.begin());
      --Count;
    }
    Entry = Entry->second.empty() ? Idle_.erase(Entry) : std::next(Entry);
  }
}

int EndpointConnectionPool::busyCount(std::uint32_t Number) const {
  const auto Found = Idle_.find(Number);
  const auto Idle = Found == Idle_.end() ? 0 : Found->second.size();
  return openCount(Number) - static_cast<int>(Idle);
}

int EndpointConnectionPool::openCount(std::uint32_t Number) const {
  const auto Found = OpenCounts_.find(Number);
  return Found == OpenCounts_.end() ? 0 : Found->second;
}

} // namespace cassiashed::gateway
