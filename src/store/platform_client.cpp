#include "cassiashed/store/platform_client.h"

#include "cassiashed/text/json.h"
#include "store/http_pool.h"
#include <map>

namespace cassiashed {
namespace {

Json writeToJson(const TableWrite &Write) {
  Json Object = {{"key", Write.Key}};
  if (Write.Value)
    Object["value"] = *Write.Value;
  if (Write.IfVersion)
    Object["if_version"] = *Write.IfVersion;
  return Object;
}

std::optional<CommitResult> parseCommit(const Json &Reply, std::size_t Count,
                                        std::string &Reason) {
  const auto Versions = Reply.find("versions");
  if (!Reply.contains("committed") || Versions == Reply.end() ||
      !Versions->is_array() || Versions->size() != Count) {
    Reason = "the reply to the commit lacks committed or versions";
    return std::nullopt;
  }
  CommitResult Result;
  Result.Committed = readBool(Reply, "committed");
  for (const Json &Version : *Versions)
    Result.Versions.push_back(Version.is_number_unsigned()
                                  ? std::optional(Version.get<std::uint64_t>())
                                  : std::nullopt);
  return Result;
}

std::optional<std::vector<TableRow>> parseRows(const Json &Reply,
                                               std::string &Reason) {
  const auto Rows = Reply.find("rows");
  if (Rows == Reply.end() || !Rows->is_array()) {
    Reason = "the reply lacks rows";
    return std::nullopt;
  }
  std::vector<TableRow> Result;
  for (const Json &Row : *Rows)
    Result.push_back({readString(Row, "key"), readString(Row, "value"),
                      static_cast<std::uint64_t>(readInteger(Row, "version"))});
  return Result;
}

/// Orders rows as the keys were given and adds absent ones with version 0.
std::vector<TableRow> arrangeRows(std::vector<TableRow> Rows,
                                  const std::vector<std::string> &Keys) {
  std::map<std::string, TableRow> ByKey;
  for (TableRow &Row : Rows)
    ByKey[Row.Key] = std::move(Row);
  std::vector<TableRow> Result;
  for (const std::string &Key : Keys) {
    const auto Found = ByKey.find(Key);
    Result.push_back(Found == ByKey.end() ? TableRow{Key, {}, 0}
                                          : Found->second);
  }
  return Result;
}

class HttpPlatformClient : public PlatformClient {
public:
  explicit HttpPlatformClient(PlatformClientOptions Options)
      : Pool_(std::move(Options)) {}

  std::optional<CommitResult> commit(const std::vector<TableWrite> &Writes,
                                     CommitMode Mode,
                                     std::string &Reason) override {
    Json Body = {{"mode", Mode == CommitMode::All ? "all" : "each"},
                 {"writes", Json::array()}};
    for (const TableWrite &Write : Writes)
      Body["writes"].push_back(writeToJson(Write));
    const auto Reply = post("/table/commit", Body, false, Reason);
    return Reply ? parseCommit(*Reply, Writes.size(), Reason) : std::nullopt;
  }

  std::optional<std::vector<TableRow>>
  read(const std::vector<std::string> &Keys, std::string &Reason) override {
    const auto Reply = post("/table/read", {{"keys", Keys}}, true, Reason);
    auto Rows = Reply ? parseRows(*Reply, Reason) : std::nullopt;
    if (!Rows)
      return std::nullopt;
    return arrangeRows(std::move(*Rows), Keys);
  }

  std::optional<std::vector<TableRow>> scan(const std::string &Prefix,
                                            std::string &Reason) override {
    const auto Reply = post("/table/read", {{"prefix", Prefix}}, true, Reason);
    return Reply ? parseRows(*Reply, Reason) : std::nullopt;
  }

  bool put(const std::string &Name, const std::string &Bytes,
           std::string &Reason) override {
    return call({"PUT", "/objects/" + encodePath(Name), Bytes}, Reason)
        .has_value();
  }

  std::optional<std::string> get(const std::string &Name,
                                 std::string &Reason) override {
    return call({"GET", "/objects/" + encodePath(Name), {}}, Reason);
  }

  std::optional<std::vector<HostEntry>> list(std::string &Reason) override {
    const auto Text = call({"GET", "/hosts", {}}, Reason);
    const auto Reply = Text ? parseJsonObject(*Text, Reason) : std::nullopt;
    if (!Reply)
      return std::nullopt;
    const auto Hosts = Reply->find("hosts");
    if (Hosts == Reply->end() || !Hosts->is_array()) {
      Reason = "the reply lacks hosts";
      return std::nullopt;
    }
    std::vector<HostEntry> Result;
    for (const Json &Host : *Hosts)
      Result.push_back({readString(Host, "name"), readString(Host, "address"),
                        readString(Host, "zone"),
                        readString(Host, "state") == "leaving"
                            ? HostState::Leaving
                            : HostState::Live});
    return Result;
  }

private:
  /// Returns the body of a 2xx reply.
  std::optional<std::string> call(const HttpCall &Call, std::string &Reason) {
    auto Result = Pool_.call(Call, Reason);
    if (!Result)
      return std::nullopt;
    if (Result->Status < 200 || Result->Status > 299) {
      Reason = Call.Method + " " + Call.Path + ": status " +
               std::to_string(Result->Status);
      return std::nullopt;
    }
    return std::move(Result->Body);
  }

  std::optional<Json> post(const std::string &Path, const Json &Body,
                           bool Repeatable, std::string &Reason) {
    std::string Text;
    try {
      Text = Body.dump();
    } catch (const Json::exception &Failure) {
      Reason = std::string("keys and values must be UTF-8: ") + Failure.what();
      return std::nullopt;
    }
    const auto Reply = call({"POST", Path, Text, Repeatable}, Reason);
    return Reply ? parseJsonObject(*Reply, Reason) : std::nullopt;
  }

  HttpPool Pool_;
};

} // namespace

std::unique_ptr<PlatformClient>
makePlatformClient(PlatformClientOptions Options) {
  return std::make_unique<HttpPlatformClient>(std::move(Options));
}

} // namespace cassiashed
