#pragma once

#include "http/asio.h"

namespace cassiashed::http {

/// What a read from a connection would give now.
enum class Readable {
  Nothing, ///< open, no bytes
  Bytes,
  Closed, ///< ended or broken
};

/// Looks at a connection without taking bytes off it.
Readable probeReadable(Tcp::socket &Socket);

} // namespace cassiashed::http
