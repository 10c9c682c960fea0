#include "http/client.h"

#include "http/dead_peer.h"
#include "http/peek.h"
#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace cassiashed::http {
namespace {

namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using Code = boost::system::error_code;

constexpr std::size_t PieceBytes = 16 * 1024;
/// Limit for a body that is read piece by piece.
constexpr std::uint64_t MaxStreamBytes = 1ULL << 30;
/// A peer that cannot be reached is noticed after it, also while a call waits
/// for an answer that may take long.
constexpr std::chrono::seconds DeadPeerLimit{3};

auto intoCode(Code &Result) {
  return asio::redirect_error(asio::use_awaitable, Result);
}

class ClientStreamImpl final : public ClientStream {
public:
  ClientStreamImpl(asio::any_io_executor Executor, ClientOptions Options)
      : Stream_(std::move(Executor)), Options_(Options), Buffer_(PieceBytes) {}

  Task<bool> connect(Address Peer) override {
    Peer_ = std::move(Peer);
    Code Failure;
    const auto Ip = asio::ip::make_address(Peer_.Host, Failure);
    if (!Failure) {
      Stream_.expires_after(Options_.ConnectTimeout);
      co_await Stream_.async_connect(Tcp::endpoint(Ip, Peer_.Port),
                                     intoCode(Failure));
    }
    if (Failure) {
      Failure_ = ClientFailure::NotConnected;
      co_return false;
    }
    setSocketOptions();
    co_return true;
  }

  Task<bool> start(Address Peer, Request Message) override {
    const bool Connected = co_await connect(std::move(Peer));
    if (!Connected)
      co_return false;
    const bool Sent = co_await send(std::move(Message));
    co_return Sent;
  }

  Task<bool> send(Request Message) override {
    bhttp::request<bhttp::string_body> Wire(
        bhttp::string_to_verb(Message.Method), Message.Target, 11);
    Wire.set(bhttp::field::host, Peer_.Host + ":" + std::to_string(Peer_.Port));
    for (const Header &Field : Message.Fields)
      Wire.set(Field.first, Field.second);
    Wire.keep_alive(false);
    Wire.body() = std::move(Message.Body);
    Wire.prepare_payload();
    Stream_.expires_after(Options_.WriteTimeout);
    Code Failure;
    co_await bhttp::async_write(Stream_, Wire, intoCode(Failure));
    if (Failure)
      Failure_ = Failure == beast::error::timeout ? ClientFailure::TimedOut
                                                  : ClientFailure::NotAnswered;
    co_return !Failure;
  }

  Task<std::optional<Response>> readHead(Duration Timeout) override {
    Stream_.expires_after(Timeout);
    // Interim answers precede the final one.
    do {
      Parser_.emplace();
      Parser_->body_limit(MaxStreamBytes);
      Code Failure;
      co_await bhttp::async_read_header(Stream_, Buffer_, *Parser_,
                                        intoCode(Failure));
      if (Failure) {
        Failure_ = Failure == beast::error::timeout
                       ? ClientFailure::TimedOut
                       : ClientFailure::NotAnswered;
        co_return std::nullopt;
      }
    } while (bhttp::to_status_class(Parser_->get().result_int()) ==
             bhttp::status_class::informational);
    if (!isHttpStatus(static_cast<int>(Parser_->get().result_int()))) {
      Failure_ = ClientFailure::NotAnswered;
      co_return std::nullopt;
    }
    AnswersEarly_ = hasUnsentBytes(Stream_.socket());
    Response Head;
    Head.Status = static_cast<int>(Parser_->get().result_int());
    for (const auto &Field : Parser_->get())
      Head.Fields.emplace_back(std::string(Field.name_string()),
                               std::string(Field.value()));
    co_return Head;
  }

  Task<std::optional<std::string>> readSome(Duration Timeout) override {
    std::array<char, PieceBytes> Piece; // NOLINT: filled by the parser
    while (!Parser_->is_done()) {
      Parser_->get().body().data = Piece.data();
      Parser_->get().body().size = Piece.size();
      Stream_.expires_after(Timeout);
      Code Failure;
      co_await bhttp::async_read_some(Stream_, Buffer_, *Parser_,
                                      intoCode(Failure));
      if (Failure && Failure != bhttp::error::need_buffer) {
        Failure_ = Failure == beast::error::timeout ? ClientFailure::TimedOut
                                                    : ClientFailure::Truncated;
        co_return std::nullopt;
      }
      const std::size_t Count = Piece.size() - Parser_->get().body().size;
      // The end of the connection shows that an answer without a length is
      // whole only if its peer had taken the whole request.
      if (Parser_->is_done() && Parser_->need_eof() &&
          (AnswersEarly_ || isReset(Stream_.socket()))) {
        Failure_ = ClientFailure::Truncated;
        co_return std::nullopt;
      }
      if (Count > 0)
        co_return std::string(Piece.data(), Count);
    }
    co_return std::string();
  }

  ClientFailure failure() const override { return Failure_; }

  void close() override { Stream_.close(); }

private:
  void setSocketOptions() {
    Code Ignored;
    Stream_.socket().set_option(Tcp::no_delay(true), Ignored);
    detectDeadPeer(Stream_.socket(), DeadPeerLimit);
    if (Options_.DropUnsent)
      Stream_.socket().set_option(asio::socket_base::linger(true, 0), Ignored);
    if (Options_.ReceiveBufferBytes > 0)
      Stream_.socket().set_option(
          Tcp::socket::receive_buffer_size(Options_.ReceiveBufferBytes),
          Ignored);
  }

  beast::tcp_stream Stream_;
  ClientOptions Options_;
  Address Peer_;
  beast::flat_buffer Buffer_;
  /// Of the answer; set by `readHead`.
  std::optional<bhttp::response_parser<bhttp::buffer_body>> Parser_;
  bool AnswersEarly_ = false; ///< before the whole request was sent
  ClientFailure Failure_ = ClientFailure::None;
};

} // namespace

std::shared_ptr<ClientStream> makeClientStream(asio::any_io_executor Executor,
                                               ClientOptions Options) {
  return std::make_shared<ClientStreamImpl>(std::move(Executor), Options);
}

namespace {

/// Counts down to a deadline.
class Countdown {
public:
  explicit Countdown(Duration Timeout)
      : EndsAt_(SteadyClock().now() + Timeout) {}
  /// At least 1 ms, so that a deadline that has passed still ends an operation.
  Duration left() const {
    return std::max(Duration(1), std::chrono::duration_cast<Duration>(
                                     EndsAt_ - SteadyClock().now()));
  }

private:
  TimePoint EndsAt_;
};

/// Appends the body to `Reply`. Returns why it cannot be read. A peer that
/// sends byte by byte must not stretch the call, so `Body` limits the sum of
/// the pauses.
Task<ClientFailure> readBody(ClientStream &Stream, Countdown Body,
                             Duration PauseTimeout, std::size_t MaxBytes,
                             Response &Reply) {
  while (true) {
    const std::optional<std::string> Piece =
        co_await Stream.readSome(std::min(Body.left(), PauseTimeout));
    if (!Piece)
      co_return Stream.failure();
    if (Piece->empty())
      co_return ClientFailure::None;
    if (Reply.Body.size() + Piece->size() > MaxBytes)
      co_return ClientFailure::TooLarge;
    Reply.Body += *Piece;
  }
}

} // namespace

Task<std::optional<Response>> fetch(Address Peer, Request Message,
                                    FetchLimits Limits,
                                    ClientFailure *Failure) {
  const Countdown Head(Limits.HeadTimeout);
  const auto Stream = makeClientStream(co_await asio::this_coro::executor,
                                       {.ConnectTimeout = Limits.HeadTimeout,
                                        .WriteTimeout = Limits.HeadTimeout});
  std::optional<Response> Reply;
  const bool Started =
      co_await Stream->start(std::move(Peer), std::move(Message));
  if (Started)
    Reply = co_await Stream->readHead(Head.left());
  const Countdown Body =
      Limits.BodyTimeout.count() > 0 ? Countdown(Limits.BodyTimeout) : Head;
  ClientFailure Reason = Stream->failure();
  if (Reply)
    Reason = co_await readBody(*Stream, Body, Limits.PauseTimeout,
                               Limits.MaxBytes, *Reply);
  if (Reason != ClientFailure::None)
    Reply.reset();
  if (Failure)
    *Failure = Reason;
  co_return Reply;
}

Task<std::optional<Response>> fetch(Address Peer, Request Message,
                                    Duration Timeout, ClientFailure *Failure,
                                    std::size_t MaxBytes) {
  return fetch(std::move(Peer), std::move(Message),
               FetchLimits{Timeout, Timeout, Duration(0), MaxBytes}, Failure);
}

} // namespace cassiashed::http
