#include "membership/rows.h"

#include "cassiashed/text/json.h"
#include <algorithm>

namespace cassiashed {
namespace {

std::uint64_t readUnsigned(const Json &Object, const char *Name) {
  return static_cast<std::uint64_t>(readInteger(Object, Name));
}

} // namespace

bool OwnerRow::isTaken(Half Part) const {
  return std::any_of(
      Earlier.begin(), Earlier.end(),
      [Part](const EarlierHolder &Holder) { return Holder.Part == Part; });
}

std::string formatRow(const LeaseRow &Row) {
  Json Object = {{"incarnation", Row.Incarnation},
                 {"address", Row.Address},
                 {"zone", Row.Zone},
                 {"renewal", Row.Renewal}};
  if (!Row.LapsedBy.empty())
    Object["lapsed_by"] = Row.LapsedBy;
  if (Row.HasLeft)
    Object["left"] = true;
  return Object.dump();
}

std::string formatRow(const OwnerRow &Row) {
  Json Object = {{"owner", Row.Owner},
                 {"incarnation", Row.OwnerIncarnation},
                 {"epoch", Row.Epoch},
                 {"standby", Row.Standby},
                 {"standby_incarnation", Row.StandbyIncarnation},
                 {"earlier", Json::array()}};
  for (const EarlierHolder &Holder : Row.Earlier)
    Object["earlier"].push_back(
        {{"node", Holder.Node},
         {"incarnation", Holder.Incarnation},
         {"half", Holder.Part == Half::Lower ? "lower" : "upper"}});
  return Object.dump();
}

std::optional<LeaseRow> parseLeaseRow(const std::string &Text) {
  std::string Reason;
  const auto Object = parseJsonObject(Text, Reason);
  if (!Object)
    return std::nullopt;
  LeaseRow Row;
  Row.Incarnation = readUnsigned(*Object, "incarnation");
  Row.Address = readString(*Object, "address");
  Row.Zone = readString(*Object, "zone");
  Row.Renewal = readUnsigned(*Object, "renewal");
  Row.LapsedBy = readString(*Object, "lapsed_by");
  Row.HasLeft = readBool(*Object, "left");
  return Row;
}

std::optional<OwnerRow> parseOwnerRow(const std::string &Text) {
  std::string Reason;
  const auto Object = parseJsonObject(Text, Reason);
  if (!Object)
    return std::nullopt;
  OwnerRow Row;
  Row.Owner = readString(*Object, "owner");
  Row.OwnerIncarnation = readUnsigned(*Object, "incarnation");
  Row.Epoch = readUnsigned(*Object, "epoch");
  Row.Standby = readString(*Object, "standby");
  Row.StandbyIncarnation = readUnsigned(*Object, "standby_incarnation");
  const auto Earlier = Object->find("earlier");
  if (Earlier == Object->end() || !Earlier->is_array() || Row.Owner.empty())
    return std::nullopt;
  for (const Json &Entry : *Earlier)
    Row.Earlier.push_back(
        {readString(Entry, "node"), readUnsigned(Entry, "incarnation"),
         readString(Entry, "half") == "upper" ? Half::Upper : Half::Lower});
  return Row;
}

} // namespace cassiashed
