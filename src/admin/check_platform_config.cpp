#include "admin/check_platform_config.h"

#include "admin/file.h"
#include "cassiashed/admin/exit_code.h"
#include "cassiashed/catalog/config_diff.h"
#include "cassiashed/text/json.h"
#include "platform/config_reader.h"
#include <algorithm>

namespace cassiashed::admin {
namespace {

using catalog::Severity;
using platform::FieldProblem;

struct Report {
  std::string File;
  std::optional<std::uint64_t> Version; ///< none: the file cannot be decoded
  std::optional<std::uint64_t> VersionInForce;
  std::vector<FieldProblem> Findings;
  std::vector<catalog::Change> Changes;

  std::size_t count(Severity Level) const {
    return static_cast<std::size_t>(std::count_if(
        Findings.begin(), Findings.end(), [&](const FieldProblem &Each) {
          return severityOf(Each.Kind) == Level;
        }));
  }
  ExitCode exitCode() const {
    if (count(Severity::Error) > 0)
      return ExitFailed;
    return count(Severity::Warning) > 0 ? ExitWarnings : ExitSuccess;
  }
};

void printFindings(const std::string &File,
                   const std::vector<FieldProblem> &Findings,
                   std::ostream &Errors) {
  for (const FieldProblem &Each : Findings) {
    Errors << File << ": " << nameOf(severityOf(Each.Kind)) << ": ";
    if (!Each.Place.empty())
      Errors << Each.Place << ": ";
    Errors << Each.Text << " [" << nameOf(Each.Kind) << "]\n";
  }
}

void printText(const Report &Result, std::ostream &Out, std::ostream &Errors) {
  printFindings(Result.File, Result.Findings, Errors);
  for (const catalog::Change &Each : Result.Changes) {
    Out << nameOf(Each.Kind) << " " << Each.Entry << "\n";
    for (const std::string &Detail : Each.Details)
      Out << "  " << Detail << "\n";
  }
  Out << Result.File << ": ";
  if (Result.Version)
    Out << "version " << *Result.Version << ", ";
  Out << Result.count(Severity::Error) << " errors, "
      << Result.count(Severity::Warning) << " warnings";
  if (Result.Version && Result.VersionInForce)
    Out << ", " << Result.Changes.size() << " entries differ from version "
        << *Result.VersionInForce;
  Out << "\n";
}

void printJson(const Report &Result, std::ostream &Out) {
  Json Findings = Json::array();
  for (const FieldProblem &Each : Result.Findings)
    Findings.push_back({{"severity", nameOf(severityOf(Each.Kind))},
                        {"kind", nameOf(Each.Kind)},
                        {"place", Each.Place},
                        {"text", Each.Text}});
  Json Changes = Json::array();
  for (const catalog::Change &Each : Result.Changes)
    Changes.push_back({{"change", nameOf(Each.Kind)},
                       {"entry", Each.Entry},
                       {"details", Each.Details}});
  Json Document = {{"file", Result.File},
                   {"errors", Result.count(Severity::Error)},
                   {"warnings", Result.count(Severity::Warning)},
                   {"findings", std::move(Findings)},
                   {"changes", std::move(Changes)}};
  if (Result.Version)
    Document["version"] = *Result.Version;
  if (Result.VersionInForce)
    Document["version_in_force"] = *Result.VersionInForce;
  // File names and fields need not be valid UTF-8.
  Out << Document.dump(2, ' ', false, Json::error_handler_t::replace) << "\n";
}

std::optional<catalog::ConfigDraft> readInForce(const std::string &File,
                                                std::ostream &Errors) {
  const auto Text = readTextFile(File, Errors);
  if (!Text)
    return std::nullopt;
  std::vector<FieldProblem> Problems;
  auto Result = platform::readConfigDraft(*Text, Problems);
  if (!Result)
    printFindings(File, Problems, Errors);
  return Result;
}

} // namespace

bool isPlatformConfig(std::string_view Text) {
  const std::size_t First = Text.find_first_not_of(" \t\r\n");
  return First != std::string_view::npos && Text[First] == '{';
}

int checkPlatformConfig(const CheckOptions &Options, std::string_view Text,
                        std::ostream &Out, std::ostream &Errors) {
  std::optional<catalog::ConfigDraft> InForce;
  if (Options.InForceFile) {
    InForce = readInForce(*Options.InForceFile, Errors);
    if (!InForce)
      return ExitFailed;
  }
  Report Result;
  Result.File = Options.File;
  catalog::CheckContext Context;
  if (InForce)
    Result.VersionInForce = Context.VersionInForce = InForce->Config.Version;
  if (Options.HostMemoryMb)
    Context.HostMemoryBytes = *Options.HostMemoryMb << 20U;
  if (const auto Draft = platform::readConfigDraft(Text, Result.Findings)) {
    Result.Version = Draft->Config.Version;
    for (catalog::Finding &Each : catalog::checkConfig(*Draft, Context))
      Result.Findings.push_back(
          {Each.Kind, platform::formatPlace(Each.Where), std::move(Each.Text)});
    if (InForce)
      Result.Changes = catalog::compareConfigs(*InForce, *Draft);
  }
  if (Options.AsJson)
    printJson(Result, Out);
  else
    printText(Result, Out, Errors);
  return Result.exitCode();
}

} // namespace cassiashed::admin
