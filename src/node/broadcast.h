#pragma once

#include "cassiashed/transport/peer_transport.h"
#include "http/asio.h"
#include <string>
#include <vector>

namespace cassiashed {

/// Answers of the peers that answered in time, in any order.
using Answers = std::vector<CallResult>;

/// Sends one message to several peers and waits until all have answered or
/// failed, at most for `Timeout`.
http::Task<Answers> broadcast(PeerTransport &Peers,
                              std::vector<std::string> Addresses,
                              Message Content, Duration Timeout);

} // namespace cassiashed
