#include "cassiashed/admin/apply.h"
#include "cassiashed/admin/check.h"
#include "cassiashed/admin/drain.h"
#include "cassiashed/admin/exit_code.h"
#include "cassiashed/admin/explain.h"
#include "cassiashed/admin/status.h"
#include "cassiashed/admin/zone.h"
#include "cassiashed/base/event_log.h"
#include "cassiashed/config/gateway_settings.h"
#include "cassiashed/config/settings.h"
#include "cassiashed/gateway/gateway.h"
#include "cassiashed/node/node.h"
#include "connection.h"
#include "platform/duty_api_client.h"
#include "platform/platform_protocol.h"
#include "platform/store_client.h"
#include <array>
#include <cstdlib>
#include <iostream>

namespace cassiashed {
using namespace admin;

namespace {

namespace po = boost::program_options;

/// What the command line of one command may contain.
struct CommandLine {
  po::options_description Options{"Options"};
  po::positional_options_description Positions;

  /// Adds an argument without a name; it is not shown as an option.
  void addArgument(const char *Name) {
    Arguments.add_options()(Name, po::value<std::string>());
    Positions.add(Name, 1);
  }
  po::options_description Arguments;
};

struct Command {
  const char *Name;
  const char *Usage; ///< what follows the name
  const char *Summary;
  void (*Describe)(CommandLine &);
  int (*Run)(const po::variables_map &);
};

const std::string &readArgument(const po::variables_map &Values,
                                const char *Name) {
  if (Values.count(Name) == 0)
    throw UsageError(std::string(Name) + " is missing");
  return Values[Name].as<std::string>();
}

void addAuthorOption(CommandLine &Line) {
  const char *User = std::getenv("USER");
  Line.Options.add_options()(
      "author",
      po::value<std::string>()->value_name("NAME")->default_value(
          User && *User ? User : "unknown"),
      "recorded with the new version");
}

int runNodeCommand(const po::variables_map &Values) {
  Problems Found;
  const auto Options = loadSettings(readArgument(Values, "settings"), Found);
  if (Options)
    return runNode(*Options);
  for (const Problem &Error : Found)
    std::cerr << formatProblem(Error) << "\n";
  return ExitFailed;
}

int runGatewayCommand(const po::variables_map &Values) {
  const std::string &Path = readArgument(Values, "settings");
  Problems Found;
  const auto Options = loadGatewaySettings(Path, Found);
  if (!Options) {
    for (const Problem &Error : Found)
      std::cerr << formatProblem(Error) << "\n";
    return ExitFailed;
  }
  gateway::GatewayAdapter Adapter;
  Adapter.Protocol = platform::makePlatformProtocol();
  Adapter.Store =
      platform::makeStoreClient({Options->Store.Host, Options->Store.Port});
  if (Options->Duties)
    Adapter.Duties = platform::makeDutyApiClient(
        {Options->Duties->Api.Host, Options->Duties->Api.Port});
  return gateway::runGateway(*Options, Path, std::move(Adapter));
}

int runApply(const po::variables_map &Values) {
  ApplyOptions Options;
  Options.File = readArgument(Values, "FILE");
  Options.Author = Values["author"].as<std::string>();
  const auto Platform =
      connectPlatform(readConnection(Values), std::chrono::seconds(3));
  return applyDeployment(Options, *Platform, *Platform, std::cout, std::cerr);
}

int runCheck(const po::variables_map &Values) {
  CheckOptions Options;
  Options.File = readArgument(Values, "FILE");
  if (Values.count("in-force") != 0)
    Options.InForceFile = Values["in-force"].as<std::string>();
  if (Values.count("host-memory-mb") != 0)
    Options.HostMemoryMb = Values["host-memory-mb"].as<std::uint32_t>();
  Options.AsJson = Values.count("json") != 0;
  return checkFile(Options, std::cout, std::cerr);
}

int runExplain(const po::variables_map &Values) {
  std::vector<std::string> Files;
  if (Values.count("FILE") != 0)
    Files = Values["FILE"].as<std::vector<std::string>>();
  if (Files.empty())
    throw UsageError("FILE is missing");
  return explainFiles(readArgument(Values, "ID"), Files, std::cout, std::cerr);
}

int runStatus(const po::variables_map &Values) {
  return showStatus(makeNodeOptions(readConnection(Values)),
                    Values.count("json") != 0, std::cout, std::cerr);
}

int runZone(const po::variables_map &Values) {
  const std::string &State = readArgument(Values, "out|in");
  if (State != "out" && State != "in")
    throw UsageError("zone " + State + ": expected out or in");
  ZoneOrder Order;
  Order.State = State == "out" ? ZoneState::Out : ZoneState::In;
  Order.Zone = readArgument(Values, "NAME");
  Order.Author = Values["author"].as<std::string>();
  const Connection From = readConnection(Values);
  std::optional<OperatorClientOptions> Node;
  Duration Timeout = std::chrono::seconds(3);
  if (From.Node) {
    Node = makeNodeOptions(From);
    // With a node to turn to, a failing platform should not delay the order.
    Timeout = std::chrono::seconds(1);
    Order.Publish.Attempts = 2;
  }
  const auto Platform = connectPlatform(From, Timeout);
  return setZoneState(Order, *Platform, *Platform, Node, std::cout, std::cerr);
}

int runDrain(const po::variables_map &Values) {
  const Connection From = readConnection(Values);
  if (!From.Node)
    throw UsageError("the node's address is needed: --node or --settings");
  return drainNode(makeNodeOptions(From), std::cout, std::cerr);
}

int runVersion(const po::variables_map & /*Values*/) {
  std::cout << "cassiashed " << CASSIASHED_VERSION << "\n";
  return ExitSuccess;
}

const std::array Commands = {
    Command{"node", "--settings FILE", "run one node",
            [](CommandLine &Line) {
              Line.Options.add_options()(
                  "settings", po::value<std::string>()->value_name("FILE"),
                  "settings file of this node");
            },
            runNodeCommand},
    Command{"gateway", "--settings FILE",
            "run one node of a deployment on the users' platform",
            [](CommandLine &Line) {
              Line.Options.add_options()(
                  "settings", po::value<std::string>()->value_name("FILE"),
                  "settings file of this node");
            },
            runGatewayCommand},
    Command{"apply", "FILE [--platform IP:PORT] [--author NAME]",
            "put a deployment file into effect",
            [](CommandLine &Line) {
              Line.addArgument("FILE");
              addPlatformOptions(Line.Options);
              addAuthorOption(Line);
            },
            runApply},
    Command{"check", "FILE [--in-force FILE] [--host-memory-mb N] [--json]",
            "check a settings or deployment file, or a configuration of the "
            "platform",
            [](CommandLine &Line) {
              Line.addArgument("FILE");
              Line.Options.add_options()(
                  "in-force", po::value<std::string>()->value_name("FILE"),
                  "configuration of the platform that is in force, to compare "
                  "with")("host-memory-mb",
                          po::value<std::uint32_t>()->value_name("N"),
                          "memory of a host, compared with the body limit")(
                  "json", "print the result as one JSON object");
            },
            runCheck},
    Command{"explain", "ID FILE...",
            "collect what the gateways' logs say of one request",
            [](CommandLine &Line) {
              Line.addArgument("ID");
              Line.Arguments.add_options()(
                  "FILE", po::value<std::vector<std::string>>());
              Line.Positions.add("FILE", -1);
            },
            runExplain},
    Command{"status", "[--node IP:PORT] [--json]",
            "show nodes, endpoints, zones and versions as one node sees them",
            [](CommandLine &Line) {
              addSettingsOption(Line.Options);
              addNodeOptions(Line.Options);
              Line.Options.add_options()("json", "print the node's JSON");
            },
            runStatus},
    Command{"zone", "out|in NAME",
            "take a zone out of service or bring it back; with --node also "
            "while the platform fails",
            [](CommandLine &Line) {
              Line.addArgument("out|in");
              Line.addArgument("NAME");
              addPlatformOptions(Line.Options);
              addNodeOptions(Line.Options);
              addAuthorOption(Line);
            },
            runZone},
    Command{"drain", "--node IP:PORT", "shut down a node gracefully",
            [](CommandLine &Line) {
              addSettingsOption(Line.Options);
              addNodeOptions(Line.Options);
            },
            runDrain},
    Command{"version", "", "print the version of this program",
            [](CommandLine &) {}, runVersion},
};

void printCommands(std::ostream &Out) {
  Out << "Usage: cassiashed COMMAND [ARGUMENT...]\n\nCommands:\n";
  for (const Command &Entry : Commands)
    Out << "  " << Entry.Name
        << std::string(10 - std::string(Entry.Name).size(), ' ')
        << Entry.Summary << "\n";
  Out << "\n`cassiashed COMMAND --help` describes a command.\n" << ExitCodeHelp;
}

int runCommand(const Command &Entry, int Count, char **Arguments) {
  CommandLine Line;
  Line.Options.add_options()("help", "show this text");
  Entry.Describe(Line);
  po::options_description All;
  All.add(Line.Options).add(Line.Arguments);
  po::variables_map Values;
  po::store(po::command_line_parser(Count, Arguments)
                .options(All)
                .positional(Line.Positions)
                .run(),
            Values);
  if (Values.count("help") != 0) {
    std::cout << "Usage: cassiashed " << Entry.Name << " " << Entry.Usage
              << "\n\n"
              << Entry.Summary << "\n\n"
              << Line.Options << "\n"
              << ExitCodeHelp;
    return ExitSuccess;
  }
  po::notify(Values);
  return Entry.Run(Values);
}

int runMain(int Count, char **Arguments) {
  const std::string Name = Count > 1 ? Arguments[1] : "";
  if (Name == "--help" || Name == "help") {
    printCommands(std::cout);
    return ExitSuccess;
  }
  for (const Command &Entry : Commands)
    if (Name == Entry.Name) {
      try {
        // The name of the command takes the place of the program's.
        return runCommand(Entry, Count - 1, Arguments + 1);
      } catch (const InputError &Failure) {
        std::cerr << Failure.what() << "\n";
        return ExitFailed;
      } catch (const UsageError &Failure) {
        std::cerr << "cassiashed " << Name << ": " << Failure.what() << "\n";
      } catch (const po::error &Failure) {
        std::cerr << "cassiashed " << Name << ": " << Failure.what() << "\n";
      }
      return ExitUsage;
    }
  printCommands(std::cerr);
  return ExitUsage;
}

} // namespace
} // namespace cassiashed

int main(int Count, char **Arguments) {
  cassiashed::startLogging(Arguments[0]);
  return cassiashed::runMain(Count, Arguments);
}
