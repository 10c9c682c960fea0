#include "admin/publish_report.h"

#include "cassiashed/admin/exit_code.h"
#include <ctime>
#include <fmt/format.h>
#include <random>

namespace cassiashed::admin {
namespace {

void printConflict(const PublishRequest &Request, const ConfigHead &Winner,
                   std::ostream &Errors) {
  Errors << fmt::format("conflict: version {} is not in force",
                        Request.Replaces);
  if (Winner.Version == 0) {
    Errors << "; see `cassiashed status`\n";
    return;
  }
  Errors << fmt::format("; version {} is, applied by {} at {} (apply id {})",
                        Winner.Version, Winner.Author, Winner.Time,
                        Winner.ApplyId);
  if (!Winner.Note.empty())
    Errors << ": " << Winner.Note;
  Errors << "\nNothing was changed.\n";
}

} // namespace

std::string makeApplyId() {
  std::random_device Random;
  return fmt::format("{:08x}{:08x}{:08x}{:08x}", Random(), Random(), Random(),
                     Random());
}

std::string formatUtcNow() {
  const std::time_t Now = std::time(nullptr);
  std::tm Parts{};
  gmtime_r(&Now, &Parts);
  char Text[32];
  const std::size_t Size =
      std::strftime(Text, sizeof Text, "%Y-%m-%dT%H:%M:%SZ", &Parts);
  return std::string(Text, Size);
}

int reportPublication(const PublishRequest &Request,
                      const PublishResult &Result, std::ostream &Out,
                      std::ostream &Errors) {
  switch (Result.Outcome) {
  case PublishOutcome::Applied:
    Out << fmt::format("version {} applied (apply id {}, hash {})\n",
                       Result.Head.Version, Result.Head.ApplyId,
                       Result.Head.Hash);
    return ExitSuccess;
  case PublishOutcome::Conflict:
    printConflict(Request, Result.Head, Errors);
    return ExitConflict;
  case PublishOutcome::Failed:
    Errors << "failed, nothing was changed: " << Result.Reason << "\n";
    return ExitFailed;
  case PublishOutcome::Unknown:
    break;
  }
  Errors << fmt::format("outcome unknown: {}\nVersion {} with apply id {} may "
                        "come into force; see `cassiashed status`.\n",
                        Result.Reason, Request.Replaces + 1, Request.ApplyId);
  return ExitUnknown;
}

} // namespace cassiashed::admin
