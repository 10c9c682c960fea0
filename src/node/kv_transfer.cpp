#include "node/kv_transfer.h"

#include "cassiashed/text/json.h"
#include "http/client.h"

namespace cassiashed {
namespace {

using http::Task;

constexpr Duration CallTimeout = std::chrono::seconds(5);

Task<std::optional<Json>> post(http::Address Engine, std::string Path,
                               Json Body) {
  http::Request Call;
  Call.Method = "POST";
  Call.Target = std::move(Path);
  Call.Fields.emplace_back("Content-Type", "application/json");
  Call.Body = Body.dump();
  const std::optional<http::Response> Reply =
      co_await http::fetch(std::move(Engine), std::move(Call), CallTimeout);
  if (!Reply || Reply->Status >= 300)
    co_return std::nullopt;
  std::string Reason;
  std::optional<Json> Parsed = parseJsonObject(Reply->Body, Reason);
  co_return Parsed ? std::move(Parsed) : Json::object();
}

} // namespace

Task<std::optional<KvExport>>
exportKv(http::Address Engine, std::string RequestId, Duration TimeToLive) {
  Json Body = {{"request_id", RequestId},
               {"owner", RequestId},
               {"ttl_ms", TimeToLive.count()}};
  http::Address Peer = Engine;
  const std::optional<Json> Reply =
      co_await post(std::move(Peer), "/v1/kv/export", std::move(Body));
  if (!Reply)
    co_return std::nullopt;
  KvExport Result;
  Result.Engine = std::move(Engine);
  Result.Handle = readString(*Reply, "handle");
  co_return Result;
}

Task<bool> importKv(http::Address Engine, KvExport Source,
                    std::string RequestId) {
  const std::string From =
      Source.Engine.Host + ":" + std::to_string(Source.Engine.Port);
  Json Body = {
      {"handle", Source.Handle}, {"from", From}, {"request_id", RequestId}};
  const std::optional<Json> Reply =
      co_await post(std::move(Engine), "/v1/kv/import", std::move(Body));
  co_return Reply.has_value();
}

Task<void> releaseKv(KvExport Source) {
  Json Body = {{"handle", Source.Handle}};
  // An export that cannot be released ends with its time to live.
  co_await post(std::move(Source.Engine), "/v1/kv/release", std::move(Body));
}

} // namespace cassiashed
