#include "gateway/peer_rows.h"

#include "cassiashed/base/event_log.h"
#include "http/client.h"
#include <charconv>

namespace cassiashed::gateway {
namespace {

constexpr std::string_view AfterField = "after=";
constexpr std::string_view EraField = "era=";

/// Another node's rows of one table: some hundred of at most 64 KiB, or a large
/// configuration. Nodes that ask at the same time share the link of the node
/// that answers, so a read goes on as long as bytes arrive.
constexpr http::FetchLimits PeerReadLimits = {.HeadTimeout = Duration(1000),
                                              .PauseTimeout = Duration(1000),
                                              .BodyTimeout = Duration(10000),
                                              .MaxBytes = 16 * 1024 * 1024};

std::uint64_t readNumber(std::string_view Query, std::string_view Field) {
  std::uint64_t Value = 0;
  const std::size_t At = Query.find(Field);
  if (At == std::string_view::npos)
    return 0;
  const std::string_view Number = Query.substr(At + Field.size());
  std::from_chars(Number.data(), Number.data() + Number.size(), Value);
  return Value;
}

} // namespace

std::string rowsPath(catalog::Table TableId) {
  return "/rows/" + std::string(catalog::nameOf(TableId));
}

std::string rowsTarget(catalog::Table TableId, catalog::StoreVersion After) {
  std::string Target =
      rowsPath(TableId) + "?after=" + std::to_string(After.Version);
  if (After.Era != 0)
    Target += "&era=" + std::to_string(After.Era);
  return Target;
}

catalog::StoreVersion parseRowsQuery(std::string_view Query) {
  return {readNumber(Query, EraField), readNumber(Query, AfterField)};
}

http::Task<std::optional<RowBatch>> readPeerRows(catalog::Table TableId,
                                                 http::Address Peer,
                                                 catalog::StoreVersion After) {
  http::Request Call;
  Call.Method = "GET";
  Call.Target = rowsTarget(TableId, After);
  const std::string PeerHost = Peer.Host;
  std::optional<http::Response> Reply =
      co_await http::fetch(std::move(Peer), Call, PeerReadLimits);
  std::string Reason = "no answer";
  std::optional<RowBatch> Batch;
  if (Reply && Reply->Status == 200)
    Batch = unpackRows(Reply->Body, Reason);
  if (!Batch)
    logWarning("peer_rows_failed")
        .field("peer", PeerHost)
        .field("table", catalog::nameOf(TableId))
        .field("reason", Reason);
  co_return Batch;
}

} // namespace cassiashed::gateway
