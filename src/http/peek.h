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

/// Whether the peer sends nothing more, though bytes may still be unread.
bool hasPeerEnded(Tcp::socket &Socket);

/// Whether the connection was reset. The kernel reports a reset once, to the
/// first call that meets it, be it a write or a probe; a read after that sees
/// an orderly end.
bool isReset(const Tcp::socket &Socket);

/// Whether bytes that were written have not reached the peer's machine yet.
bool hasUnsentBytes(Tcp::socket &Socket);

/// Whether `Status` is one of HTTP's. Others are no answer.
constexpr bool isHttpStatus(int Status) {
  return Status >= 100 && Status < 600;
}

} // namespace cassiashed::http
