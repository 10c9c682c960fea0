#include "http/memory_wait.h"

#include "http/asio.h"

namespace cassiashed::http {

Task<bool> holdMemory(MemoryHolder &Holder, std::size_t Bytes) {
  if (Holder.isDropped())
    co_return false;
  const TimePoint Now = SteadyClock().now();
  if (Holder.tryHold(Bytes, Now))
    co_return true;
  asio::steady_timer Timer(co_await asio::this_coro::executor, MaxMemoryWait);
  Holder.waitFor(Bytes, Now, [&Timer] { Timer.cancel(); });
  // A drop may have ended the wait before it began.
  if (Holder.isWaiting() && !Holder.isDropped()) {
    boost::system::error_code Ignored;
    co_await Timer.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
  }
  const bool Granted = !Holder.isWaiting() && !Holder.isDropped();
  Holder.stopWaiting();
  if (Granted)
    Holder.recordProgress(SteadyClock().now());
  co_return Granted;
}

} // namespace cassiashed::http
