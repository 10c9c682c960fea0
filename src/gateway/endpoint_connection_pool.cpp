#include "gateway/endpoint_connection_pool.h"

#include "http/peek.h"
#include <algorithm>

namespace cassiashed::gateway {
namespace {

/// Connections kept per endpoint: what a node uses at once in normal load.
constexpr std::size_t MaxIdlePerEndpoint = 8;
/// Kept when the endpoint states no time of its own.
constexpr Duration DefaultIdleLimit{4000};
/// A connection is not used in the last part of its keep-alive time, in which
/// the endpoint may close it while a request is on its way.
constexpr Duration IdleMargin{800};
constexpr std::chrono::seconds DeadPeerLimit{3};

bool isExpired(const EndpointLink &Link, TimePoint Now) {
  const Duration Limit =
      Link.IdleLimit.count() > 0
          ? std::max(Link.IdleLimit - IdleMargin, Duration(0))
          : DefaultIdleLimit;
  return Now - Link.IdleSince > Limit;
}

} // namespace

EndpointLink::EndpointLink(EndpointPool &Pool, std::uint32_t Number,
                           Tcp::socket Socket)
    : Socket(std::move(Socket)), Number(Number), Pool_(Pool) {
  Pool_.countOpened(Number);
}

EndpointLink::~EndpointLink() {
  Pool_.countClosed(Number);
  Code Ignored;
  Socket.close(Ignored);
}

void EndpointPool::countOpened(std::uint32_t Number) {
  ++Open_[Number];
  ++OpenTotal_;
}

void EndpointPool::countClosed(std::uint32_t Number) {
  --OpenTotal_;
  const auto Found = Open_.find(Number);
  if (Found != Open_.end() && --Found->second <= 0)
    Open_.erase(Found);
}

LinkRef EndpointPool::takeIdle(std::uint32_t Number, TimePoint Now) {
  const auto Found = Idle_.find(Number);
  while (Found != Idle_.end() && !Found->second.empty()) {
    LinkRef Link = std::move(Found->second.back());
    Found->second.pop_back();
    // Readable means closed by the endpoint, or bytes that belong to no
    // request.
    if (!isExpired(*Link, Now) &&
        http::probeReadable(Link->Socket) == http::Readable::Nothing)
      return Link;
  }
  return nullptr;
}

http::Task<LinkRef> EndpointPool::connect(const catalog::Endpoint &Peer,
                                          std::uint32_t Number,
                                          Duration Timeout) {
  Code Failure;
  const auto Ip = asio::ip::make_address(Peer.Host, Failure);
  if (Failure)
    co_return nullptr;
  Tcp::socket Socket(Context_);
  asio::steady_timer Limit(Context_, Timeout);
  Limit.async_wait([&Socket](Code Cancelled) {
    if (!Cancelled) {
      Code Ignored;
      Socket.close(Ignored);
    }
  });
  const Tcp::endpoint Where(Ip, Peer.Port);
  co_await Socket.async_connect(Where, intoCode(Failure));
  // After the timeout has run its handler may still be queued; it must not
  // touch the socket that is moved from below.
  if (Limit.cancel() == 0)
    Failure = asio::error::timed_out;
  if (Failure) {
    Code Ignored;
    Socket.close(Ignored);
    // Lets a queued timeout run before the socket goes away.
    co_await asio::post(Context_, asio::use_awaitable);
    co_return nullptr;
  }
  Code Ignored;
  Socket.set_option(Tcp::no_delay(true), Ignored);
  detectDeadPeer(Socket, DeadPeerLimit);
  LinkRef Link =
      std::make_unique<EndpointLink>(*this, Number, std::move(Socket));
  co_return Link;
}

void EndpointPool::giveBack(LinkRef Link, TimePoint Now) {
  if (Link->Buffer.size() != 0)
    return; // bytes after a complete answer belong to no request
  Link->IdleSince = Now;
  Link->Reused = true;
  Link->Buffer.shrink_to_fit();
  std::vector<LinkRef> &Kept = Idle_[Link->Number];
  if (Kept.size() < MaxIdlePerEndpoint)
    Kept.push_back(std::move(Link));
}

void EndpointPool::makeRoom(std::uint32_t Number, int Limit) {
  const auto Found = Idle_.find(Number);
  while (Found != Idle_.end() && !Found->second.empty() &&
         openCount(Number) >= Limit)
    Found->second.erase(Found->second.begin());
}

void EndpointPool::dropExpired(TimePoint Now) {
  for (auto Entry = Idle_.begin(); Entry != Idle_.end();) {
    std::erase_if(Entry->second, [Now](const LinkRef &Link) {
      return isExpired(*Link, Now) ||
             http::probeReadable(Link->Socket) != http::Readable::Nothing;
    });
    Entry = Entry->second.empty() ? Idle_.erase(Entry) : std::next(Entry);
  }
}

int EndpointPool::busyCount(std::uint32_t Number) const {
  const auto Found = Idle_.find(Number);
  const auto Idle = Found == Idle_.end() ? 0 : Found->second.size();
  return openCount(Number) - static_cast<int>(Idle);
}

int EndpointPool::openCount(std::uint32_t Number) const {
  const auto Found = Open_.find(Number);
  return Found == Open_.end() ? 0 : Found->second;
}

} // namespace cassiashed::gateway
