#pragma once

// <utility> must come first: Boost 1.74's awaitable.hpp uses std::exchange
// without including it.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cassiashed::http {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
template <typename Result> using Task = asio::awaitable<Result>;

/// Waits on the executor of the calling coroutine.
Task<void> sleepFor(std::chrono::milliseconds Period);

} // namespace cassiashed::http
