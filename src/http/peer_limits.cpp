#include "http/peer_limits.h"

// <netinet/tcp.h> lacks tcpi_notsent_bytes and defines the same names, so
// nothing that includes it can be included here.
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
  Clock::time_point PendingSince; ///< when it last had all that was written
};

/// By number of the socket.
std::unordered_map<int, Peer> &peers() {
  thread_local std::unordered_map<int, Peer> Peers;
  return Peers;
}

bool isWindowClosed(const tcp_info &Info) {
  return Info.tcpi_snd_wnd == 0 || Info.tcpi_unacked == 0;
}

/// Returns whether the connection still exists.
bool extendLimit(int Socket, Peer &Watched, Clock::time_point Now) {
  std::uint64_t Cookie = 0;
  tcp_info Info{};
  if (!readOption(Socket, SOL_SOCKET, SO_COOKIE, Cookie) ||
      Cookie != Watched.Cookie ||
      !readOption(Socket, IPPROTO_TCP, TCP_INFO, Info))
    return false;
  const milliseconds Silence(Info.tcpi_last_ack_recv);
  const bool HasAll = Info.tcpi_unacked == 0 && Info.tcpi_notsent_bytes == 0;
  if (HasAll)
    Watched.PendingSince = Now;
  if (HasAll || Silence > Watched.Limit) {
    if (Watched.IsExtended)
      setUserTimeout(Socket, Watched.Limit);
    Watched.IsExtended = false;
  } else if (Info.tcpi_probes == 0 &&
             (Watched.IsExtended || isWindowClosed(Info))) {
    // The kernel's limit may count from when the window closed first: small
    // pieces that the peer takes since do not end the count.
    const auto Pending =
        std::chrono::duration_cast<milliseconds>(Now - Watched.PendingSince);
    setUserTimeout(Socket, Pending + Watched.Limit);
    Watched.IsExtended = true;
  }
  return true;
}

} // namespace

void limitPeerSilence(int Socket, milliseconds Limit) {
  setUserTimeout(Socket, Limit);
  Peer Watched;
  Watched.Limit = Limit;
  Watched.PendingSince = Clock::now();
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
