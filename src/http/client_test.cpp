#include "http/client.h"

#include <array>
#include <doctest/doctest.h>
#include <string_view>

using namespace cassiashed;
using namespace cassiashed::http;

namespace {

constexpr Duration Patience = std::chrono::seconds(5);

enum class Ending { Close, Reset };

/// Answers each request with `Answer`, then ends the connection by `End`.
struct Peer {
  std::string Answer;
  Ending End = Ending::Close;
};

Task<void> servePeer(Tcp::acceptor &Acceptor, const Peer &Behaviour) {
  while (true) {
    Tcp::socket Caller = co_await Acceptor.async_accept(asio::use_awaitable);
    std::array<char, 4096> Request{};
    co_await Caller.async_receive(asio::buffer(Request), asio::use_awaitable);
    if (!Behaviour.Answer.empty())
      co_await Caller.async_send(asio::buffer(Behaviour.Answer),
                                 asio::use_awaitable);
    if (Behaviour.End == Ending::Reset)
      Caller.set_option(asio::socket_base::linger(true, 0));
    Caller.close(); // the destructor would clear the linger option
  }
}

/// Asks a peer that behaves as `Behaviour` says.
class Asker {
public:
  Asker() : Acceptor_(Context_, {asio::ip::address_v4::loopback(), 0}) {
    asio::co_spawn(Context_, servePeer(Acceptor_, Behaviour_), asio::detached);
  }

  std::optional<Response> ask(std::string Answer, Ending End) {
    Behaviour_ = {std::move(Answer), End};
    std::optional<Response> Reply;
    Context_.restart();
    asio::co_spawn(Context_, askOnce(Reply), asio::detached);
    Context_.run();
    return Reply;
  }

  ClientFailure failure() const { return Failure_; }

private:
  Task<void> askOnce(std::optional<Response> &Reply) {
    Address Target{"127.0.0.1", Acceptor_.local_endpoint().port()};
    Request Message{"GET", "/", {}, ""};
    Reply = co_await fetch(std::move(Target), std::move(Message), Patience,
                           &Failure_);
    Context_.stop();
  }

  asio::io_context Context_;
  Tcp::acceptor Acceptor_;
  Peer Behaviour_;
  ClientFailure Failure_ = ClientFailure::None;
};

constexpr std::string_view Sized =
    "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Id: a\r\n\r\n{\"rows\": []}";
constexpr std::string_view Chunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{\"row\r\n"
    "7;x=y\r\ns\": []}\r\n0\r\nX-Trailer: b\r\n\r\n";
constexpr std::string_view Unframed =
    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"rows\": []}";
constexpr std::string_view Old =
    "HTTP/1.0 200 OK\r\nContent-Length: 12\r\n\r\n{\"rows\": []}";
constexpr std::string_view Folded = "HTTP/1.1 200 OK\r\nX-Id: a\r\n b\r\n"
                                    "Content-Length: 12\r\n\r\n{\"rows\": []}";
constexpr std::string_view Hinted =
    "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
    "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"rows\": []}";

constexpr std::array<std::string_view, 5> FramedAnswers = {Sized, Chunked, Old,
                                                           Folded, Hinted};

} // namespace

// Guards against a part of an answer that is taken for the whole.
TEST_CASE("an answer cut at any byte is no answer") {
  Asker Caller;
  for (const std::string_view Answer : FramedAnswers)
    for (std::size_t Cut = 0; Cut < Answer.size(); ++Cut)
      for (const Ending End : {Ending::Close, Ending::Reset}) {
        CAPTURE(Answer);
        CAPTURE(Cut);
        CAPTURE(static_cast<int>(End));
        CHECK_FALSE(Caller.ask(std::string(Answer.substr(0, Cut)), End));
        CHECK(Caller.failure() != ClientFailure::None);
      }
}

// Guards against an answer without a length that counts as whole after a reset.
TEST_CASE("an answer framed by the end of its connection needs a clean end") {
  Asker Caller;
  const std::size_t HeadSize = Unframed.find("\r\n\r\n") + 4;
  for (std::size_t Cut = 0; Cut <= Unframed.size(); ++Cut) {
    CAPTURE(Cut);
    const std::string Part(Unframed.substr(0, Cut));
    CHECK_FALSE(Caller.ask(Part, Ending::Reset));
    const std::optional<Response> Reply = Caller.ask(Part, Ending::Close);
    CHECK(Reply.has_value() == (Cut >= HeadSize));
    if (Reply)
      CHECK(Reply->Body == Unframed.substr(HeadSize, Cut - HeadSize));
  }
}

// Guards against an interim answer, or bytes behind the end of an answer, that
// are taken for the answer.
TEST_CASE("only the final answer is returned") {
  Asker Caller;
  for (const std::string_view Answer : FramedAnswers) {
    CAPTURE(Answer);
    for (const std::string_view Behind : {std::string_view(), Sized}) {
      const std::optional<Response> Reply =
          Caller.ask(std::string(Answer).append(Behind), Ending::Close);
      REQUIRE(Reply);
      CHECK(Reply->Status == 200);
      CHECK(Reply->Body == "{\"rows\": []}");
    }
  }
}

// Guards against heads without a certain framing.
TEST_CASE("a head with ambiguous framing is refused") {
  Asker Caller;
  for (const std::string_view Answer :
       {"HTTP/1.1 200 OK\nContent-Length: 2\n\n{}",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked"
        "\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\n{}"}) {
    CAPTURE(Answer);
    CHECK_FALSE(Caller.ask(std::string(Answer), Ending::Close));
  }
}

// Guards against a failing peer whose bytes are taken for an answer.
TEST_CASE("an answer with a status that HTTP does not have is none") {
  Asker Caller;
  for (const std::string Status : {"000", "001", "099", "600", "999"}) {
    CAPTURE(Status);
    const std::string Answer =
        "HTTP/1.1 " + Status + " Odd\r\nContent-Length: 2\r\n\r\n{}";
    CHECK_FALSE(Caller.ask(Answer, Ending::Close));
    CHECK(Caller.failure() == ClientFailure::NotAnswered);
  }
}
