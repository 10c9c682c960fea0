#include "http/peer_limits.h"

// <netinet/tcp.h> lacks tcpi_bytes_acked and defines the same names, so nothing
// that includes it can be included here.
#include <cstdint>
#include <iterator>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unordered_map>

namespace cassiashed::http {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

template <typename T> bool readOption(int Socket, int Level, int Name, T &Out) {
  socklen_t Size = sizeof(Out);
  return ::getsockopt(Socket, Level, Name, &Out, &Size) == 0 &&
         Size == sizeof(Out);
}

void setUserTimeout(int Socket, milliseconds Timeout) {
  // Best effort: without it a dead peer is found by the request's time limit.
  const auto Value = static_cast<unsigned>(Timeout.count());
  (void)::setsockopt(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &Value,
                     sizeof(Value));
}

struct Peer {
  std::uint64_t Cookie = 0; ///< tells sockets apart that had the same number
  milliseconds Limit{0};
  bool IsExtended = false;
  std::uint64_t BytesAcked = 0;
  Clock::time_point ProgressAt; ///< last time that it took data or had it all
};

/// By number of the socket.
std::unordered_map<int, Peer> &peers() {
  thread_local std::unordered_map<int, Peer> Peers;
  return Peers;
}

/// Whether the peer answers what it gets, though its window is closed.
bool refusesData(const tcp_info &Info, milliseconds Limit) {
  if (Info.tcpi_snd_wnd != 0 && Info.tcpi_unacked != 0)
    return false;
  return Info.tcpi_probes == 0 &&
         milliseconds(Info.tcpi_last_ack_recv) <= Limit;
}

/// Returns whether the connection still exists.
bool extendLimit(int Socket, Peer &Watched, Clock::time_point Now) {
  std::uint64_t Cookie = 0;
  tcp_info Info{};
  if (!readOption(Socket, SOL_SOCKET, SO_COOKIE, Cookie) ||
      Cookie != Watched.Cookie ||
      !readOption(Socket, IPPROTO_TCP, TCP_INFO, Info))
    return false;
  const bool HasAll = Info.tcpi_unacked == 0 && Info.tcpi_notsent_bytes == 0;
  if (HasAll || Info.tcpi_bytes_acked != Watched.BytesAcked) {
    Watched.BytesAcked = Info.tcpi_bytes_acked;
    Watched.ProgressAt = Now;
    if (Watched.IsExtended)
      setUserTimeout(Socket, Watched.Limit);
    Watched.IsExtended = false;
  } else if (refusesData(Info, Watched.Limit)) {
    // The kernel's limit counts from when the window closed.
    const auto Closed =
        std::chrono::duration_cast<milliseconds>(Now - Watched.ProgressAt);
    setUserTimeout(Socket, Closed + Watched.Limit);
    Watched.IsExtended = true;
  }
  return true;
}

} // namespace

void limitPeerSilence(int Socket, milliseconds Limit) {
  setUserTimeout(Socket, Limit);
  Peer Watched;
  Watched.Limit = Limit;
  Watched.ProgressAt = Clock::now();
  if (readOption(Socket, SOL_SOCKET, SO_COOKIE, Watched.Cookie))
    peers()[Socket] = Watched;
}

void extendPeerLimits() {
  const Clock::time_point Now = Clock::now();
  for (auto Entry = peers().begin(); Entry != peers().end();)
    Entry = extendLimit(Entry->first, Entry->second, Now)
                ? std::next(Entry)
                : peers().erase(Entry);
}

} // namespace cassiashed::http
