#include "cassiashed/admin/explain.h"

#include "cassiashed/admin/exit_code.h"
#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <set>

namespace cassiashed::admin {
namespace {

/// What happened shortly before a request may explain how it was routed.
constexpr long long ContextBeforeMs = 3000;

/// Events that change what every request of a node meets.
constexpr std::array<std::string_view, 10> NodeEvents = {
    "config_in_force", "zone_out",         "zone_in", "store_lost",
    "store_regained",  "stopping",         "started", "node_silent",
    "node_heard",      "settings_reloaded"};
/// Events that tell of one endpoint, by its field `endpoint`.
constexpr std::array<std::string_view, 3> EndpointEvents = {
    "endpoint_updated", "endpoint_removed", "content_crashed_endpoint"};

/// Value of a field; empty if the line has none.
std::string fieldOf(const std::string &Text, std::string_view Name) {
  const std::string Start = " " + std::string(Name) + "=";
  const std::size_t At = (" " + Text).find(Start);
  if (At == std::string::npos)
    return {};
  const std::size_t Begin = At + Start.size() - 1;
  return Text.substr(Begin, Text.find(' ', Begin) - Begin);
}

template <typename Names>
bool isOneOf(const Names &Known, std::string_view Event) {
  return std::find(Known.begin(), Known.end(), Event) != Known.end();
}

} // namespace

std::vector<LoggedLine> readLog(std::istream &Input,
                                const std::string &Source) {
  std::vector<LoggedLine> Result;
  std::string Line;
  while (std::getline(Input, Line)) {
    const std::size_t Time = Line.find("time_ms=");
    const std::size_t Event = Line.find("event=");
    if (Time == std::string::npos || Event == std::string::npos)
      continue;
    LoggedLine Entry;
    const char *Begin = Line.data() + Time + 8;
    std::from_chars(Begin, Line.data() + Line.size(), Entry.TimeMs);
    Entry.Text = Line.substr(Event);
    Entry.Event = fieldOf(Entry.Text, "event");
    // A collector may put the name of the node before each line.
    std::string Before = Line.substr(0, Time);
    while (!Before.empty() && Before.back() == ' ')
      Before.pop_back();
    Before.erase(0, Before.find_last_of(' ') + 1);
    Entry.Source = Before.empty() ? Source : Before;
    Result.push_back(std::move(Entry));
  }
  return Result;
}

int explainRequest(const std::string &Id, std::vector<LoggedLine> Lines,
                   std::ostream &Out, std::ostream &Errors) {
  std::stable_sort(Lines.begin(), Lines.end(),
                   [](const LoggedLine &Left, const LoggedLine &Right) {
                     return Left.TimeMs < Right.TimeMs;
                   });
  long long First = -1;
  long long Last = -1;
  std::set<std::string> Endpoints;
  std::set<std::string> Nodes;
  for (const LoggedLine &Each : Lines)
    if (fieldOf(Each.Text, "id") == Id) {
      First = First < 0 ? Each.TimeMs : First;
      Last = Each.TimeMs;
      Endpoints.insert(fieldOf(Each.Text, "endpoint"));
      Nodes.insert(Each.Source);
    }
  if (First < 0) {
    Errors << "no line of a request " << Id << "\n";
    return ExitFailed;
  }
  for (const LoggedLine &Each : Lines) {
    const bool IsOwn = fieldOf(Each.Text, "id") == Id;
    const bool IsNear =
        Each.TimeMs >= First - ContextBeforeMs && Each.TimeMs <= Last;
    const bool IsContext =
        IsNear && Nodes.count(Each.Source) != 0 &&
        (isOneOf(NodeEvents, Each.Event) ||
         (isOneOf(EndpointEvents, Each.Event) &&
          Endpoints.count(fieldOf(Each.Text, "endpoint")) != 0));
    if (IsOwn || IsContext)
      Out << (IsOwn ? "* " : "  ") << Each.TimeMs - First << " ms "
          << Each.Source << " " << Each.Text << "\n";
  }
  return ExitSuccess;
}

int explainFiles(const std::string &Id, const std::vector<std::string> &Files,
                 std::ostream &Out, std::ostream &Errors) {
  std::vector<LoggedLine> Lines;
  for (const std::string &Path : Files) {
    std::ifstream Input(Path);
    if (!Input) {
      Errors << Path << ": the file cannot be read\n";
      return ExitFailed;
    }
    for (LoggedLine &Each : readLog(Input, Path))
      Lines.push_back(std::move(Each));
  }
  return explainRequest(Id, std::move(Lines), Out, Errors);
}

} // namespace cassiashed::admin
