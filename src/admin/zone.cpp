#include "cassiashed/admin/zone.h"

#include "admin/file.h"
#include "admin/operator_report.h"
#include "admin/publish_report.h"
#include "cassiashed/admin/exit_code.h"
#include "cassiashed/text/json.h"
#include <fmt/format.h>

namespace cassiashed::admin {
namespace {

// Every conflict means that another operator's change came first; at 520
// changes a day two in a row are already unlikely.
constexpr int MaxConflicts = 5;

class ZoneChange {
public:
  ZoneChange(const ZoneOrder &Order, TableService &Table, ObjectStore &Objects,
             std::ostream &Out, std::ostream &Errors)
      : Order_(Order), Table_(Table), Objects_(Objects), Out_(Out),
        Errors_(Errors) {}

  /// `PlatformFailed` tells whether the order failed because the platform did
  /// not answer, so that a node may be asked instead.
  int run(bool &PlatformFailed) {
    int Code = ExitConflict;
    for (int Round = 0; Code == ExitConflict && Round < MaxConflicts; ++Round)
      Code = tryOnce(PlatformFailed);
    return Code;
  }

private:
  int tryOnce(bool &PlatformFailed) {
    std::string Reason;
    const auto Head = readConfigHead(Table_, Reason);
    if (Head && Head->Version == 0) {
      Errors_ << "there is no configuration yet\n";
      return ExitFailed;
    }
    const auto Text =
        Head ? readConfigText(Objects_, *Head, Reason) : std::nullopt;
    if (!Text) {
      PlatformFailed = true;
      Errors_ << "the platform failed: " << Reason << "\n";
      return ExitFailed;
    }
    Problems Found;
    auto Config = parseDeployment(*Text, Head->Object, Found);
    if (!Config) {
      printProblems(std::move(Found), Errors_);
      return ExitFailed;
    }
    return publish(*Head, *Config, PlatformFailed);
  }

  int publish(const ConfigHead &Head, Deployment &Config,
              bool &PlatformFailed) {
    ZoneConfig *Zone = findZone(Config, Order_.Zone);
    if (!Zone) {
      Errors_ << fmt::format("there is no zone {} in version {}\n", Order_.Zone,
                             Head.Version);
      return ExitFailed;
    }
    if (Zone->State == Order_.State) {
      Out_ << fmt::format("zone {} is already {} in version {}\n", Order_.Zone,
                          nameOf(Order_.State), Head.Version);
      return ExitSuccess;
    }
    Zone->State = Order_.State;
    Config.Replaces = Head.Version;
    Config.Note = fmt::format("zone {} {}", nameOf(Order_.State), Order_.Zone);
    const PublishRequest Request{formatDeployment(Config),
                                 Head.Version,
                                 makeApplyId(),
                                 Order_.Author,
                                 Config.Note,
                                 formatUtcNow()};
    const PublishResult Result =
        publishConfig(Table_, Objects_, Request, Order_.Publish);
    PlatformFailed = Result.Outcome == PublishOutcome::Failed ||
                     Result.Outcome == PublishOutcome::Unknown;
    return reportPublication(Request, Result, Out_, Errors_);
  }

  const ZoneOrder &Order_;
  TableService &Table_;
  ObjectStore &Objects_;
  std::ostream &Out_;
  std::ostream &Errors_;
};

int sendToNode(const ZoneOrder &Order, const OperatorClientOptions &Node,
               std::ostream &Out, std::ostream &Errors) {
  const Json Body = {{"zone", Order.Zone},
                     {"state", nameOf(Order.State)},
                     {"author", Order.Author}};
  const OperatorRequest Request{
      "POST", "/zone", "",
      Body.dump(-1, ' ', false, Json::error_handler_t::replace)};
  const int Code = reportOperatorCall(callOperator(Node, Request), Errors);
  if (Code == ExitSuccess)
    Out << fmt::format("zone {} {}: acknowledged by the node at {}:{}\n",
                       nameOf(Order.State), Order.Zone, Node.Host, Node.Port);
  return Code;
}

} // namespace

int setZoneState(const ZoneOrder &Order, TableService &Table,
                 ObjectStore &Objects,
                 const std::optional<OperatorClientOptions> &Node,
                 std::ostream &Out, std::ostream &Errors) {
  bool PlatformFailed = false;
  const int Code =
      ZoneChange(Order, Table, Objects, Out, Errors).run(PlatformFailed);
  if (!PlatformFailed || !Node)
    return Code;
  const int NodeCode = sendToNode(Order, *Node, Out, Errors);
  // A node's refusal does not settle a publication that may still take effect.
  return NodeCode == ExitFailed && Code == ExitUnknown ? Code : NodeCode;
}

} // namespace cassiashed::admin
