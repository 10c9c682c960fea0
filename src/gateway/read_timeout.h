#pragma once

#include "cassiashed/base/clock.h"
#include "gateway/http_wire.h"
#include <memory>

namespace cassiashed::gateway {

/// Cancels the operations of a socket if it is not destroyed within `Timeout`.
class ReadTimeout {
public:
  ReadTimeout(Tcp::socket &Socket, Duration Timeout)
      : State_(std::make_shared<State>()),
        Timer_(Socket.get_executor(), Timeout) {
    State_->Socket = &Socket;
    Timer_.async_wait([Watched = State_](Code Failure) {
      if (Failure || !Watched->Socket)
        return;
      Watched->Expired = true;
      Code Ignored;
      Watched->Socket->cancel(Ignored);
    });
  }
  ReadTimeout(const ReadTimeout &) = delete;
  ReadTimeout &operator=(const ReadTimeout &) = delete;
  ~ReadTimeout() { State_->Socket = nullptr; }

  bool hasExpired() const { return State_->Expired; }

private:
  struct State {
    Tcp::socket *Socket = nullptr; ///< null once the ReadTimeout is destroyed
    bool Expired = false;
  };
  std::shared_ptr<State> State_;
  asio::steady_timer Timer_;
};

} // namespace cassiashed::gateway
