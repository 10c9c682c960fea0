#include "cassiashed/admin/apply.h"
#include "cassiashed/admin/check.h"
#include "cassiashed/admin/drain.h"
#include "cassiashed/admin/exit_code.h"
#include "cassiashed/admin/status.h"
#include "cassiashed/admin/zone.h"
#include "cassiashed/control/operator_server.h"
#include "store/fake_platform_test.h"
#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

using namespace cassiashed;
using namespace cassiashed::admin;

namespace {

constexpr const char *TwoZones = "[deployment]\nreplaces = 0\nnote = first\n"
                                 "[zone a]\nregion = r\n"
                                 "[zone b]\nregion = r\n"
                                 "[workspace w]\nkey = 12345678\n";
constexpr const char *Key = "key-of-the-cluster";
const PublishOptions Fast{2, Duration(0)};

/// Operator commands on a fake platform, with what they print.
struct Console {
  FakePlatform Platform;
  std::ostringstream Out;
  std::ostringstream Errors;

  int apply(const std::string &Text, const std::string &Author = "ann") {
    const auto File = std::filesystem::temp_directory_path() /
                      ("cassiashed_admin_" + std::to_string(getpid()));
    std::ofstream(File) << Text;
    const int Code =
        applyDeployment({File, Author, Fast}, Platform, Platform, Out, Errors);
    std::filesystem::remove(File);
    return Code;
  }
  int setZone(const std::string &Zone, ZoneState State,
              const std::optional<OperatorClientOptions> &Node = {}) {
    return setZoneState({Zone, State, "ben", Fast}, Platform, Platform, Node,
                        Out, Errors);
  }
  Deployment readCurrent() {
    std::string Reason;
    Problems Found;
    const auto Head = readConfigHead(Platform, Reason);
    REQUIRE(Head);
    const auto Text = readConfigText(Platform, *Head, Reason);
    REQUIRE(Text);
    const auto Config = parseDeployment(*Text, "current", Found);
    REQUIRE(Config);
    return *Config;
  }
};

unsigned short findFreePort() {
  const int Socket = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  REQUIRE(bind(Socket, reinterpret_cast<sockaddr *>(&Address),
               sizeof Address) == 0);
  socklen_t Size = sizeof Address;
  getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
  close(Socket);
  return ntohs(Address.sin_port);
}

} // namespace

// Guards against an operator who cannot tell a lost race from a refusal or
// from an unknown outcome.
TEST_CASE("apply reports each outcome by its exit code") {
  Console Test;
  CHECK(Test.apply("[deployment]\nreplaces = x\n[zone a]\n") == ExitFailed);
  CHECK(Test.Errors.str().find(":2: deployment.replaces") != std::string::npos);
  CHECK(Test.Errors.str().find("zone a.region") != std::string::npos);
  CHECK(Test.apply(TwoZones) == ExitSuccess);
  CHECK(Test.Out.str().find("version 1 applied") != std::string::npos);
  CHECK(Test.apply(TwoZones, "eve") == ExitConflict);
  CHECK(Test.Errors.str().find("version 1 is, applied by ann at") !=
        std::string::npos);
  using Fault = FakePlatform::Fault;
  Test.Platform.setFaults({Fault::LoseRequest, Fault::LoseRequest});
  CHECK(Test.apply("[deployment]\nreplaces = 1\n") == ExitUnknown);
  Test.Platform.ObjectsDown = true;
  CHECK(Test.apply("[deployment]\nreplaces = 1\n") == ExitFailed);
  CHECK(Test.Platform.countRowWrites() == 1);
}

// Guards against a zone order that undoes the change of another operator or
// gives up because of it.
TEST_CASE("a zone order is repeated after a conflict and changes one zone") {
  Console Test;
  REQUIRE(Test.apply(TwoZones) == ExitSuccess);
  Test.Platform.BeforeCommit = [&] {
    CHECK(Test.setZone("a", ZoneState::Out) == ExitSuccess);
  };
  CHECK(Test.setZone("b", ZoneState::Out) == ExitSuccess);
  Deployment Now = Test.readCurrent();
  CHECK(Now.Replaces == 2);
  CHECK(findZone(Now, "a")->State == ZoneState::Out);
  CHECK(findZone(Now, "b")->State == ZoneState::Out);
  CHECK(Now.Workspaces.size() == 1);
  CHECK(Test.setZone("a", ZoneState::In) == ExitSuccess);
  Now = Test.readCurrent();
  CHECK(findZone(Now, "a")->State == ZoneState::In);
  CHECK(Now.Note == "zone in a");
  CHECK(Test.setZone("a", ZoneState::In) == ExitSuccess);
  CHECK(Test.setZone("c", ZoneState::Out) == ExitFailed);
  CHECK(Test.Platform.countRowWrites() == 4);
}

// Guards against a zone that stays in service because the platform is down.
TEST_CASE("during a platform outage a zone order goes to a node") {
  Console Test;
  REQUIRE(Test.apply(TwoZones) == ExitSuccess);
  Test.Platform.TableDown = true;
  CHECK(Test.setZone("a", ZoneState::Out) == ExitFailed);

  std::string Reason;
  std::string Order;
  int Status = 200;
  const unsigned short Port = findFreePort();
  const auto Server = startOperatorServer(
      {"127.0.0.1", Port, Key},
      {{"POST", "/zone",
        [&](const OperatorRequest &Request) {
          Order = Request.Body;
          return OperatorReply{Status, "{}"};
        }},
       {"POST", "/drain",
        [](const OperatorRequest &) {
          return makeOperatorError(409, "draining", "already shutting down");
        }}},
      Reason);
  REQUIRE_MESSAGE(Server, Reason);
  const OperatorClientOptions Node{"127.0.0.1", Port, Key};
  CHECK(Test.setZone("a", ZoneState::Out, Node) == ExitSuccess);
  CHECK(Order == R"({"author":"ben","state":"out","zone":"a"})");
  Status = 409;
  CHECK(Test.setZone("a", ZoneState::Out, Node) == ExitFailed);
  Status = 503;
  CHECK(Test.setZone("a", ZoneState::Out, Node) == ExitUnknown);
  CHECK(drainNode(Node, Test.Out, Test.Errors) == ExitFailed);
  CHECK(Test.Errors.str().find("already shutting down") != std::string::npos);

  // A lost publication may still take effect, whatever the node says.
  Test.Platform.TableDown = false;
  using Fault = FakePlatform::Fault;
  Test.Platform.setFaults({Fault::LoseRequest, Fault::LoseRequest});
  Status = 409;
  CHECK(Test.setZone("a", ZoneState::Out, Node) == ExitUnknown);
}

// Guards against a status that fails on a node which leaves fields out.
TEST_CASE("status is a table that tolerates missing fields") {
  const Json Status = {
      {"node", "a1"},
      {"version", 7},
      {"current", true},
      {"endpoints",
       {{{"name", "e1"}, {"owner", "a1"}, {"share", "half"}, {"running", 3}},
        {{"name", "endpoint2"}, {"share", nullptr}}}}};
  CHECK(formatStatus(Status) ==
        "node a1  version 7  current yes  draining -\n\n"
        "ENDPOINT   ZONE  KIND  OWNER  SHARE  STATE  HELD  CAPACITY  RUNNING  "
        "WAITING\n"
        "e1         -     -     a1     half   -      -     -         3        "
        "-\n"
        "endpoint2  -     -     -      -      -      -     -         -        "
        "-\n");
  CHECK(formatStatus(Json::object()).find("version -") != std::string::npos);
}
