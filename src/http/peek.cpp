#include "http/peek.h"

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>

namespace cassiashed::http {

Readable probeReadable(Tcp::socket &Socket) {
  boost::system::error_code Failure;
  Socket.non_blocking(true, Failure);
  char Byte = 0;
  const std::size_t Count = Socket.receive(asio::buffer(&Byte, 1),
                                           Tcp::socket::message_peek, Failure);
  if (Failure == asio::error::would_block)
    return Readable::Nothing;
  return Failure || Count == 0 ? Readable::Closed : Readable::Bytes;
}

bool hasPeerEnded(Tcp::socket &Socket) {
  pollfd Watched{};
  Watched.fd = Socket.native_handle();
  Watched.events = POLLRDHUP;
  return ::poll(&Watched, 1, 0) > 0 &&
         (Watched.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool isReset(const Tcp::socket &Socket) {
  boost::system::error_code Failure;
  // A connection that the peer closed in order keeps its remote address until
  // it is closed here, too.
  (void)Socket.remote_endpoint(Failure);
  return Failure == asio::error::not_connected;
}

bool hasUnsentBytes(Tcp::socket &Socket) {
  int Count = 0;
  return ::ioctl(Socket.native_handle(), SIOCOUTQ, &Count) == 0 && Count > 0;
}

} // namespace cassiashed::http
