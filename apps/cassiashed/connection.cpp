#include "connection.h"

#include "cassiashed/config/settings.h"
#include <fstream>
#include <sstream>

namespace cassiashed {
namespace {

namespace po = boost::program_options;

// Operator address of examples/node.ini.
constexpr unsigned short DefaultOperatorPort = 8082;

std::optional<HostPort> readAddress(const po::variables_map &Values,
                                    const char *Option) {
  if (Values.count(Option) == 0)
    return std::nullopt;
  const auto &Text = Values[Option].as<std::string>();
  auto Address = parseHostPort(Text);
  if (!Address)
    throw UsageError("--" + std::string(Option) + " " + Text +
                     ": expected ip:port with an IP number");
  return Address;
}

std::string readKeyFile(const std::string &Path) {
  std::ifstream Input(Path);
  std::string Key;
  if (!std::getline(Input, Key) || Key.empty())
    throw InputError("key file " + Path + " cannot be read or is empty");
  return Key.substr(0, Key.find_last_not_of(" \t\r") + 1);
}

} // namespace

void addSettingsOption(po::options_description &Options) {
  Options.add_options()(
      "settings", po::value<std::string>()->value_name("FILE"),
      "settings file of a node; gives addresses and the cluster key");
}

void addPlatformOptions(po::options_description &Options) {
  addSettingsOption(Options);
  Options.add_options()("platform",
                        po::value<std::string>()->value_name("IP:PORT"),
                        "address of the platform's services");
}

void addNodeOptions(po::options_description &Options) {
  Options.add_options()("node", po::value<std::string>()->value_name("IP:PORT"),
                        "operator port of a node");
  Options.add_options()("key-file",
                        po::value<std::string>()->value_name("FILE"),
                        "file that holds the cluster key");
}

Connection readConnection(const po::variables_map &Values) {
  Connection Result;
  if (Values.count("settings") != 0) {
    Problems Found;
    const auto Options =
        loadSettings(Values["settings"].as<std::string>(), Found);
    if (!Options) {
      std::string Text;
      for (const Problem &Error : Found)
        Text += (Text.empty() ? "" : "\n") + formatProblem(Error);
      throw InputError(Text);
    }
    Result = {Options->Platform.Address, Options->Node.Operator,
              Options->Cluster.Key};
  }
  if (const auto Platform = readAddress(Values, "platform"))
    Result.Platform = Platform;
  if (const auto Node = readAddress(Values, "node"))
    Result.Node = Node;
  if (Values.count("key-file") != 0)
    Result.Key = readKeyFile(Values["key-file"].as<std::string>());
  return Result;
}

OperatorClientOptions makeNodeOptions(const Connection &From) {
  if (From.Key.empty())
    throw UsageError("the cluster key is needed: --settings or --key-file");
  OperatorClientOptions Options;
  Options.Key = From.Key;
  Options.Host = From.Node ? From.Node->Host : "127.0.0.1";
  Options.Port = From.Node ? From.Node->Port : DefaultOperatorPort;
  return Options;
}

std::unique_ptr<PlatformClient> connectPlatform(const Connection &From,
                                                Duration Timeout) {
  if (!From.Platform)
    throw UsageError(
        "the platform's address is needed: --platform or --settings");
  return makePlatformClient(
      {From.Platform->Host, From.Platform->Port, Timeout});
}

} // namespace cassiashed
