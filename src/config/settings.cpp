#include "cassiashed/config/settings.h"

#include "config/file_text.h"
#include "config/key_rules.h"
#include "config/values.h"
#include <algorithm>
#include <map>

namespace cassiashed {
namespace {

constexpr std::array<std::string_view, 4> PolicyNames = {
    "length-aware", "round-robin", "least-outstanding", "first-come-by-tokens"};

constexpr std::size_t LeastKeyBytes = 16;
constexpr std::size_t MaxSeeds = 9; // bounds the contact ages in gossip

std::optional<std::string> parseClusterKey(std::string_view Text) {
  if (Text.size() < LeastKeyBytes)
    return std::nullopt;
  return std::string(Text);
}

std::optional<std::vector<Seed>> parseSeeds(std::string_view Text) {
  std::vector<Seed> Seeds;
  for (const std::string &Word : splitWords(Text)) {
    const std::size_t At = Word.find('@');
    if (At == std::string::npos)
      return std::nullopt;
    const auto Name = parseName(std::string_view(Word).substr(0, At));
    const auto Peer = parseHostPort(std::string_view(Word).substr(At + 1));
    if (!Name || !Peer)
      return std::nullopt;
    Seeds.push_back({*Name, *Peer});
  }
  return Seeds.size() <= MaxSeeds ? std::optional(Seeds) : std::nullopt;
}

constexpr std::string_view BytesForm =
    "a number of bytes, or a number with KiB, MiB or GiB";
constexpr std::string_view MillisecondsForm = "milliseconds from 1 to 86400000";
constexpr std::string_view KeyForm = "at least 16 characters";

constexpr std::array NodeRules = {
    makeRule<&NodeSettings::Name, parseName>("name", NameForm, true),
    makeRule<&NodeSettings::Zone, parseName>("zone", NameForm, true),
    makeRule<&NodeSettings::Region, parseName>("region", NameForm, true),
    makeRule<&NodeSettings::Listen, parseHostPort>("listen", HostPortForm,
                                                   true),
    makeRule<&NodeSettings::Peer, parseHostPort>("peer", HostPortForm, true),
    makeRule<&NodeSettings::Operator, parseHostPort>("operator", HostPortForm,
                                                     true),
    makeRule<&NodeSettings::Metrics, parseHostPort>("metrics", HostPortForm),
    makeRule<&NodeSettings::Workers, parseNumber<std::uint32_t, 1, 256>>(
        "workers", "1 to 256"),
};

constexpr std::array ClusterRules = {
    makeRule<&ClusterSettings::Key, parseClusterKey>("key", KeyForm, false,
                                                     true),
    makeRule<&ClusterSettings::KeyFile, parseText>("key_file", "a path"),
    makeRule<&ClusterSettings::Seeds, parseSeeds>(
        "seeds", "up to 9 of name@ip:port, separated by commas"),
};

constexpr std::array PlatformRules = {
    makeRule<&PlatformSettings::Address, parseHostPort>("address", HostPortForm,
                                                        true),
};

constexpr std::array LimitRules = {
    makeRule<&LimitSettings::HeadBytes, parseBytes>("head_bytes", BytesForm),
    makeRule<&LimitSettings::BodyBytes, parseBytes>("body_bytes", BytesForm),
    makeRule<&LimitSettings::BodyMemoryBytes, parseBytes>("body_memory",
                                                          BytesForm),
    makeRule<&LimitSettings::MaxStreams,
             parseNumber<std::uint32_t, 1, 1'000'000>>("max_streams",
                                                       "1 to 1000000"),
    makeRule<&LimitSettings::SlowReaderStall, parseMilliseconds>(
        "slow_reader_stall_ms", MillisecondsForm),
    makeRule<&LimitSettings::SlowReaderBehind, parseMilliseconds>(
        "slow_reader_behind_ms", MillisecondsForm),
};

constexpr std::array LeaseRules = {
    makeRule<&LeaseSettings::Renewal, parseMilliseconds>("renewal_ms",
                                                         MillisecondsForm),
    makeRule<&LeaseSettings::Validity, parseMilliseconds>("validity_ms",
                                                          MillisecondsForm),
};

constexpr std::array RoutingRules = {
    makeRule<&Settings::Policy, parseEnum<RoutingPolicy, PolicyNames>>(
        "policy",
        "length-aware, round-robin, least-outstanding, first-come-by-tokens"),
};

struct SectionRule {
  std::string_view Name;
  bool Required;
  void (*Read)(const IniSection &, Settings &, ProblemReporter &);
};

constexpr std::array SectionRules = {
    SectionRule{
        "node", true,
        [](const IniSection &From, Settings &To, ProblemReporter &Report) {
          readKeys(From, NodeRules, To.Node, Report);
        }},
    SectionRule{
        "cluster", true,
        [](const IniSection &From, Settings &To, ProblemReporter &Report) {
          readKeys(From, ClusterRules, To.Cluster, Report);
        }},
    SectionRule{
        "platform", true,
        [](const IniSection &From, Settings &To, ProblemReporter &Report) {
          readKeys(From, PlatformRules, To.Platform, Report);
        }},
    SectionRule{
        "limits", false,
        [](const IniSection &From, Settings &To, ProblemReporter &Report) {
          readKeys(From, LimitRules, To.Limits, Report);
        }},
    SectionRule{
        "lease", false,
        [](const IniSection &From, Settings &To, ProblemReporter &Report) {
          readKeys(From, LeaseRules, To.Lease, Report);
        }},
    SectionRule{
        "routing", false,
        [](const IniSection &From, Settings &To, ProblemReporter &Report) {
          readKeys(From, RoutingRules, To, Report);
        }},
};

/// Sections of the file by name. The first of a repeated section is kept.
class SettingsReader {
public:
  SettingsReader(const std::string &FileName, Problems &Errors)
      : Report_(FileName, Errors) {}

  std::optional<Settings> read(std::string_view Text) {
    readIni(Text, {[this](IniSection &Section) { addSection(Section); },
                   [this](int Line, std::string Problem) {
                     Report_.add(Line, "", std::move(Problem));
                   }});
    for (const SectionRule &Rule : SectionRules)
      if (Rule.Required && Sections_.count(Rule.Name) == 0)
        Report_.add(0, std::string(Rule.Name), "required section is missing");
    checkCluster();
    checkAddresses();
    checkLimits();
    return Report_.count() == 0 ? std::optional(std::move(Result_))
                                : std::nullopt;
  }

private:
  void addSection(IniSection &Section) {
    const auto *Rule = std::find_if(
        SectionRules.begin(), SectionRules.end(),
        [&](const SectionRule &Known) { return Known.Name == Section.Name; });
    if (Rule == SectionRules.end()) {
      std::vector<std::string_view> Known;
      std::transform(SectionRules.begin(), SectionRules.end(),
                     std::back_inserter(Known),
                     [](const SectionRule &Entry) { return Entry.Name; });
      Report_.add(Section.Line, Section.Name,
                  "unknown section, did you mean " +
                      std::string(findNearest(Section.Name, Known)) + "?");
    } else if (Sections_.count(Rule->Name) != 0) {
      Report_.add(Section.Line, Section.Name,
                  "duplicate section, first in line " +
                      std::to_string(Sections_[Rule->Name].Line));
    } else {
      Rule->Read(Section, Result_, Report_);
      Sections_[Rule->Name] = std::move(Section);
    }
  }

  int lineOf(std::string_view Section, std::string_view Key) const {
    const auto Found = Sections_.find(Section);
    return Found == Sections_.end() ? 0 : findLine(Found->second, Key);
  }
  bool has(std::string_view Section, std::string_view Key) const {
    const auto Found = Sections_.find(Section);
    return Found != Sections_.end() && findKey(Found->second, Key);
  }

  void checkCluster() {
    if (Sections_.count("cluster") == 0)
      return;
    if (has("cluster", "key") == has("cluster", "key_file"))
      Report_.add(lineOf("cluster", "key"), "cluster.key",
                  "exactly one of key and key_file must be set");
    std::map<std::string, int> Names;
    std::map<std::string, int> Peers;
    for (const Seed &Entry : Result_.Cluster.Seeds)
      if (++Names[Entry.Name] == 2 || ++Peers[formatHostPort(Entry.Peer)] == 2)
        Report_.add(lineOf("cluster", "seeds"), "cluster.seeds",
                    "seed " + Entry.Name + " is named twice");
  }

  void checkAddresses() {
    static constexpr std::array<std::string_view, 4> Keys = {
        "listen", "peer", "operator", "metrics"};
    const std::array Addresses = {Result_.Node.Listen, Result_.Node.Peer,
                                  Result_.Node.Operator,
                                  Result_.Node.Metrics.value_or(HostPort{})};
    for (std::size_t Later = 1; Later < Keys.size(); ++Later)
      for (std::size_t Earlier = 0; Earlier < Later; ++Earlier)
        if (Addresses[Later].Port != 0 &&
            Addresses[Later] == Addresses[Earlier])
          Report_.add(lineOf("node", Keys[Later]),
                      "node." + std::string(Keys[Later]),
                      "same address as node." + std::string(Keys[Earlier]));
  }

  void checkLimits() {
    const LeaseSettings &Lease = Result_.Lease;
    // One renewal may fail without the lease lapsing.
    if (Lease.Validity < 2 * Lease.Renewal)
      Report_.add(lineOf("lease", "validity_ms"), "lease.validity_ms",
                  "the lease is valid for less than two renewals",
                  "at least twice renewal_ms");
    const LimitSettings &Limits = Result_.Limits;
    if (Limits.BodyMemoryBytes < Limits.BodyBytes)
      Report_.add(lineOf("limits", "body_memory"), "limits.body_memory",
                  "less than one body of body_bytes",
                  "at least limits.body_bytes");
  }

  ProblemReporter Report_;
  Settings Result_;
  std::map<std::string_view, IniSection> Sections_;
};

} // namespace

std::string_view nameOf(RoutingPolicy Policy) {
  return PolicyNames[static_cast<std::size_t>(Policy)];
}

std::optional<Settings> parseSettings(std::string_view Text,
                                      const std::string &FileName,
                                      Problems &Errors) {
  return SettingsReader(FileName, Errors).read(Text);
}

std::optional<Settings> loadSettings(const std::string &Path,
                                     Problems &Errors) {
  const auto Text = readFileText(Path);
  if (!Text) {
    Errors.push_back({Path, 0, "", "the file cannot be read", ""});
    return std::nullopt;
  }
  auto Result = parseSettings(*Text, Path, Errors);
  if (!Result || Result->Cluster.KeyFile.empty())
    return Result;
  const auto KeyPath =
      std::filesystem::path(Path).parent_path() / Result->Cluster.KeyFile;
  const auto Content = readFileText(KeyPath);
  const std::string Key =
      Content ? Content->substr(0, Content->find_last_not_of(" \t\r\n") + 1)
              : std::string();
  if (!parseClusterKey(Key)) {
    Errors.push_back(
        {KeyPath.string(), 0, "cluster.key_file",
         Content ? "the key is too short" : "the file cannot be read",
         std::string(KeyForm)});
    return std::nullopt;
  }
  Result->Cluster.Key = Key;
  return Result;
}

} // namespace cassiashed
