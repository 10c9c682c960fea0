#include "http/peek.h"

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

} // namespace cassiashed::http
