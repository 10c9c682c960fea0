#pragma once

#include "cassiashed/base/clock.h"
#include "cassiashed/store/object_store.h"
#include "cassiashed/store/table_service.h"
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The configuration in force, as the platform keeps it: its text is an object
/// named by content hash, and the table row `config/current` names the object.
namespace cassiashed {

inline constexpr const char *ConfigRowKey = "config/current";

/// Content of the row `config/current`. Versions count up by one; version 0
/// means that there is no configuration yet.
struct ConfigHead {
  std::uint64_t Version = 0;
  std::string ApplyId; ///< unique for each publication
  std::string Hash;    ///< `hashHex` of the text
  std::string Object;  ///< name of the object that holds the text
  std::string Author;
  std::string Note;
  std::string Time; ///< UTC, ISO 8601
  /// Apply ids of the versions before this one, the newest first. They tell a
  /// publisher whose reply was lost whether its version was in force.
  std::vector<std::string> EarlierApplyIds;
};

std::string formatConfigHead(const ConfigHead &Head);
std::optional<ConfigHead> parseConfigHead(std::string_view Text,
                                          std::string &Reason);

/// Reads the row. A missing row gives version 0.
std::optional<ConfigHead> readConfigHead(TableService &Table,
                                         std::string &Reason);

/// Reads the text that `Head` names and verifies its hash.
std::optional<std::string> readConfigText(ObjectStore &Objects,
                                          const ConfigHead &Head,
                                          std::string &Reason);

struct PublishRequest {
  std::string Text;
  std::uint64_t Replaces = 0; ///< version that the caller has seen
  std::string ApplyId;
  std::string Author;
  std::string Note;
  std::string Time;
};

struct PublishOptions {
  int Attempts = 4; ///< of each write; bounds the time to resolve a lost reply
  Duration Pause = std::chrono::milliseconds(200); ///< between attempts
};

enum class PublishOutcome {
  Applied,
  Conflict, ///< another version is in force; nothing was changed
  Failed,   ///< nothing was changed and nothing will be
  Unknown,  ///< the new version may be or come into force
};

struct PublishResult {
  PublishOutcome Outcome = PublishOutcome::Unknown;
  /// Applied: the new version. Conflict: the one in force, or version 0 if it
  /// could not be read.
  ConfigHead Head;
  std::string Reason; ///< Failed and Unknown: the cause
};

/// Stores the text and replaces version `Replaces` by version `Replaces + 1`
/// with one conditional write. A lost reply is resolved by reading the row and
/// comparing apply ids.
///
/// ```cpp
/// const PublishResult Result = publishConfig(*Client, *Client, Request);
/// if (Result.Outcome == PublishOutcome::Conflict)
///   report(Result.Head.Author, Result.Head.Version);
/// ```
PublishResult publishConfig(TableService &Table, ObjectStore &Objects,
                            const PublishRequest &Request,
                            const PublishOptions &Options = {});

} // namespace cassiashed
