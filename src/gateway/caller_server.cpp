#include "gateway/caller_server.h"

#include "gateway/exchange.h"
#include "http/peek.h"
#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <unordered_set>

namespace cassiashed::gateway {
namespace {

using RequestParser = bhttp::request_parser<bhttp::string_body>;

/// Rate below which receiving a body times out.
constexpr std::size_t MinBodyBytesPerSecond = 16 * 1024;
/// Before a connection with unread bytes is closed, they are read and discarded
/// for this time: closing it at once resets it, and the caller may lose the
/// answer.
constexpr Duration LingerTimeout{1000};
constexpr std::size_t MaxLingerBytes = 8 * 1024 * 1024;
/// Bytes of a request that are buffered before they are parsed, besides the
/// largest head.
constexpr std::size_t MaxBufferedBytes = 64 * 1024;
constexpr int ListenBacklog = 1024;
constexpr Duration AcceptRetryDelay{20};
constexpr std::chrono::seconds DeadCallerTimeout{10};

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

class Connection;

/// State that a server shares with its connections.
struct ServerState {
  explicit ServerState(GatewayState &Gateway) : Gateway(Gateway) {}
  GatewayState &Gateway;
  std::unordered_set<Tcp::socket *> Idle;
  std::unordered_set<const Connection *> Open;
};

/// Why a connection of a caller ended.
enum class ConnectionEnd {
  NotWaiting, ///< idle for too long, closed by its caller or by a shutdown
  Unreadable, ///< its next request could not be read
  Answered,   ///< after an answer
};

std::string_view nameOf(ConnectionEnd End) {
  static constexpr std::array<std::string_view, 3> Names = {
      "not_waiting", "unreadable", "answered"};
  return Names[static_cast<std::size_t>(End)];
}

/// Status for a request that could not be read; 0 if the caller disconnected.
int statusOfReadFailure(const Code &Failure, bool TimedOut) {
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
      : Server_(std::move(Server)), Socket_(std::move(Socket)) {
    Server_->Open.insert(this);
  }
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;
  ~Connection() { Server_->Open.erase(this); }

  http::Task<void> serve() {
    ConnectionEnd End = ConnectionEnd::Answered;
    bool KeepAlive = true;
    while (KeepAlive) {
      const bool HasRequest = co_await waitForRequest();
      if (!HasRequest) {
        End = ConnectionEnd::NotWaiting;
        break;
      }
      ReceivedRequest Request;
      const bool Received = co_await readRequest(Request);
      if (!Received) {
        End = ConnectionEnd::Unreadable;
        break;
      }
      KeepAlive = co_await serveRequest(gateway(), Socket_, Request);
      if (Buffer_.size() == 0)
        Buffer_.shrink_to_fit();
    }
    recordEnd(End);
    Code Ignored;
    asio::socket_base::linger ResetOnClose;
    Socket_.get_option(ResetOnClose, Ignored);
    // An orderly end would make an answer without framing look complete.
    if (!ResetOnClose.enabled()) {
      Socket_.shutdown(Tcp::socket::shutdown_send, Ignored);
      if (End == ConnectionEnd::Unreadable || unreadBytes() > 0)
        co_await discardInput();
    }
    Socket_.close(Ignored);
  }

  /// Bytes that arrived and belong to no request that was served.
  std::size_t unreadBytes() const {
    Code Ignored;
    return Buffer_.size() + Socket_.available(Ignored);
  }

private:
  GatewayState &gateway() { return Server_->Gateway; }

  void recordEnd(ConnectionEnd End) {
    const std::size_t Unread = unreadBytes();
    gateway().Metrics->countConnectionEnd(nameOf(End), Unread > 0);
    if (Unread == 0)
      return;
    gateway().Log.write("caller_bytes_unread", gateway().now(),
                        [&](LogLine &Line) {
                          Line.field("end", nameOf(End))
                              .field("bytes", Unread)
                              .field("stopping", gateway().Stopping);
                        });
  }

  const catalog::CallerLimits &limits() {
    static const catalog::CallerLimits Defaults;
    return gateway().Config ? gateway().Config->Limits : Defaults;
  }

  http::Task<bool> waitForRequest() {
    if (Buffer_.size() != 0)
      co_return true;
    Server_->Idle.insert(&Socket_);
    Code Failure;
    {
      const ReadTimeout Timeout(Socket_, limits().IdleTimeout);
      co_await Socket_.async_wait(Tcp::socket::wait_read, intoCode(Failure));
    }
    Server_->Idle.erase(&Socket_);
    // A request may have arrived since the wait was cancelled.
    co_return !Failure || http::probeReadable(Socket_) == http::Readable::Bytes;
  }

  http::Task<bool> readRequest(ReceivedRequest &Request) {
    Request.ReceivedAt = gateway().now();
    RequestParser Parser;
    const catalog::CallerLimits Limits = limits();
    // Ends requests whose next part, such as a chunk's extension, never ends.
    Buffer_.max_size(Limits.HeadBytes + MaxBufferedBytes);
    Parser.header_limit(static_cast<std::uint32_t>(Limits.HeadBytes));
    Parser.body_limit(Limits.BodyBytes);
    Code Failure;
    bool TimedOut = false;
    {
      const ReadTimeout Timeout(Socket_, Limits.HeadTimeout);
      co_await bhttp::async_read_header(Socket_, Buffer_, Parser,
                                        intoCode(Failure));
      TimedOut = Timeout.hasExpired();
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
      const ReadTimeout Timeout(
          Socket_, Limits.HeadTimeout +
                       std::chrono::seconds(Expected / MinBodyBytesPerSecond));
      co_await bhttp::async_read(Socket_, Buffer_, Parser, intoCode(Failure));
      TimedOut = Timeout.hasExpired();
    }
    if (Failure) {
      const int Status = statusOfReadFailure(Failure, TimedOut);
      if (Status != 0)
        co_await refuse(Status, Failure.message());
      co_return false;
    }
    storeRequest(Parser, Request);
    co_return true;
  }

  void storeRequest(RequestParser &Parser, ReceivedRequest &Request) {
    const auto &Message = Parser.get();
    Request.Method = std::string(Message.method_string());
    Request.Target = std::string(Message.target());
    Request.Fields = endToEndFields(Message);
    Request.HasBody = Parser.chunked() || Parser.content_length().has_value();
    Request.IsHttp10 = Message.version() < 11;
    Request.KeepAlive = Message.keep_alive();
    Request.Body = std::move(Parser.get().body());
    Request.IsFollowed = Buffer_.size() != 0;
  }

  http::Task<void> refuse(int Status, std::string Reason) {
    gateway().Log.write("request_unreadable", gateway().now(),
                        [&](LogLine &Line) {
                          Line.field("status", Status).field("reason", Reason);
                        });
    ErrorAnswer Answer;
    Answer.Status = Status;
    Answer.Message = std::move(Reason);
    co_await sendErrorAnswer(gateway(), Socket_, std::move(Answer));
  }

  http::Task<void> discardInput() {
    Code Failure;
    const ReadTimeout Timeout(Socket_, LingerTimeout);
    std::array<char, 4096> Discarded{};
    std::size_t Total = 0;
    while (!Failure && Total < MaxLingerBytes)
      Total += co_await Socket_.async_read_some(asio::buffer(Discarded),
                                                intoCode(Failure));
  }

  std::shared_ptr<ServerState> Server_;
  Tcp::socket Socket_;
  beast::flat_buffer Buffer_;
};

http::Task<void> serveConnection(std::shared_ptr<Connection> Caller) {
  co_await Caller->serve();
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
  bool stopAccepting() override {
    if (!Acceptor_.is_open())
      return true;
    Code Failure;
    Acceptor_.non_blocking(true, Failure);
    Tcp::socket Waiting(Acceptor_.get_executor());
    Acceptor_.accept(Waiting, Failure);
    if (!Failure) {
      serve(std::move(Waiting));
      return false;
    }
    Acceptor_.close(Failure);
    return true;
  }
  std::size_t connectionCount() const override { return State_->Open.size(); }
  std::size_t unreadCount() const override {
    return static_cast<std::size_t>(std::count_if(
        State_->Open.begin(), State_->Open.end(),
        [](const Connection *Open) { return Open->unreadBytes() > 0; }));
  }

private:
  void accept() {
    if (!Acceptor_.is_open())
      return;
    Acceptor_.async_accept([this](Code Failure, Tcp::socket Socket) {
      if (Failure == asio::error::operation_aborted)
        return;
      if (Failure) {
        // Probably out of file descriptors; retry when other connections have
        // closed.
        logWarning("accept_failed").field("reason", Failure.message());
        AcceptRetryTimer_.expires_after(AcceptRetryDelay);
        AcceptRetryTimer_.async_wait([this](Code) { accept(); });
        return;
      }
      serve(std::move(Socket));
      accept();
    });
  }

  void serve(Tcp::socket Socket) {
    Code Ignored;
    Socket.set_option(Tcp::no_delay(true), Ignored);
    detectDeadPeer(Socket, DeadCallerTimeout);
    const auto Executor = Socket.get_executor();
    // Counted from now on, though the coroutine starts later.
    auto Caller = std::make_shared<Connection>(State_, std::move(Socket));
    asio::co_spawn(Executor, serveConnection(std::move(Caller)),
                   asio::detached);
  }

  std::shared_ptr<ServerState> State_;
  Tcp::acceptor Acceptor_;
  asio::steady_timer AcceptRetryTimer_{Acceptor_.get_executor()};
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
