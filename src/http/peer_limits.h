#pragma once

#include <chrono>

namespace cassiashed::http {

/// Ends the connection once its peer has acknowledged nothing for `Limit`.
/// The kernel also ends it while the peer acknowledges everything but keeps its
/// window closed, unless extendPeerLimits is called more often than that.
void limitPeerSilence(int Socket, std::chrono::milliseconds Limit);

/// Postpones the ends of this thread's connections whose peers acknowledge what
/// they get and take no data. A peer that is gone behind a closed window is
/// found within twice its limit.
void extendPeerLimits();

} // namespace cassiashed::http
