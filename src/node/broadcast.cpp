#include "node/broadcast.h"

#include "node/one_shot.h"
#include <mutex>

namespace cassiashed {
namespace {

/// Collects answers until none is outstanding.
class Collector {
public:
  Collector(std::size_t Count, http::asio::any_io_executor Executor)
      : Outstanding_(Count),
        Finished_(std::make_shared<OneShot<bool>>(std::move(Executor))) {}

  void add(CallResult Result) {
    const std::lock_guard Lock(Mutex_);
    if (Result.Failure == CallFailure::None)
      Received_.push_back(std::move(Result));
    if (--Outstanding_ == 0)
      Finished_->set(true);
  }

  http::Task<std::optional<bool>> wait(TimePoint Until) {
    return Finished_->wait(Until);
  }

  Answers take() {
    const std::lock_guard Lock(Mutex_);
    return std::move(Received_);
  }

private:
  std::mutex Mutex_; ///< guards Outstanding_ and Received_
  std::size_t Outstanding_;
  Answers Received_;
  std::shared_ptr<OneShot<bool>> Finished_;
};

} // namespace

http::Task<Answers> broadcast(PeerTransport &Peers,
                              std::vector<std::string> Addresses,
                              Message Content, Duration Timeout) {
  if (Addresses.empty())
    co_return Answers{};
  const auto All = std::make_shared<Collector>(
      Addresses.size(), co_await http::asio::this_coro::executor);
  for (const std::string &Address : Addresses)
    Peers.call(Address, Content, Timeout,
               [All](CallResult Result) { All->add(std::move(Result)); });
  co_await All->wait(SteadyClock().now() + Timeout);
  co_return All->take();
}

} // namespace cassiashed
