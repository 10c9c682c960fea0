#include "admin/operator_report.h"

#include "cassiashed/admin/exit_code.h"
#include "cassiashed/text/json.h"

namespace cassiashed::admin {
namespace {

/// The message of `{"error":{"code","message"}}`, or the body as it is.
std::string findMessage(const OperatorReply &Reply) {
  std::string Reason;
  const auto Body = parseJsonObject(Reply.Body, Reason);
  const std::string Message =
      Body ? readString(Body->value("error", Json::object()), "message")
           : std::string();
  return Message.empty() ? Reply.Body : Message;
}

} // namespace

int reportOperatorCall(const OperatorResult &Result, std::ostream &Errors) {
  switch (Result.Delivery) {
  case OperatorDelivery::NotSent:
    Errors << "not sent: " << Result.Reason << "\n";
    return ExitFailed;
  case OperatorDelivery::Unknown:
    Errors << "outcome unknown: " << Result.Reason << "\n";
    return ExitUnknown;
  case OperatorDelivery::Answered:
    break;
  }
  if (Result.Reply.Status >= 200 && Result.Reply.Status <= 299)
    return ExitSuccess;
  // A status of 500 or above may come after the order was passed on.
  const bool MayHaveRun = Result.Reply.Status >= 500;
  Errors << (MayHaveRun ? "outcome unknown" : "refused") << " (status "
         << Result.Reply.Status << "): " << findMessage(Result.Reply) << "\n";
  return MayHaveRun ? ExitUnknown : ExitFailed;
}

} // namespace cassiashed::admin
