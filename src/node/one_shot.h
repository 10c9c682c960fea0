#pragma once

#include "cassiashed/base/clock.h"
#include "http/asio.h"
#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>
#include <memory>
#include <mutex>
#include <optional>

namespace cassiashed {

/// A value that is set once, from any thread, and awaited by one coroutine
/// that runs on a strand.
///
/// ```cpp
/// auto Answer = std::make_shared<OneShot<int>>(co_await this_coro::executor);
/// startCall([Answer](int Value) { Answer->set(Value); });
/// std::optional<int> Value = co_await Answer->wait(Deadline);
/// ```
template <typename Value>
class OneShot : public std::enable_shared_from_this<OneShot<Value>> {
public:
  explicit OneShot(http::asio::any_io_executor Executor)
      : Executor_(Executor), Timer_(Executor) {}

  /// Sets the value unless one was set before.
  void set(Value Result) {
    {
      const std::lock_guard Lock(Mutex_);
      if (Result_)
        return;
      Result_ = std::move(Result);
    }
    http::asio::post(Executor_,
                     [Self = this->shared_from_this()] { Self->wake(); });
  }

  /// Returns nothing if `Until` passes first.
  http::Task<std::optional<Value>> wait(TimePoint Until) {
    if (!Woken_) {
      Timer_.expires_at(Until);
      boost::system::error_code Ignored;
      co_await Timer_.async_wait(
          http::asio::redirect_error(http::asio::use_awaitable, Ignored));
    }
    const std::lock_guard Lock(Mutex_);
    co_return Result_;
  }

private:
  void wake() {
    Woken_ = true;
    Timer_.cancel();
  }

  http::asio::any_io_executor Executor_;
  http::asio::steady_timer Timer_;
  std::mutex Mutex_; ///< guards Result_
  std::optional<Value> Result_;
  bool Woken_ = false; ///< used on the executor only
};

/// Runs a blocking function on `Pool` and resumes the calling coroutine with
/// its result.
template <typename Function>
auto runBlocking(http::asio::thread_pool &Pool, Function Work)
    -> http::Task<decltype(Work())> {
  using Result = decltype(Work());
  auto Answer = std::make_shared<OneShot<Result>>(
      co_await http::asio::this_coro::executor);
  http::asio::post(Pool, [Answer, Work = std::move(Work)]() mutable {
    Answer->set(Work());
  });
  std::optional<Result> Value = co_await Answer->wait(TimePoint::max());
  co_return std::move(*Value);
}

} // namespace cassiashed
