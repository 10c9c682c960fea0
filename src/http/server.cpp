#include "http/server.h"

#include "http/memory_wait.h"
#include "http/peek.h"
#include <algorithm>
#include <atomic>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <mutex>
#include <optional>
#include <unordered_set>

namespace cassiashed::http {
namespace {

namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using Code = boost::system::error_code;
using Parser = bhttp::request_parser<bhttp::string_body>;

/// Bytes of a request that are buffered before they are parsed, besides the
/// largest head.
constexpr std::size_t MaxBufferedBytes = 64 * 1024;
constexpr Duration ReplyTimeout = std::chrono::seconds(30);

auto intoCode(Code &Result) {
  return asio::redirect_error(asio::use_awaitable, Result);
}

template <typename Message>
void addFields(Message &Target, const Headers &Extra) {
  for (const Header &Field : Extra)
    Target.set(Field.first, Field.second);
}

class Connection final : public ResponseWriter {
public:
  Connection(Tcp::socket Socket, bool &KeepAlive)
      : Stream_(std::move(Socket)), KeepAlive_(KeepAlive) {}

  beast::tcp_stream &stream() { return Stream_; }

  /// Replies are charged to `Held`. `Largest`: of the replies so far.
  void setMemory(MemoryHolder &Held, std::atomic<std::size_t> &Largest) {
    Held_ = &Held;
    LargestReply_ = &Largest;
  }

  void beginRequest(unsigned Version) {
    Version_ = Version;
    Started_ = false;
    Finished_ = false;
    TimedOut_ = false;
  }

  Task<bool> send(int Status, std::string_view ContentType, std::string Body,
                  Headers Extra) override {
    Started_ = true;
    if (!holdReply(Body.size())) {
      Status = 503;
      Body.clear();
      Extra = {{"Retry-After", "1"}};
    }
    bhttp::response<bhttp::string_body> Reply(
        static_cast<bhttp::status>(Status), Version_);
    Reply.set(bhttp::field::content_type,
              beast::string_view(ContentType.data(), ContentType.size()));
    addFields(Reply, Extra);
    Reply.keep_alive(KeepAlive_);
    Reply.body() = std::move(Body);
    Reply.prepare_payload();
    Stream_.expires_after(ReplyTimeout);
    Code Failure;
    co_await bhttp::async_write(Stream_, Reply, intoCode(Failure));
    Finished_ = !Failure;
    co_return !Failure;
  }

  Task<bool> sendBusy() {
    Headers Extra = {{"Retry-After", "1"}};
    return send(503, "text/plain", "no memory left\n", std::move(Extra));
  }

  Task<bool> startStream(int Status, std::string_view ContentType,
                         Headers Extra) override {
    Started_ = true;
    bhttp::response<bhttp::empty_body> Reply(static_cast<bhttp::status>(Status),
                                             Version_);
    Reply.set(bhttp::field::content_type,
              beast::string_view(ContentType.data(), ContentType.size()));
    addFields(Reply, Extra);
    Reply.keep_alive(KeepAlive_);
    Reply.chunked(true);
    bhttp::response_serializer<bhttp::empty_body> Serializer(Reply);
    Stream_.expires_after(ReplyTimeout);
    Code Failure;
    co_await bhttp::async_write_header(Stream_, Serializer, intoCode(Failure));
    co_return !Failure;
  }

  Task<bool> write(std::string_view Bytes, Duration Timeout) override {
    if (Bytes.empty())
      co_return true;
    Stream_.expires_after(Timeout);
    Code Failure;
    const asio::const_buffer Buffer(Bytes.data(), Bytes.size());
    co_await asio::async_write(Stream_, bhttp::make_chunk(Buffer),
                               intoCode(Failure));
    TimedOut_ = Failure == beast::error::timeout;
    co_return !Failure;
  }

  Task<bool> endStream() override {
    Stream_.expires_after(ReplyTimeout);
    Code Failure;
    co_await asio::async_write(Stream_, bhttp::make_chunk_last(),
                               intoCode(Failure));
    Finished_ = !Failure;
    co_return !Failure;
  }

  bool started() const override { return Started_; }
  /// Whether the whole reply was sent.
  bool finished() const { return Finished_; }
  bool timedOut() const override { return TimedOut_; }

  void watchClose(std::function<void()> Notify) override {
    if (!Notify) {
      Watch_.reset();
      return;
    }
    Watch_ = std::make_shared<std::function<void()>>(std::move(Notify));
    std::weak_ptr<std::function<void()>> Weak = Watch_;
    Tcp::socket &Socket = Stream_.socket();
    Socket.async_wait(Tcp::socket::wait_read, [Weak, &Socket](Code Failure) {
      const auto Callback = Weak.lock();
      if (!Callback || Failure)
        return;
      if (probeReadable(Socket) == Readable::Closed)
        (*Callback)();
    });
  }

  void stopWatching() {
    Watch_.reset();
    Code Ignored;
    Stream_.socket().cancel(Ignored);
  }

private:
  bool holdReply(std::size_t Bytes) {
    if (!Held_)
      return true;
    Held_->shrinkTo(Bytes);
    const bool Held = Held_->tryHold(Bytes, SteadyClock().now());
    *LargestReply_ = std::max(LargestReply_->load(), Bytes);
    return Held;
  }

  beast::tcp_stream Stream_;
  MemoryHolder *Held_ = nullptr; ///< null: replies are not charged
  std::atomic<std::size_t> *LargestReply_ = nullptr;
  bool &KeepAlive_;
  std::shared_ptr<std::function<void()>> Watch_;
  unsigned Version_ = 11;
  bool Started_ = false;
  bool Finished_ = false;
  bool TimedOut_ = false;
};

/// State that connections share with the server.
struct Shared {
  ServerOptions Options;
  Handler Handle;
  FailureBody Describe;
  std::atomic<std::size_t> Active = 0;
  std::atomic<bool> Stopping = false;
  std::atomic<std::size_t> LargestReply = 0;
  std::mutex Mutex; ///< guards the members below
  std::unordered_set<Tcp::socket *> Idle;
  /// When the last request began.
  std::map<Tcp::socket *, TimePoint> Open;
};

void shutDown(Tcp::socket &Socket) {
  Code Ignored;
  Socket.shutdown(Tcp::socket::shutdown_both, Ignored);
}

/// Registers a connection as open; closes another one if they are too many.
class OpenScope {
public:
  OpenScope(Shared &State, Tcp::socket &Socket)
      : State_(State), Socket_(Socket) {
    const std::lock_guard Lock(State_.Mutex);
    const std::size_t Most = State_.Options.MaxConnections;
    if (Most > 0 && State_.Open.size() >= Most) {
      const auto Oldest =
          std::min_element(State_.Open.begin(), State_.Open.end(),
                           [](const auto &Left, const auto &Right) {
                             return Left.second < Right.second;
                           });
      shutDown(*Oldest->first);
      State_.Open.erase(Oldest);
    }
    State_.Open.emplace(&Socket_, SteadyClock().now());
  }
  OpenScope(const OpenScope &) = delete;
  OpenScope &operator=(const OpenScope &) = delete;
  ~OpenScope() {
    const std::lock_guard Lock(State_.Mutex);
    State_.Open.erase(&Socket_);
  }

  void recordRequest() {
    const std::lock_guard Lock(State_.Mutex);
    const auto Found = State_.Open.find(&Socket_);
    if (Found != State_.Open.end())
      Found->second = SteadyClock().now();
  }

private:
  Shared &State_;
  Tcp::socket &Socket_;
};

/// Registers a connection as idle while it waits for its next request.
class IdleScope {
public:
  IdleScope(Shared &State, Tcp::socket &Socket)
      : State_(State), Socket_(Socket) {
    const std::lock_guard Lock(State_.Mutex);
    State_.Idle.insert(&Socket_);
  }
  IdleScope(const IdleScope &) = delete;
  IdleScope &operator=(const IdleScope &) = delete;
  ~IdleScope() {
    const std::lock_guard Lock(State_.Mutex);
    State_.Idle.erase(&Socket_);
  }

private:
  Shared &State_;
  Tcp::socket &Socket_;
};

class ActiveScope {
public:
  explicit ActiveScope(std::atomic<std::size_t> &Count) : Count_(Count) {
    ++Count_;
  }
  ActiveScope(const ActiveScope &) = delete;
  ActiveScope &operator=(const ActiveScope &) = delete;
  ~ActiveScope() { --Count_; }

private:
  std::atomic<std::size_t> &Count_;
};

ReadFailure classify(const Code &Failure) {
  if (Failure == bhttp::error::header_limit)
    return ReadFailure::HeadTooLarge;
  if (Failure == bhttp::error::body_limit)
    return ReadFailure::BodyTooLarge;
  if (Failure == beast::error::timeout)
    return ReadFailure::TooSlow;
  return ReadFailure::Malformed;
}

bool isDisconnect(const Code &Failure) {
  return Failure == bhttp::error::end_of_stream ||
         Failure == asio::error::connection_reset ||
         Failure == asio::error::operation_aborted;
}

Request toRequest(Parser &Parsed) {
  Request Result;
  bhttp::request<bhttp::string_body> Message = Parsed.release();
  Result.Method = std::string(Message.method_string());
  Result.Target = std::string(Message.target());
  for (const auto &Field : Message)
    Result.Fields.emplace_back(std::string(Field.name_string()),
                               std::string(Field.value()));
  Result.Body = std::move(Message.body());
  return Result;
}

Task<void> answerFailure(Shared &State, Connection &Peer, ReadFailure Kind,
                         bool &KeepAlive) {
  KeepAlive = false;
  Peer.beginRequest(11);
  Response Reply = State.Describe(Kind);
  co_await Peer.send(Reply.Status, "application/json", std::move(Reply.Body),
                     std::move(Reply.Fields));
  // Reads a little of what the caller still sends, so that the answer is not
  // lost to a connection reset.
  Code Failure;
  Peer.stream().socket().shutdown(Tcp::socket::shutdown_send, Failure);
  Peer.stream().expires_after(std::chrono::seconds(2));
  std::array<char, 4096> Discarded{};
  for (int Reads = 0; Reads < 4096 && !Failure; ++Reads)
    co_await Peer.stream().async_read_some(asio::buffer(Discarded),
                                           intoCode(Failure));
}

/// Reads one request. Returns false if the connection has to be closed.
Task<bool> readRequest(Shared &State, Connection &Peer,
                       beast::flat_buffer &Buffer, Parser &Parsed,
                       bool &KeepAlive) {
  const ServerOptions &Options = State.Options;
  Code Failure;
  if (Buffer.size() == 0) {
    const IdleScope Idle(State, Peer.stream().socket());
    if (State.Stopping)
      co_return false;
    Peer.stream().expires_after(Options.IdleTimeout);
    const std::size_t Count = co_await Peer.stream().async_read_some(
        Buffer.prepare(4096), intoCode(Failure));
    Buffer.commit(Count);
    if (Failure)
      co_return false;
  }
  Parsed.header_limit(static_cast<std::uint32_t>(Options.MaxHeadBytes));
  Parsed.body_limit(Options.MaxBodyBytes);
  Peer.stream().expires_after(Options.HeadTimeout);
  co_await bhttp::async_read_header(Peer.stream(), Buffer, Parsed,
                                    intoCode(Failure));
  if (!Failure) {
    const std::size_t Expected = Parsed.content_length().value_or(
        Parsed.chunked() ? Options.MaxBodyBytes : 0);
    Peer.stream().expires_after(
        Options.HeadTimeout +
        std::chrono::seconds(Expected / Options.MinBodyBytesPerSecond));
    co_await bhttp::async_read(Peer.stream(), Buffer, Parsed,
                               intoCode(Failure));
  }
  if (!Failure)
    co_return true;
  if (!isDisconnect(Failure))
    co_await answerFailure(State, Peer, classify(Failure), KeepAlive);
  co_return false;
}

Task<void> serveConnection(std::shared_ptr<Shared> State, Tcp::socket Socket) {
  bool KeepAlive = true;
  Connection Peer(std::move(Socket), KeepAlive);
  OpenScope Open(*State, Peer.stream().socket());
  // Its limit ends requests whose next part, such as a chunk's extension, never
  // ends.
  beast::flat_buffer Buffer(
      State->Options.MaxHeadBytes +
      std::min(MaxBufferedBytes, State->Options.MaxBodyBytes));
  std::optional<MemoryHolder> Held;
  if (State->Options.Memory) {
    Held.emplace(*State->Options.Memory,
                 [&Peer] { shutDown(Peer.stream().socket()); });
    Peer.setMemory(*Held, State->LargestReply);
  }
  while (KeepAlive) {
    Parser Parsed;
    if (!co_await readRequest(*State, Peer, Buffer, Parsed, KeepAlive))
      break;
    const ActiveScope Active(State->Active);
    KeepAlive = Parsed.get().keep_alive() && !State->Stopping;
    Peer.beginRequest(Parsed.get().version());
    Open.recordRequest();
    // Held before the reply is made. Its size is not known by then.
    bool HasMemory = true;
    if (Held)
      HasMemory = co_await holdMemory(*Held, State->LargestReply + 1);
    if (HasMemory)
      co_await State->Handle(toRequest(Parsed), Peer);
    else
      co_await Peer.sendBusy();
    if (Held)
      Held->reset();
    Peer.stopWatching();
    // A reply that was given up in the middle ends with its connection, so
    // that the caller does not wait for the rest.
    if (!Peer.finished())
      break;
    if (Buffer.size() == 0)
      Buffer.shrink_to_fit();
  }
  Code Ignored;
  Peer.stream().socket().shutdown(Tcp::socket::shutdown_both, Ignored);
}

class ServerImpl final : public Server {
public:
  ServerImpl(asio::io_context &Context, std::shared_ptr<Shared> State)
      : Acceptor_(std::make_shared<Tcp::acceptor>(Context)), Context_(Context),
        State_(std::move(State)) {}

  ~ServerImpl() override { stopAccepting(); }

  bool listen(std::string &Reason) {
    const ServerOptions &Options = State_->Options;
    Code Failure;
    const auto Ip = asio::ip::make_address(Options.Host, Failure);
    const Tcp::endpoint Local(Ip, Options.Port);
    if (!Failure)
      Acceptor_->open(Local.protocol(), Failure);
    if (!Failure)
      Acceptor_->set_option(Tcp::acceptor::reuse_address(true), Failure);
    if (!Failure)
      Acceptor_->bind(Local, Failure);
    if (!Failure)
      Acceptor_->listen(1024, Failure);
    if (Failure) {
      Reason = "cannot listen on " + Options.Host + ":" +
               std::to_string(Options.Port) + ": " + Failure.message();
      return false;
    }
    Port_ = Acceptor_->local_endpoint().port();
    asio::co_spawn(Context_, acceptLoop(Context_, Acceptor_, State_),
                   asio::detached);
    return true;
  }

  unsigned short port() const override { return Port_; }

  void stopAccepting() override {
    State_->Stopping = true;
    asio::post(Acceptor_->get_executor(), [Acceptor = Acceptor_] {
      Code Ignored;
      Acceptor->close(Ignored);
    });
    const std::lock_guard Lock(State_->Mutex);
    for (Tcp::socket *Socket : State_->Idle) {
      Code Ignored;
      Socket->shutdown(Tcp::socket::shutdown_receive, Ignored);
    }
  }

  std::size_t activeRequests() const override { return State_->Active; }

private:
  static Task<void> acceptLoop(asio::io_context &Context,
                               std::shared_ptr<Tcp::acceptor> Acceptor,
                               std::shared_ptr<Shared> State) {
    while (Acceptor->is_open()) {
      Code Failure;
      Tcp::socket Socket = co_await Acceptor->async_accept(
          asio::make_strand(Context), intoCode(Failure));
      if (Failure == asio::error::operation_aborted)
        break;
      if (Failure) {
        // Out of file descriptors or a connection that is already gone.
        co_await sleepFor(std::chrono::milliseconds(20));
        continue;
      }
      Code Ignored;
      Socket.set_option(Tcp::no_delay(true), Ignored);
      Socket.set_option(
          Tcp::socket::send_buffer_size(State->Options.SendBufferBytes),
          Ignored);
      const auto Executor = Socket.get_executor();
      asio::co_spawn(Executor, serveConnection(State, std::move(Socket)),
                     asio::detached);
    }
  }

  std::shared_ptr<Tcp::acceptor> Acceptor_;
  asio::io_context &Context_;
  std::shared_ptr<Shared> State_;
  unsigned short Port_ = 0;
};

} // namespace

Task<void> sleepFor(std::chrono::milliseconds Period) {
  asio::steady_timer Timer(co_await asio::this_coro::executor, Period);
  Code Ignored;
  co_await Timer.async_wait(intoCode(Ignored));
}

std::unique_ptr<Server> startServer(asio::io_context &Context,
                                    ServerOptions Options, Handler Handle,
                                    FailureBody Describe, std::string &Reason) {
  auto State = std::make_shared<Shared>();
  State->Options = std::move(Options);
  State->Handle = std::move(Handle);
  State->Describe = std::move(Describe);
  auto Result = std::make_unique<ServerImpl>(Context, std::move(State));
  if (!Result->listen(Reason))
    return nullptr;
  return Result;
}

} // namespace cassiashed::http
