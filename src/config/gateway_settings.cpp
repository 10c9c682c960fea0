#include "cassiashed/config/gateway_settings.h"

#include "config/file_text.h"
#include "config/key_rules.h"
#include "config/values.h"
#include <set>

namespace cassiashed {
namespace {

constexpr std::string_view NumberForm = "a number from 0 to 1000000";
constexpr std::string_view PositiveForm = "a number above 0, up to 1000000";
constexpr std::string_view MillisecondsForm = "milliseconds from 1 to 86400000";
constexpr std::string_view CountForm = "a whole number from 1 to 1000000";

std::optional<double> parseNonNegative(std::string_view Text) {
  double Value = 0;
  const char *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Value);
  if (Result.ec != std::errc() || Result.ptr != End || !(Value >= 0) ||
      Value > 1e6)
    return std::nullopt;
  return Value;
}

std::optional<double> parsePositive(std::string_view Text) {
  const std::optional<double> Value = parseNonNegative(Text);
  return Value && *Value > 0 ? Value : std::nullopt;
}

std::optional<Duration> parseSeconds(std::string_view Text) {
  const auto Value = parseNonNegative(Text);
  if (!Value)
    return std::nullopt;
  return Duration(static_cast<Duration::rep>(*Value * 1000));
}

std::optional<std::optional<HostPort>>
parseOptionalAddress(std::string_view Text) {
  const auto Parsed = parseHostPort(Text);
  if (!Parsed)
    return std::nullopt;
  return std::optional<std::optional<HostPort>>(Parsed);
}

std::optional<std::vector<HostPort>> parseAddresses(std::string_view Text) {
  std::vector<HostPort> Result;
  for (const std::string &Word : splitWords(Text)) {
    const auto Parsed = parseHostPort(Word);
    if (!Parsed)
      return std::nullopt;
    Result.push_back(*Parsed);
  }
  return Result;
}

/// `zone:region` pairs.
std::optional<std::map<std::string, std::string>>
parseZoneRegions(std::string_view Text) {
  std::map<std::string, std::string> Result;
  for (const std::string &Word : splitWords(Text)) {
    const std::size_t Colon = Word.find(':');
    if (Colon == std::string::npos)
      return std::nullopt;
    Result[Word.substr(0, Colon)] = Word.substr(Colon + 1);
  }
  return Result;
}

constexpr std::array IdentityRules = {
    makeRule<&GatewayIdentity::Name, parseName>("name", NameForm, true),
    makeRule<&GatewayIdentity::Zone, parseName>("zone", NameForm, true),
    makeRule<&GatewayIdentity::Region, parseName>("region", NameForm, true),
    makeRule<&GatewayIdentity::Listen, parseHostPort>("listen", HostPortForm,
                                                      true),
    makeRule<&GatewayIdentity::Readiness, parseHostPort>("readiness",
                                                         HostPortForm, true),
    makeRule<&GatewayIdentity::Internal, parseHostPort>("internal",
                                                        HostPortForm, true),
    makeRule<&GatewayIdentity::Metrics, parseOptionalAddress>("metrics",
                                                              HostPortForm),
};

constexpr std::array StoreRules = {
    makeRule<&GatewaySettings::Store, parseHostPort>("address", HostPortForm,
                                                     true),
};

constexpr std::array ClusterRules = {
    makeRule<&GatewayCluster::Seeds, parseAddresses>(
        "seeds", "addresses ip:port, separated by commas"),
    makeRule<&GatewayCluster::RegionOfZone, parseZoneRegions>(
        "zone_regions", "zone:region pairs, separated by commas"),
};

constexpr std::array LimitRules = {
    makeRule<&GatewayLimits::CpuShare, parseNonNegative>("cpu_share",
                                                         NumberForm),
    makeRule<&GatewayLimits::MemoryMb, parseNumber<int, 1, 1'000'000>>(
        "memory_mb", CountForm),
    makeRule<&GatewayLimits::FileDescriptors, parseNumber<int, 1, 1'000'000>>(
        "file_descriptors", CountForm),
    makeRule<&GatewayLimits::LinkMbps, parsePositive>("link_mbps",
                                                      PositiveForm),
};

constexpr std::array BoundRules = {
    makeRule<&GatewayBounds::Drain, parseMilliseconds>("drain_ms",
                                                       MillisecondsForm),
    makeRule<&GatewayBounds::ConfigApply, parseMilliseconds>("config_apply_ms",
                                                             MillisecondsForm),
    makeRule<&GatewayBounds::Grace, parseSeconds>("grace_s", NumberForm),
    makeRule<&GatewayBounds::RetryWindow, parseSeconds>("retry_window_s",
                                                        NumberForm),
    makeRule<&GatewayBounds::RetryRatio, parseNonNegative>("retry_ratio",
                                                           NumberForm),
    makeRule<&GatewayBounds::RetrySlack, parseNonNegative>("retry_slack",
                                                           NumberForm),
    makeRule<&GatewayBounds::ColdOverage, parseNonNegative>("cold_overage",
                                                            NumberForm),
    makeRule<&GatewayBounds::ColdSlack, parseNonNegative>("cold_slack",
                                                          NumberForm),
    makeRule<&GatewayBounds::ReservationMax, parseMilliseconds>(
        "reservation_max_ms", MillisecondsForm),
    makeRule<&GatewayBounds::ReservationFree, parseMilliseconds>(
        "reservation_free_ms", MillisecondsForm),
    makeRule<&GatewayBounds::RevokeFailClosed, parseYesNo>("revoke_fail_closed",
                                                           "yes or no"),
    makeRule<&GatewayBounds::Revoke, parseMilliseconds>("revoke_ms",
                                                        MillisecondsForm),
};

/// Duties of other names are left to later versions.
std::optional<GatewayDutySet> parseDuties(std::string_view Text) {
  GatewayDutySet Result;
  for (const std::string &Word : splitWords(Text)) {
    Result.UsageReporting |= Word == "usage_reporting";
    Result.Scaling |= Word == "scaling";
  }
  return Result;
}

/// A window of no length would have no number.
std::optional<Duration> parseWindow(std::string_view Text) {
  const auto Value = parseSeconds(Text);
  return Value && *Value > Duration(0) ? Value : std::nullopt;
}

constexpr std::array DutyRules = {
    makeRule<&GatewayDuties::Api, parseHostPort>("address", HostPortForm, true),
    makeRule<&GatewayDuties::Carried, parseDuties>("duties", "duty names",
                                                   true),
    makeRule<&GatewayDuties::CallsPerSecond, parsePositive>("calls_per_second",
                                                            PositiveForm),
    makeRule<&GatewayDuties::Lease, parseMilliseconds>("lease_ms",
                                                       MillisecondsForm),
    makeRule<&GatewayDuties::UsageWindow, parseWindow>("usage_window_s",
                                                       PositiveForm),
    makeRule<&GatewayDuties::UsageLate, parseSeconds>("usage_late_s",
                                                      NumberForm),
};

struct GatewaySection {
  std::string_view Name;
  bool Required;
  void (*Read)(const IniSection &, GatewaySettings &, ProblemReporter &);
};

constexpr std::array Sections = {
    GatewaySection{"gateway", true,
                   [](const IniSection &From, GatewaySettings &To,
                      ProblemReporter &Report) {
                     readKeys(From, IdentityRules, To.Gateway, Report);
                   }},
    GatewaySection{"store", true,
                   [](const IniSection &From, GatewaySettings &To,
                      ProblemReporter &Report) {
                     readKeys(From, StoreRules, To, Report);
                   }},
    GatewaySection{"cluster", false,
                   [](const IniSection &From, GatewaySettings &To,
                      ProblemReporter &Report) {
                     readKeys(From, ClusterRules, To.Cluster, Report);
                   }},
    GatewaySection{"limits", false,
                   [](const IniSection &From, GatewaySettings &To,
                      ProblemReporter &Report) {
                     readKeys(From, LimitRules, To.Limits, Report);
                   }},
    GatewaySection{"bounds", false,
                   [](const IniSection &From, GatewaySettings &To,
                      ProblemReporter &Report) {
                     readKeys(From, BoundRules, To.Bounds, Report);
                   }},
    GatewaySection{"duties", false,
                   [](const IniSection &From, GatewaySettings &To,
                      ProblemReporter &Report) {
                     readKeys(From, DutyRules, To.Duties.emplace(), Report);
                   }},
};

void readSection(const IniSection &Section, std::set<std::string_view> &Seen,
                 GatewaySettings &To, ProblemReporter &Report) {
  for (const GatewaySection &Known : Sections)
    if (Known.Name == Section.Name) {
      if (!Seen.insert(Known.Name).second)
        Report.add(Section.Line, Section.Name, "duplicate section");
      else
        Known.Read(Section, To, Report);
      return;
    }
  Report.add(Section.Line, Section.Name, "unknown section");
}

} // namespace

std::optional<GatewaySettings> parseGatewaySettings(std::string_view Text,
                                                    const std::string &FileName,
                                                    Problems &Errors) {
  ProblemReporter Report(FileName, Errors);
  GatewaySettings Result;
  std::set<std::string_view> Seen;
  readIni(Text, {[&](IniSection &Section) {
                   readSection(Section, Seen, Result, Report);
                 },
                 [&](int Line, std::string Problem) {
                   Report.add(Line, "", std::move(Problem));
                 }});
  for (const GatewaySection &Known : Sections)
    if (Known.Required && Seen.count(Known.Name) == 0)
      Report.add(0, std::string(Known.Name), "required section is missing");
  return Report.count() == 0 ? std::optional(std::move(Result)) : std::nullopt;
}

std::optional<GatewaySettings> loadGatewaySettings(const std::string &Path,
                                                   Problems &Errors) {
  const std::optional<std::string> Text = readFileText(Path);
  if (!Text) {
    Errors.push_back({Path, 0, "", "the file cannot be read", ""});
    return std::nullopt;
  }
  return parseGatewaySettings(*Text, Path, Errors);
}

} // namespace cassiashed
