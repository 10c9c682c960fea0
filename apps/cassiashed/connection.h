#pragma once

#include "cassiashed/config/host_port.h"
#include "cassiashed/control/operator_client.h"
#include "cassiashed/store/platform_client.h"
#include <boost/program_options.hpp>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>

namespace cassiashed {

/// Wrong use of the command line; ends the program with exit code 2.
class UsageError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// A file that a command needs cannot be used; ends the program with exit
/// code 1.
class InputError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Where a command finds the platform and a node.
struct Connection {
  std::optional<HostPort> Platform;
  std::optional<HostPort> Node; ///< operator port
  std::string Key;              ///< cluster key; empty: none given
};

/// `--settings` and `--platform`.
void addPlatformOptions(boost::program_options::options_description &Options);
/// `--node` and `--key-file`; `--settings` is added by `addSettingsOption`.
void addNodeOptions(boost::program_options::options_description &Options);
void addSettingsOption(boost::program_options::options_description &Options);

/// Reads the addresses and the key. Options override the settings file.
Connection readConnection(const boost::program_options::variables_map &Values);

/// Options for a call to the node. Throws `UsageError` if there is no key.
OperatorClientOptions makeNodeOptions(const Connection &From);

/// Throws `UsageError` if no platform address is known.
std::unique_ptr<PlatformClient> connectPlatform(const Connection &From,
                                                Duration Timeout);

} // namespace cassiashed
