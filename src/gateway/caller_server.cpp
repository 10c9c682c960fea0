#include "gateway/caller_server.h"

#include "gateway/descriptor_limit.h"
#include "gateway/exchange.h"
#include "gateway/read_refusal.h"
#include "gateway/read_timeout.h"
#include "gateway/request_body.h"
#include "http/memory_wait.h"
#include "http/peek.h"
#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <unordered_set>

namespace cassiashed::gateway {
namespace {

using RequestParser = bhttp::request_parser<RequestBody>;

/// Rate below which receiving a body times out.
constexpr std::size_t MinBodyBytesPerSecond = 16 * 1024;
/// Before a connection with unread bytes is closed, they are read and discarded
/// for this time: closing it at once resets it, and the caller may lose the
/// answer.
constexpr Duration LingerTimeout{1000};
constexpr std::size_t MaxLingerBytes = 8 * 1024 * 1024;
/// The same for a caller that sends more than the limits allow.
constexpr std::size_t MaxLingerBytesOverLimit = 64 * 1024;
/// Bytes of a request that are buffered before they are parsed, besides the
/// largest head.
constexpr std::size_t MaxBufferedBytes = 64 * 1024;
/// Charged for a connection with a request, besides its head and its body.
constexpr std::size_t ConnectionBytes = 4 * 1024;
/// Read from the socket at once while a body arrives.
constexpr std::size_t BodyReadBytes = 16 * 1024;
/// Steps in which the memory of a body is charged.
constexpr std::size_t BodyStepBytes = 16 * 1024;
/// `Retry-After` of a request that finds no memory or no descriptors: another
/// node may have some.
constexpr Duration NoRoomRetryAfter{300};
constexpr int ListenBacklog = 1024;
constexpr Duration AcceptRetryDelay{20};
constexpr std::chrono::seconds DeadCallerTimeout{10};

class Connection;

/// State that a server shares with its connections.
struct ServerState {
  explicit ServerState(GatewayState &Gateway) : Gateway(Gateway) {}

  DescriptorUse use() const {
    return {Idle.size(), Open.size() - Idle.size(), Gateway.Pool.openTotal()};
  }
  std::size_t limit() const {
    return static_cast<std::size_t>(Gateway.Settings.Limits.FileDescriptors);
  }
  std::size_t excess() const { return excessConnections(use(), limit()); }
  /// Closes the connections that got nowhere for the longest time, so that the
  /// descriptors suffice. Returns whether they do or will.
  bool closeExcess();

  GatewayState &Gateway;
  std::unordered_set<Tcp::socket *> Idle;
  std::unordered_set<Connection *> Open;
  std::uint64_t Evictions = 0; ///< since the start
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

class Connection {
public:
  Connection(std::shared_ptr<ServerState> Server, Tcp::socket Socket)
      : Server_(std::move(Server)), Socket_(std::move(Socket)),
        Memory_(Server_->Gateway.Memory, [this] { cancel(); }),
        ProgressAt_(gateway().now()) {
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
      const std::optional<ReadRefusal> Refusal = co_await readRequest(Request);
      if (Refusal) {
        End = ConnectionEnd::Unreadable;
        Memory_.shrinkTo(Buffer_.capacity());
        if (Refusal->Status != 0)
          co_await refuse(*Refusal);
        if (Refusal->Status == 413)
          MaxDiscardedBytes_ = MaxLingerBytesOverLimit;
        break;
      }
      Request.Memory = &Memory_;
      KeepAlive = co_await serveRequest(gateway(), Socket_, Request);
      if (Buffer_.size() == 0)
        Buffer_.shrink_to_fit();
      Memory_.reset();
      IsServing_ = false;
      ProgressAt_ = gateway().now();
    }
    recordEnd(End);
    Code Ignored;
    asio::socket_base::linger ResetOnClose;
    Socket_.get_option(ResetOnClose, Ignored);
    // An orderly end would make an answer without framing look complete.
    if (!ResetOnClose.enabled()) {
      Socket_.shutdown(Tcp::socket::shutdown_send, Ignored);
      const bool HasUnread = unreadBytes() > 0;
      Buffer_.clear();
      Buffer_.shrink_to_fit();
      Memory_.reset();
      // The descriptor of an evicted connection is needed at once.
      if (!IsEvicted_ && (End == ConnectionEnd::Unreadable || HasUnread))
        co_await discardInput();
    }
    Socket_.close(Ignored);
  }

  /// Whether it can be closed for another one: no request of it is being
  /// served.
  bool isEvictable() const { return !IsServing_ && !IsEvicted_; }
  bool isEvicted() const { return IsEvicted_; }
  TimePoint progressAt() const { return ProgressAt_; }
  void evict() {
    IsEvicted_ = true;
    gateway().Log.write("caller_evicted", gateway().now(), [&](LogLine &Line) {
      Line.field("open", Server_->Open.size())
          .field("idle", Server_->Idle.size());
    });
    cancel();
  }

  /// Bytes that arrived and belong to no request that was served.
  std::size_t unreadBytes() const {
    Code Ignored;
    return Buffer_.size() + Socket_.available(Ignored);
  }

private:
  GatewayState &gateway() { return Server_->Gateway; }

  void cancel() {
    Code Ignored;
    Socket_.cancel(Ignored);
  }

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
    Code Failure =
        IsEvicted_ ? make_error_code(asio::error::operation_aborted) : Code();
    if (!Failure) {
      const ReadTimeout Timeout(Socket_, limits().IdleTimeout);
      co_await Socket_.async_wait(Tcp::socket::wait_read, intoCode(Failure));
    }
    Server_->Idle.erase(&Socket_);
    // A request may have arrived since the wait was cancelled.
    co_return !Failure || http::probeReadable(Socket_) == http::Readable::Bytes;
  }

  /// Reads a request whole. Returns why it was not read.
  http::Task<std::optional<ReadRefusal>> readRequest(ReceivedRequest &Request) {
    Request.ReceivedAt = gateway().now();
    RequestParser Parser;
    const catalog::CallerLimits Limits = limits();
    // Ends requests whose next part, such as a chunk's extension, never ends.
    Buffer_.max_size(Limits.HeadBytes + MaxBufferedBytes);
    Parser.header_limit(static_cast<std::uint32_t>(Limits.HeadBytes));
    Parser.body_limit(Limits.BodyBytes);
    HeadMemory_ = ConnectionBytes + Limits.HeadBytes;
    bool HasRoom = Server_->closeExcess();
    if (HasRoom)
      HasRoom = co_await http::holdMemory(Memory_, HeadMemory_);
    Code Failure;
    bool TimedOut = false;
    if (HasRoom) {
      const ReadTimeout Timeout(Socket_, Limits.HeadTimeout);
      co_await bhttp::async_read_header(Socket_, Buffer_, Parser,
                                        intoCode(Failure));
      TimedOut = Timeout.hasExpired();
      HasRoom = !IsEvicted_ && !Memory_.isDropped();
    }
    if (!Failure && HasRoom &&
        equalsIgnoringCase(
            std::string_view(Parser.get()[bhttp::field::expect].data(),
                             Parser.get()[bhttp::field::expect].size()),
            "100-continue")) {
      static constexpr std::string_view Continue =
          "HTTP/1.1 100 Continue\r\n\r\n";
      co_await asio::async_write(Socket_, asio::buffer(Continue),
                                 intoCode(Failure));
    }
    if (!Failure && HasRoom && !Parser.is_done()) {
      const std::size_t Expected =
          Parser.content_length().value_or(Limits.BodyBytes);
      const ReadTimeout Timeout(
          Socket_, Limits.HeadTimeout +
                       std::chrono::seconds(Expected / MinBodyBytesPerSecond));
      HasRoom = co_await readBody(Parser, Timeout, Failure);
      TimedOut = Timeout.hasExpired();
    }
    if (!HasRoom)
      co_return refusalWithoutRoom();
    if (Failure)
      co_return ReadRefusal{statusOfReadFailure(Failure, TimedOut),
                            Failure.message(), std::nullopt};
    storeRequest(Parser, Request);
    IsServing_ = true;
    Memory_.setPinned(true);
    Memory_.shrinkTo(HeadMemory_ + Buffer_.capacity() +
                     Request.Body.capacity());
    co_return std::nullopt;
  }

  /// Charges the memory of each part of the body before it is read. Returns
  /// false if there is none.
  http::Task<bool> readBody(RequestParser &Parser, const ReadTimeout &Timeout,
                            Code &Failure) {
    const auto Length = Parser.content_length();
    Parser.eager(true); // a read takes all that has arrived
    if (!Length || *Length > Buffer_.size())
      Buffer_.reserve(BodyReadBytes);
    bool HasGroup = false;
    while (!Failure && !Parser.is_done()) {
      std::size_t Body = Parser.get().body().size() + BodyReadBytes;
      Body += BodyStepBytes - Body % BodyStepBytes;
      if (Length)
        Body = std::min<std::size_t>(Body, *Length);
      const std::size_t Needed = HeadMemory_ + Buffer_.capacity() + Body;
      if (Needed > Memory_.bytes()) {
        if (!HasGroup && Needed > gateway().Memory.limits().SmallBytes) {
          Memory_.setGroup(workspaceOf(Parser));
          HasGroup = true;
        }
        const bool Held = co_await http::holdMemory(Memory_, Needed);
        if (!Held)
          co_return false;
        ProgressAt_ = gateway().now();
      }
      if (Timeout.hasExpired())
        Failure = asio::error::operation_aborted;
      else if (!IsEvicted_ && !Memory_.isDropped())
        co_await bhttp::async_read_some(Socket_, Buffer_, Parser,
                                        intoCode(Failure));
      if (IsEvicted_ || Memory_.isDropped())
        co_return false;
    }
    co_return true;
  }

  /// Name of the group whose share of the memory the request uses; all callers
  /// with an unknown key are one.
  std::string workspaceOf(const RequestParser &Parser) {
    const auto &Config = gateway().Config;
    if (!Config || !Config->HasWorkspaces)
      return "";
    const CallerHead Head =
        gateway().Protocol.readCallerHead(endToEndFields(Parser.get()));
    const catalog::Workspace *Known = Config->findWorkspace(Head.ApiKey);
    return Known ? "workspace " + Known->Name : "unknown";
  }

  ReadRefusal refusalWithoutRoom() {
    gateway().Log.write("caller_dropped", gateway().now(), [&](LogLine &Line) {
      Line.field("dropped", Memory_.isDropped())
          .field("evicted", IsEvicted_)
          .field("held_bytes", Memory_.bytes())
          .field("used_bytes", gateway().Memory.usedBytes());
    });
    return {503, "no memory or no connections left", NoRoomRetryAfter};
  }

  void storeRequest(RequestParser &Parser, ReceivedRequest &Request) {
    const auto &Message = Parser.get();
    Request.Method = std::string(Message.method_string());
    Request.Target = std::string(Message.target());
    Request.Fields = endToEndFields(Message);
    Request.HasBody = Parser.chunked() || Parser.content_length().has_value();
    Request.IsHttp10 = Message.version() < 11;
    Request.KeepAlive = Message.keep_alive();
    Request.Body = Parser.get().body().take();
    Request.IsFollowed = Buffer_.size() != 0;
  }

  http::Task<void> refuse(const ReadRefusal &Refusal) {
    gateway().Log.write(
        "request_unreadable", gateway().now(), [&](LogLine &Line) {
          Line.field("status", Refusal.Status).field("reason", Refusal.Reason);
        });
    ErrorAnswer Answer;
    Answer.Status = Refusal.Status;
    Answer.Message = Refusal.Reason;
    Answer.RetryAfter = Refusal.RetryAfter;
    co_await sendErrorAnswer(gateway(), Socket_, std::move(Answer));
  }

  http::Task<void> discardInput() {
    Code Failure;
    const ReadTimeout Timeout(Socket_, LingerTimeout);
    std::array<char, 4096> Discarded{};
    std::size_t Total = 0;
    while (!Failure && Total < MaxDiscardedBytes_)
      Total += co_await Socket_.async_read_some(asio::buffer(Discarded),
                                                intoCode(Failure));
  }

  std::shared_ptr<ServerState> Server_;
  Tcp::socket Socket_;
  beast::flat_buffer Buffer_;
  http::MemoryHolder Memory_;
  std::size_t HeadMemory_ = 0; ///< charged for the connection and a head
  std::size_t MaxDiscardedBytes_ = MaxLingerBytes;
  TimePoint ProgressAt_; ///< when it last got further
  bool IsServing_ = false;
  bool IsEvicted_ = false; ///< closed, since other connections need descriptors
};

bool ServerState::closeExcess() {
  std::size_t Excess = excess();
  if (Excess > 0) {
    Gateway.Pool.closeAnyIdle(spareEndpointConnections(use(), limit()));
    Excess = excess();
  }
  if (Excess == 0)
    return true;
  std::vector<Connection *> Evictable;
  for (Connection *Caller : Open) {
    if (Caller->isEvicted())
      Excess -= std::min<std::size_t>(Excess, 1);
    else if (Caller->isEvictable())
      Evictable.push_back(Caller);
  }
  const std::size_t Count = std::min(Excess, Evictable.size());
  std::partial_sort(Evictable.begin(),
                    Evictable.begin() + static_cast<std::ptrdiff_t>(Count),
                    Evictable.end(), [](const auto *Left, const auto *Right) {
                      return Left->progressAt() < Right->progressAt();
                    });
  for (std::size_t Index = 0; Index < Count; ++Index)
    Evictable[Index]->evict();
  Evictions += Count;
  return Count == Excess;
}

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
      if (State_->excess() == 0)
        serve(std::move(Waiting));
      return false;
    }
    Acceptor_.close(Failure);
    return true;
  }
  std::size_t connectionCount() const override { return State_->Open.size(); }
  std::uint64_t evictionCount() const override { return State_->Evictions; }
  std::size_t unreadCount() const override {
    return static_cast<std::size_t>(std::count_if(
        State_->Open.begin(), State_->Open.end(),
        [](const Connection *Open) { return Open->unreadBytes() > 0; }));
  }

private:
  void accept() {
    if (!Acceptor_.is_open())
      return;
    (void)State_->closeExcess();
    if (State_->excess() > 0) {
      AcceptRetryTimer_.expires_after(AcceptRetryDelay);
      AcceptRetryTimer_.async_wait([this](Code) { accept(); });
      return;
    }
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
