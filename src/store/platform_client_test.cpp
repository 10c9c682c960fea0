#include "cassiashed/store/platform_client.h"

#include "cassiashed/text/json.h"
#include <arpa/inet.h>
#include <atomic>
#include <doctest/doctest.h>
#include <functional>
#include <mutex>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace cassiashed;

namespace {

/// Serves one connection at a time with kept connections. The handler gets
/// request line and body and returns the body of a reply, or nothing to close
/// the connection without a reply.
class FakeServer {
public:
  using Handler = std::function<std::optional<std::string>(
      const std::string &Line, const std::string &Body)>;

  explicit FakeServer(Handler Answer) : Answer_(std::move(Answer)) {
    Listener_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(bind(Listener_, reinterpret_cast<sockaddr *>(&Address),
                 sizeof Address) == 0);
    socklen_t Size = sizeof Address;
    getsockname(Listener_, reinterpret_cast<sockaddr *>(&Address), &Size);
    Port_ = ntohs(Address.sin_port);
    listen(Listener_, 8);
    Thread_ = std::thread([this] { run(); });
  }
  FakeServer(const FakeServer &) = delete;
  FakeServer &operator=(const FakeServer &) = delete;
  ~FakeServer() {
    Stopping_ = true;
    shutdown(Listener_, SHUT_RDWR);
    {
      const std::lock_guard Guard(Lock_);
      if (Connection_ >= 0)
        shutdown(Connection_, SHUT_RDWR);
    }
    Thread_.join();
    close(Listener_);
  }

  std::unique_ptr<PlatformClient> connect(Duration Timeout) const {
    return makePlatformClient({"127.0.0.1", Port_, Timeout});
  }

private:
  void run() {
    while (!Stopping_) {
      const int Connection = accept(Listener_, nullptr, nullptr);
      if (Connection < 0)
        return;
      {
        const std::lock_guard Guard(Lock_);
        Connection_ = Connection;
      }
      while (!Stopping_ && serveOne(Connection)) {
      }
      const std::lock_guard Guard(Lock_);
      Connection_ = -1;
      close(Connection);
    }
  }

  bool serveOne(int Connection) {
    std::string Data;
    std::size_t End = std::string::npos;
    std::size_t Length = 0;
    while (End == std::string::npos || Data.size() < End + 4 + Length) {
      char Buffer[4096];
      const ssize_t Count = recv(Connection, Buffer, sizeof Buffer, 0);
      if (Count <= 0)
        return false;
      Data.append(Buffer, static_cast<std::size_t>(Count));
      End = Data.find("\r\n\r\n");
      const std::size_t Header = Data.find("Content-Length:");
      if (Header < End)
        Length = std::stoul(Data.substr(Header + 15));
    }
    const auto Body =
        Answer_(Data.substr(0, Data.find(" HTTP")), Data.substr(End + 4));
    if (!Body)
      return false;
    const std::string Reply =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body->size()) +
        "\r\n\r\n" + *Body;
    return send(Connection, Reply.data(), Reply.size(), MSG_NOSIGNAL) > 0;
  }

  Handler Answer_;
  int Listener_ = -1;
  int Connection_ = -1; ///< guarded by Lock_
  std::mutex Lock_;
  std::uint16_t Port_ = 0;
  std::atomic<bool> Stopping_ = false;
  std::thread Thread_;
};

} // namespace

// Guards against a client that speaks another form of the protocol than the
// design page states.
TEST_CASE("requests and replies have the documented form") {
  std::vector<std::string> Seen;
  FakeServer Server([&](const std::string &Line, const std::string &Body) {
    Seen.push_back(Line + " " + Body);
    if (Line == "POST /table/commit")
      return std::optional<std::string>(
          R"({"committed":false,"versions":[7,null]})");
    if (Line == "POST /table/read")
      return std::optional<std::string>(
          R"({"rows":[{"key":"b","value":"v","version":3}]})");
    if (Line == "GET /hosts")
      return std::optional<std::string>(
          R"({"hosts":[{"name":"h","address":"10.0.0.1","zone":"a","state":"leaving"}]})");
    return std::optional<std::string>(std::string("\0x", 2));
  });
  const auto Client = Server.connect(std::chrono::seconds(3));
  std::string Reason;
  const auto Result =
      Client->commit({{"k", std::string("x"), 4}, {"d", std::nullopt, {}}},
                     CommitMode::All, Reason);
  REQUIRE(Result);
  CHECK_FALSE(Result->Committed);
  CHECK(Result->Versions[0] == std::optional<std::uint64_t>(7));
  CHECK_FALSE(Result->Versions[1]);
  const auto Rows = Client->read({"a", "b"}, Reason);
  REQUIRE(Rows);
  CHECK((*Rows)[0].Version == 0);
  CHECK((*Rows)[1].Value == "v");
  REQUIRE(Client->scan("p/", Reason));
  CHECK(Client->put("a b/c", "body", Reason));
  const auto Bytes = Client->get("o", Reason);
  REQUIRE(Bytes);
  CHECK(*Bytes == std::string("\0x", 2));
  const auto Hosts = Client->list(Reason);
  REQUIRE(Hosts);
  CHECK((*Hosts)[0].State == HostState::Leaving);
  REQUIRE(Seen.size() == 6);
  CHECK(Seen[0] == R"(POST /table/commit {"mode":"all","writes":[)"
                   R"({"if_version":4,"key":"k","value":"x"},{"key":"d"}]})");
  CHECK(Seen[1] == R"(POST /table/read {"keys":["a","b"]})");
  CHECK(Seen[2] == R"(POST /table/read {"prefix":"p/"})");
  CHECK(Seen[3] == "PUT /objects/a%20b/c body");
  CHECK(Seen[4] == "GET /objects/o ");
  CHECK(Seen[5] == "GET /hosts ");
}

// Guards against a commit that is sent twice: its second execution would fail
// the condition that the first one changed, and a write that took effect would
// be reported as refused.
TEST_CASE("a lost reply to a commit is unknown and the commit is sent once") {
  std::atomic<int> Commits = 0;
  FakeServer Server([&](const std::string &Line, const std::string &) {
    if (Line == "POST /table/read")
      return std::optional<std::string>(R"({"rows":[]})");
    ++Commits;
    return std::optional<std::string>();
  });
  const auto Client = Server.connect(std::chrono::seconds(3));
  std::string Reason;
  REQUIRE(Client->read({"k"}, Reason)); // leaves a connection in the pool
  CHECK_FALSE(
      Client->commit({{"k", std::string("x"), 0}}, CommitMode::All, Reason));
  CHECK(Reason.find("/table/commit") != std::string::npos);
  CHECK(Commits == 1);
}

// Guards against a node that waits forever for a silent platform.
TEST_CASE("a silent server ends a call after the timeout") {
  std::atomic<bool> Released = false;
  FakeServer Server([&](const std::string &, const std::string &) {
    while (!Released)
      std::this_thread::sleep_for(Duration(1));
    return std::optional<std::string>();
  });
  const auto Client = Server.connect(Duration(100));
  std::string Reason;
  const auto Start = std::chrono::steady_clock::now();
  CHECK_FALSE(Client->read({"k"}, Reason));
  const auto Elapsed = std::chrono::steady_clock::now() - Start;
  CHECK(Elapsed >= Duration(100));
  CHECK(Elapsed < Duration(2000));
  Released = true;
}
