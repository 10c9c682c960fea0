#include "cassiashed/admin/status.h"

#include "admin/operator_report.h"
#include "cassiashed/admin/exit_code.h"
#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <vector>

namespace cassiashed::admin {
namespace {

struct Column {
  const char *Field;
  const char *Title;
};

constexpr std::array VersionColumns = {Column{"version", "VERSION"},
                                       Column{"nodes", "NODES"}};
constexpr std::array ZoneColumns = {
    Column{"name", "ZONE"}, Column{"region", "REGION"},
    Column{"state", "STATE"}, Column{"pending", "PENDING"}};
constexpr std::array NodeColumns = {
    Column{"name", "NODE"}, Column{"zone", "ZONE"},
    Column{"address", "ADDRESS"}, Column{"state", "STATE"},
    Column{"version", "VERSION"}};
constexpr std::array EndpointColumns = {
    Column{"name", "ENDPOINT"},    Column{"zone", "ZONE"},
    Column{"kind", "KIND"},        Column{"owner", "OWNER"},
    Column{"share", "SHARE"},      Column{"state", "STATE"},
    Column{"held_tokens", "HELD"}, Column{"capacity_tokens", "CAPACITY"},
    Column{"running", "RUNNING"},  Column{"waiting", "WAITING"}};

std::string formatCell(const Json &Object, const char *Field) {
  if (!Object.is_object() || !Object.contains(Field) || Object[Field].is_null())
    return "-";
  const Json &Value = Object[Field];
  if (Value.is_boolean())
    return Value.get<bool>() ? "yes" : "no";
  std::string Text =
      Value.is_string() ? Value.get<std::string>() : Value.dump();
  return Text.empty() ? "-" : Text;
}

template <std::size_t Count>
void addTable(std::string &Text, const Json &Status, const char *Field,
              const std::array<Column, Count> &Columns) {
  const auto Rows = Status.find(Field);
  if (Rows == Status.end() || !Rows->is_array() || Rows->empty())
    return;
  std::vector<std::array<std::string, Count>> Cells(1);
  for (std::size_t I = 0; I < Count; ++I)
    Cells[0][I] = Columns[I].Title;
  for (const Json &Row : *Rows) {
    auto &Line = Cells.emplace_back();
    for (std::size_t I = 0; I < Count; ++I)
      Line[I] = formatCell(Row, Columns[I].Field);
  }
  std::array<std::size_t, Count> Widths{};
  for (const auto &Line : Cells)
    for (std::size_t I = 0; I < Count; ++I)
      Widths[I] = std::max(Widths[I], Line[I].size());
  Text += "\n";
  for (const auto &Line : Cells) {
    for (std::size_t I = 0; I + 1 < Count; ++I)
      Text += fmt::format("{:<{}}  ", Line[I], Widths[I]);
    Text += Line[Count - 1] + "\n";
  }
}

} // namespace

std::string formatStatus(const Json &Status) {
  std::string Text = fmt::format(
      "node {}  version {}  current {}  draining {}\n",
      formatCell(Status, "node"), formatCell(Status, "version"),
      formatCell(Status, "current"), formatCell(Status, "draining"));
  addTable(Text, Status, "versions", VersionColumns);
  addTable(Text, Status, "zones", ZoneColumns);
  addTable(Text, Status, "nodes", NodeColumns);
  addTable(Text, Status, "endpoints", EndpointColumns);
  return Text;
}

int showStatus(const OperatorClientOptions &Node, bool AsJson,
               std::ostream &Out, std::ostream &Errors) {
  const OperatorResult Result = callOperator(Node, {"GET", "/status", "", ""});
  // A query changes nothing, so every failure is a plain one.
  if (reportOperatorCall(Result, Errors) != ExitSuccess)
    return ExitFailed;
  std::string Reason;
  const auto Status = parseJsonObject(Result.Reply.Body, Reason);
  if (!Status) {
    Errors << "the node's reply: " << Reason << "\n";
    return ExitFailed;
  }
  Out << (AsJson ? Status->dump(2) + "\n" : formatStatus(*Status));
  return ExitSuccess;
}

} // namespace cassiashed::admin
