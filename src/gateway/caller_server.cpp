#include "gateway/caller_server.h"

#include "gateway/exchange.h"
#include <boost/asio/write.hpp>
#include <unordered_set>

namespace cassiashed::gateway {
namespace {

using RequestParser = bhttp::request_parser<bhttp::string_body>;

/// Rate below which a body counts as stalled.
constexpr std::size_t LeastBodyBytesPerSecond = 16 * 1024;
/// After a refusal bytes are still read this long, so that the answer is not
/// lost to a reset.
constexpr Duration LingerLimit{1000};
constexpr std::size_t LingerBytes = 8 * 1024 * 1024;
constexpr int ListenBacklog = 1024;
constexpr Duration AcceptPause{20};
constexpr std::chrono::seconds DeadCallerLimit{10};

/// Closes a socket after a time without progress.
class ReadLimit {
public:
  ReadLimit(Tcp::socket &Socket, Duration Limit)
      : State_(std::make_shared<State>()),
        Timer_(Socket.get_executor(), Limit) {
    State_->Socket = &Socket;
    Timer_.async_wait([Watched = State_](Code Failure) {
      if (Failure || !Watched->Socket)
        return;
      Watched->Expired = true;
      Code Ignored;
      Watched->Socket->cancel(Ignored);
    });
  }
  ReadLimit(const ReadLimit &) = delete;
  ReadLimit &operator=(const ReadLimit &) = delete;
  ~ReadLimit() { State_->Socket = nullptr; }

  bool expired() const { return State_->Expired; }

private:
  struct State {
    Tcp::socket *Socket = nullptr; ///< null once the limit is over
    bool Expired = false;
  };
  std::shared_ptr<State> State_;
  asio::steady_timer Timer_;
};

/// What a server shares with its connections.
struct ServerState {
  explicit ServerState(GatewayState &Gateway) : Gateway(Gateway) {}
  GatewayState &Gateway;
  std::unordered_set<Tcp::socket *> Idle;
  std::size_t Connections = 0;
};

class ConnectionCount {
public:
  explicit ConnectionCount(ServerState &State) : State_(State) {
    ++State_.Connections;
  }
  ConnectionCount(const ConnectionCount &) = delete;
  ConnectionCount &operator=(const ConnectionCount &) = delete;
  ~ConnectionCount() { --State_.Connections; }

private:
  ServerState &State_;
};

/// Status for a request that could not be read; 0 if the caller is gone.
int statusOf(const Code &Failure, bool TimedOut) {
  if (TimedOut)
    return 408;
  if (Failure == bhttp::error::header_limit)
    return 431;
  if (Failure == bhttp::error::body_limit)
    return 413;
  if (Failure.category() ==
          make_error_code(bhttp::error::bad_method).category() &&
      Failure != bhttp::error::end_of_stream &&
      Failure != bhttp::error::partial_message)
    return 400;
  return 0;
}

class Connection {
public:
  Connection(std::shared_ptr<ServerState> Server, Tcp::socket Socket)
      : Server_(std::move(Server)), Socket_(std::move(Socket)),
        Count_(*Server_) {}

  http::Task<void> serve() {
    bool KeepAlive = true;
    while (KeepAlive) {
      const bool Begun = co_await waitForRequest();
      if (!Begun)
        break;
      ReceivedRequest Request;
      const bool Read = co_await readRequest(Request);
      if (!Read)
        break;
      KeepAlive = co_await serveRequest(gateway(), Socket_, Request);
      if (Buffer_.size() == 0)
        Buffer_.shrink_to_fit();
    }
    Code Ignored;
    Socket_.shutdown(Tcp::socket::shutdown_both, Ignored);
    Socket_.close(Ignored);
  }

private:
  GatewayState &gateway() { return Server_->Gateway; }

  const catalog::CallerLimits &limits() {
    static const catalog::CallerLimits Defaults;
    return gateway().Config ? gateway().Config->Limits : Defaults;
  }

  http::Task<bool> waitForRequest() {
    if (Buffer_.size() != 0)
      co_return true;
    if (gateway().Stopping && Served_)
      co_return false;
    Server_->Idle.insert(&Socket_);
    Code Failure;
    {
      const ReadLimit Limit(Socket_, limits().IdleTimeout);
      co_await Socket_.async_wait(Tcp::socket::wait_read, intoCode(Failure));
    }
    Server_->Idle.erase(&Socket_);
    co_return !Failure;
  }

  http::Task<bool> readRequest(ReceivedRequest &Request) {
    Served_ = true;
    Request.ReceivedAt = gateway().now();
    RequestParser Parser;
    const catalog::CallerLimits Limits = limits();
    Parser.header_limit(static_cast<std::uint32_t>(Limits.HeadBytes));
    Parser.body_limit(Limits.BodyBytes);
    Code Failure;
    bool TimedOut = false;
    {
      const ReadLimit Limit(Socket_, Limits.HeadTimeout);
      co_await bhttp::async_read_header(Socket_, Buffer_, Parser,
                                        intoCode(Failure));
      TimedOut = Limit.expired();
    }
    if (!Failure &&
        equalsIgnoringCase(
            std::string_view(Parser.get()[bhttp::field::expect].data(),
                             Parser.get()[bhttp::field::expect].size()),
            "100-continue")) {
      static constexpr std::string_view Continue =
          "HTTP/1.1 100 Continue\r\n\r\n";
      co_await asio::async_write(Socket_, asio::buffer(Continue),
                                 intoCode(Failure));
    }
    if (!Failure && !Parser.is_done()) {
      const std::size_t Expected =
          Parser.content_length().value_or(Limits.BodyBytes);
      const ReadLimit Limit(
          Socket_,
          Limits.HeadTimeout +
              std::chrono::seconds(Expected / LeastBodyBytesPerSecond));
      co_await bhttp::async_read(Socket_, Buffer_, Parser, intoCode(Failure));
      TimedOut = Limit.expired();
    }
    if (Failure) {
      const int Status = statusOf(Failure, TimedOut);
      if (Status != 0)
        co_await refuse(Status, Failure.message());
      co_return false;
    }
    takeRequest(Parser, Request);
    co_return true;
  }

  void takeRequest(RequestParser &Parser, ReceivedRequest &Request) {
    const auto &Message = Parser.get();
    Request.Method = std::string(Message.method_string());
    Request.Target = std::string(Message.target());
    Request.Fields = endToEndFields(Message);
    Request.HasBody = Parser.chunked() || Parser.content_length().has_value();
    Request.IsOldVersion = Message.version() < 11;
    Request.KeepAlive = Message.keep_alive();
    Request.Body = std::move(Parser.get().body());
  }

  http::Task<void> refuse(int Status, std::string Reason) {
    gateway().Log.write("request_unreadable", gateway().now(),
                        [&](LogLine &Line) {
                          Line.field("status", Status).field("reason", Reason);
                        });
    const bool Sent = co_await sendOwnAnswer(gateway(), Socket_, Status, "",
                                             std::nullopt, false, Reason);
    if (!Sent)
      co_return;
    Code Failure;
    Socket_.shutdown(Tcp::socket::shutdown_send, Failure);
    const ReadLimit Limit(Socket_, LingerLimit);
    std::array<char, 4096> Discarded{};
    std::size_t Total = 0;
    while (!Failure && Total < LingerBytes)
      Total += co_await Socket_.async_read_some(asio::buffer(Discarded),
                                                intoCode(Failure));
  }

  std::shared_ptr<ServerState> Server_;
  Tcp::socket Socket_;
  ConnectionCount Count_;
  beast::flat_buffer Buffer_;
  bool Served_ = false;
};

http::Task<void> serveConnection(std::shared_ptr<ServerState> Server,
                                 Tcp::socket Socket) {
  Connection Peer(std::move(Server), std::move(Socket));
  co_await Peer.serve();
}

class CallerServerImpl final : public CallerServer {
public:
  explicit CallerServerImpl(GatewayState &State)
      : State_(std::make_shared<ServerState>(State)), Acceptor_(State.Context) {
  }

  bool listen(const HostPort &Address, std::string &Reason) {
    Code Failure;
    const auto Ip = asio::ip::make_address(Address.Host, Failure);
    const Tcp::endpoint Local(Ip, Address.Port);
    if (!Failure)
      Acceptor_.open(Local.protocol(), Failure);
    if (!Failure)
      Acceptor_.set_option(Tcp::acceptor::reuse_address(true), Failure);
    if (!Failure)
      Acceptor_.bind(Local, Failure);
    if (!Failure)
      Acceptor_.listen(ListenBacklog, Failure);
    if (Failure) {
      Reason = "cannot listen on " + formatHostPort(Address) + ": " +
               Failure.message();
      return false;
    }
    accept();
    return true;
  }

  void closeIdle() override {
    for (Tcp::socket *Socket : State_->Idle) {
      Code Ignored;
      Socket->cancel(Ignored);
    }
  }
  std::size_t connectionCount() const override { return State_->Connections; }

private:
  void accept() {
    Acceptor_.async_accept([this](Code Failure, Tcp::socket Socket) {
      if (Failure == asio::error::operation_aborted)
        return;
      if (Failure) {
        // Out of descriptors: connections that end make room.
        logWarning("accept_failed").field("reason", Failure.message());
        Pause_.expires_after(AcceptPause);
        Pause_.async_wait([this](Code) { accept(); });
        return;
      }
      Code Ignored;
      Socket.set_option(Tcp::no_delay(true), Ignored);
      detectDeadPeer(Socket, DeadCallerLimit);
      const auto Executor = Socket.get_executor();
      asio::co_spawn(Executor, serveConnection(State_, std::move(Socket)),
                     asio::detached);
      accept();
    });
  }

  std::shared_ptr<ServerState> State_;
  Tcp::acceptor Acceptor_;
  asio::steady_timer Pause_{Acceptor_.get_executor()};
};

} // namespace

std::unique_ptr<CallerServer> startCallerServer(GatewayState &State,
                                                const HostPort &Address,
                                                std::string &Reason) {
  auto Result = std::make_unique<CallerServerImpl>(State);
  if (!Result->listen(Address, Reason))
    return nullptr;
  return Result;
}

} // namespace cassiashed::gateway
