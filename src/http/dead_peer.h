#pragma once

#include "http/asio.h"

namespace cassiashed::http {

/// Detects peers that are gone without a word: keep-alive probes while idle,
/// a limit on unacknowledged data otherwise.
void detectDeadPeer(Tcp::socket &Socket, std::chrono::seconds Limit);

} // namespace cassiashed::http
