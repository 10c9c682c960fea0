#include "cassiashed/admin/check.h"

#include "admin/check_platform_config.h"
#include "admin/file.h"
#include "cassiashed/admin/exit_code.h"
#include "cassiashed/config/deployment.h"
#include "cassiashed/config/gateway_settings.h"
#include "cassiashed/config/settings.h"
#include "cassiashed/text/ini.h"
#include <algorithm>
#include <array>

namespace cassiashed::admin {
namespace {

constexpr std::array<std::string_view, 6> DeploymentSections = {
    "deployment", "zone", "workspace", "model", "endpoint", "service"};
constexpr std::array<std::string_view, 6> SettingsSections = {
    "node", "cluster", "platform", "limits", "lease", "routing"};

template <std::size_t Count>
bool contains(const std::array<std::string_view, Count> &Names,
              std::string_view Name) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

enum class FileKind { Unclear, Settings, GatewaySettings, Deployment };

/// The kind that more sections belong to, so that one misspelt section does
/// not decide.
FileKind findKind(std::string_view Text) {
  int Balance = 0;
  bool IsGateway = false;
  readIni(Text, {[&](IniSection &Section) {
                   IsGateway = IsGateway || Section.Name == "gateway";
                   const std::string_view Type =
                       std::string_view(Section.Name)
                           .substr(0, Section.Name.find_first_of(" \t"));
                   Balance += contains(DeploymentSections, Type) ? 1 : 0;
                   Balance -= contains(SettingsSections, Type) ? 1 : 0;
                 },
                 [](int, const std::string &) {}});
  if (IsGateway)
    return FileKind::GatewaySettings;
  if (Balance == 0)
    return FileKind::Unclear;
  return Balance > 0 ? FileKind::Deployment : FileKind::Settings;
}

} // namespace

int checkFile(const CheckOptions &Options, std::ostream &Out,
              std::ostream &Errors) {
  const std::string &File = Options.File;
  const auto Text = readTextFile(File, Errors);
  if (!Text)
    return ExitFailed;
  if (isPlatformConfig(*Text))
    return checkPlatformConfig(Options, *Text, Out, Errors);
  if (Options.InForceFile || Options.HostMemoryMb || Options.AsJson) {
    Errors << File
           << ": the options apply to a configuration of the platform (a JSON "
              "object) only\n";
    return ExitUsage;
  }
  const FileKind Kind = findKind(*Text);
  if (Kind == FileKind::Unclear) {
    Errors << File
           << ": neither a settings file ([node], [cluster], ...) nor a "
              "deployment file ([deployment], [zone NAME], ...)\n";
    return ExitFailed;
  }
  Problems Found;
  if (Kind == FileKind::Settings)
    loadSettings(File, Found);
  else if (Kind == FileKind::GatewaySettings)
    parseGatewaySettings(*Text, File, Found);
  else
    parseDeployment(*Text, File, Found);
  if (!Found.empty()) {
    printProblems(std::move(Found), Errors);
    return ExitFailed;
  }
  Out << File << ": valid "
      << (Kind == FileKind::Deployment ? "deployment" : "settings") << "\n";
  return ExitSuccess;
}

} // namespace cassiashed::admin
