#include "http/dead_peer.h"

#include "http/peer_limits.h"
#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace cassiashed::http {
namespace {

void setOption(int Socket, int Level, int Name, int Value) {
  // Best effort: without it a dead peer is found by the request's time limit.
  (void)::setsockopt(Socket, Level, Name, &Value, sizeof(Value));
}

} // namespace

void detectDeadPeer(Tcp::socket &Socket, std::chrono::seconds Limit) {
  const int Handle = Socket.native_handle();
  const int Seconds = static_cast<int>(Limit.count());
  setOption(Handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPIDLE, 1);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPINTVL, 1);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPCNT, std::max(1, Seconds - 1));
  limitPeerSilence(Handle, Limit);
}

} // namespace cassiashed::http
