#include "gateway/duty_rows.h"

#include "cassiashed/text/json.h"

namespace cassiashed::gateway {
namespace {

const catalog::Row *findRow(const StoreRows &Table, std::string_view Key) {
  for (const catalog::Row &Entry : Table.Rows)
    if (Entry.Key == Key && !Entry.Removed)
      return &Entry;
  return nullptr;
}

std::uint64_t readUnsigned(const Json &Object, const char *Name) {
  const auto Found = Object.find(Name);
  return Found != Object.end() && Found->is_number_unsigned()
             ? Found->get<std::uint64_t>()
             : 0;
}

} // namespace

std::string encodeLease(const duties::LeaseRow &Row) {
  return Json({{"holder", Row.Holder},
               {"address", Row.Address},
               {"incarnation", Row.Incarnation},
               {"fence", Row.Fence},
               {"era", Row.Era}})
      .dump();
}

duties::StoredLease readLease(const StoreRows &Table, std::string &Reason) {
  duties::StoredLease Result;
  Result.Era = Table.Era;
  const catalog::Row *Entry = findRow(Table, LeaseKey);
  if (!Entry)
    return Result;
  Result.Version = Entry->Version;
  duties::LeaseRow &Row = Result.Row.emplace();
  const std::optional<Json> Value = parseJsonObject(Entry->Value, Reason);
  if (!Value)
    return Result;
  Row.Holder = readString(*Value, "holder");
  Row.Address = readString(*Value, "address");
  Row.Incarnation = readUnsigned(*Value, "incarnation");
  Row.Fence = readUnsigned(*Value, "fence");
  Row.Era = readUnsigned(*Value, "era");
  if (Row.Holder.empty())
    Reason = "holder is missing";
  return Result;
}

std::string encodeUsage(const UsageRecord &Record) {
  Json Reports = Json::array();
  for (const duties::UsageReport &Report : Record.Reports)
    Reports.push_back({{"window", Report.Window}, {"counts", Report.Counts}});
  return Json({{"era", Record.Era}, {"reports", std::move(Reports)}}).dump();
}

std::optional<UsageRecord> readUsage(const StoreRows &Table,
                                     std::string &Reason) {
  const catalog::Row *Entry = findRow(Table, UsageKey);
  if (!Entry)
    return std::nullopt;
  const std::optional<Json> Value = parseJsonObject(Entry->Value, Reason);
  if (!Value)
    return std::nullopt;
  try {
    UsageRecord Result;
    Result.Era = Value->at("era").get<std::uint64_t>();
    for (const Json &Report : Value->at("reports"))
      Result.Reports.push_back(
          {Report.at("window").get<std::int64_t>(),
           Report.at("counts").get<duties::UsageCounts>()});
    return Result;
  } catch (const Json::exception &Failure) {
    Reason = Failure.what();
    return std::nullopt;
  }
}

} // namespace cassiashed::gateway
