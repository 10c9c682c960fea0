#include "cassiashed/config/deployment.h"

#include "config/deployment_checks.h"
#include "config/key_rules.h"
#include "config/values.h"
#include <algorithm>
#include <fmt/format.h>
#include <numeric>
#include <unordered_set>

namespace cassiashed {
namespace {

constexpr std::array<std::string_view, 2> ZoneStateNames = {"in", "out"};
constexpr std::array<std::string_view, 2> KindNames = {"model", "service"};
constexpr std::array<std::string_view, 2> EndpointStateNames = {"in",
                                                                "leaving"};

std::optional<std::string> parseApiKey(std::string_view Text) {
  const auto IsVisible = [](char Character) {
    return Character > ' ' && Character < 0x7f;
  };
  if (Text.size() < 8 || Text.size() > 128 ||
      !std::all_of(Text.begin(), Text.end(), IsVisible))
    return std::nullopt;
  return std::string(Text);
}

bool isPathPattern(std::string_view Word) {
  if (Word.empty() || Word.front() != '/')
    return false;
  const std::size_t Star = Word.find('*');
  return Star == std::string_view::npos ||
         (Star + 1 == Word.size() && Word[Star - 1] == '/');
}

std::optional<std::vector<std::string>> parsePaths(std::string_view Text) {
  std::vector<std::string> Paths = splitWords(Text);
  if (!std::all_of(Paths.begin(), Paths.end(), isPathPattern))
    return std::nullopt;
  return Paths;
}

constexpr std::string_view CountForm = "a whole number of at least 1";
constexpr std::string_view NamesForm = "names separated by commas";
constexpr std::string_view PathsForm =
    "paths such as /stops or /stops/*, separated by commas";

constexpr std::array DeploymentRules = {
    makeRule<&Deployment::Replaces, parseNumber<std::uint64_t, 0>>(
        "replaces", "the version in force, 0 for the first one", true),
    makeRule<&Deployment::Note, parseText>("note", "any text"),
};

constexpr std::array ZoneRules = {
    makeRule<&ZoneConfig::Region, parseName>("region", NameForm, true),
    makeRule<&ZoneConfig::State, parseEnum<ZoneState, ZoneStateNames>>(
        "state", "in, out"),
};

constexpr std::array WorkspaceRules = {
    makeRule<&WorkspaceConfig::Key, parseApiKey>(
        "key", "8 to 128 visible ASCII characters", true, true),
    makeRule<&WorkspaceConfig::Weight, parseWeight>(
        "weight", "a number above 0, up to 1000000"),
    makeRule<&WorkspaceConfig::MaxStreams, parseNumber<std::uint32_t>>(
        "max_streams", CountForm),
};

constexpr std::array ModelRules = {
    makeRule<&ModelConfig::MaxTokens, parseNumber<std::uint32_t>>("max_tokens",
                                                                  CountForm),
    makeRule<&ModelConfig::FirstTokenTarget, parseMilliseconds>(
        "first_token_ms", "milliseconds from 1 to 86400000"),
};

constexpr std::array EndpointRules = {
    makeRule<&EndpointConfig::Address, parseHostPort>("address", HostPortForm,
                                                      true),
    makeRule<&EndpointConfig::Zone, parseName>("zone", "a zone of this file",
                                               true),
    makeRule<&EndpointConfig::Kind, parseEnum<EndpointKind, KindNames>>(
        "kind", "model, service"),
    makeRule<&EndpointConfig::Models, parseNames>("models", NamesForm),
    makeRule<&EndpointConfig::CapacityTokens, parseNumber<std::uint64_t>>(
        "capacity_tokens", CountForm),
    makeRule<&EndpointConfig::PrefillTokensPerSecond,
             parseNumber<std::uint64_t>>("prefill_tokens_per_second",
                                         CountForm),
    makeRule<&EndpointConfig::ColdRequests, parseNumber<std::uint32_t>>(
        "cold_requests", CountForm),
    makeRule<&EndpointConfig::HonoursFencing, parseYesNo>("honours_fencing",
                                                          "yes, no"),
    makeRule<&EndpointConfig::State,
             parseEnum<EndpointState, EndpointStateNames>>("state",
                                                           "in, leaving"),
};

constexpr std::array ServiceRules = {
    makeRule<&ServiceConfig::Endpoints, parseNames>("endpoints", NamesForm,
                                                    true),
    makeRule<&ServiceConfig::IdempotentPaths, parsePaths>("idempotent_paths",
                                                          PathsForm),
    makeRule<&ServiceConfig::NonIdempotentPaths, parsePaths>(
        "non_idempotent_paths", PathsForm),
};

/// Keys that only endpoints of kind=model have, and must have.
constexpr std::array<std::string_view, 3> ModelEndpointKeys = {
    "models", "capacity_tokens", "prefill_tokens_per_second"};

class DeploymentReader {
public:
  DeploymentReader(const std::string &FileName, Problems &Errors)
      : Report_(FileName, Errors) {}

  std::optional<Deployment> read(std::string_view Text) {
    readIni(Text, {[this](IniSection &Section) { addSection(Section); },
                   [this](int Line, std::string Problem) {
                     Report_.add(Line, "", std::move(Problem));
                   }});
    if (HeaderLine_ == 0)
      Report_.add(0, "deployment", "required section is missing");
    checkDeployment(Result_, Lines_, Report_);
    return Report_.count() == 0 ? std::optional(std::move(Result_))
                                : std::nullopt;
  }

private:
  struct SectionRule {
    std::string_view Type;
    void (DeploymentReader::*Read)(IniSection &, std::string Name);
  };
  static const std::array<SectionRule, 5> SectionRules;

  void addSection(IniSection &Section) {
    const std::size_t Blank =
        std::min(Section.Name.find_first_of(" \t"), Section.Name.size());
    const std::string_view Type =
        std::string_view(Section.Name).substr(0, Blank);
    const std::size_t Start = Section.Name.find_first_not_of(" \t", Blank);
    std::string Name =
        Start == std::string::npos ? std::string() : Section.Name.substr(Start);
    if (Type == "deployment" && Name.empty()) {
      readHeader(Section);
      return;
    }
    for (const SectionRule &Rule : SectionRules)
      if (Rule.Type == Type) {
        if (!parseName(Name))
          Report_.add(Section.Line, Section.Name,
                      "name \"" + Name + "\" is invalid", NameForm);
        (this->*Rule.Read)(Section, std::move(Name));
        return;
      }
    reportUnknown(Section, Type);
  }

  void reportUnknown(const IniSection &Section, std::string_view Type) {
    std::vector<std::string_view> Known = {"deployment"};
    for (const SectionRule &Rule : SectionRules)
      Known.push_back(Rule.Type);
    const std::string Nearest(findNearest(Type, Known));
    Report_.add(Section.Line, Section.Name,
                "unknown section, did you mean [" + Nearest +
                    (Nearest == "deployment" ? "]?" : " NAME]?"));
  }

  void readHeader(IniSection &Section) {
    if (HeaderLine_ != 0)
      Report_.add(Section.Line, Section.Name,
                  "duplicate section, first in line " +
                      std::to_string(HeaderLine_));
    HeaderLine_ = Section.Line;
    readKeys(Section, DeploymentRules, Result_, Report_);
  }

  void readZone(IniSection &Section, std::string Name) {
    ZoneConfig &Zone = Result_.Zones.emplace_back();
    Zone.Name = std::move(Name);
    readKeys(Section, ZoneRules, Zone, Report_);
    Lines_.Zones.push_back(Section.Line);
  }

  void readWorkspace(IniSection &Section, std::string Name) {
    WorkspaceConfig &Workspace = Result_.Workspaces.emplace_back();
    Workspace.Name = std::move(Name);
    readKeys(Section, WorkspaceRules, Workspace, Report_);
    Lines_.Workspaces.push_back({Section.Line, findLine(Section, "key")});
  }

  void readModel(IniSection &Section, std::string Name) {
    ModelConfig &Model = Result_.Models.emplace_back();
    Model.Name = std::move(Name);
    readKeys(Section, ModelRules, Model, Report_);
    Lines_.Models.push_back(Section.Line);
  }

  void readEndpoint(IniSection &Section, std::string Name) {
    EndpointConfig &Endpoint = Result_.Endpoints.emplace_back();
    Endpoint.Name = std::move(Name);
    readKeys(Section, EndpointRules, Endpoint, Report_);
    Lines_.Endpoints.push_back({Section.Line, findLine(Section, "address"),
                                findLine(Section, "zone"),
                                findLine(Section, "models")});
    for (const std::string_view Key : ModelEndpointKeys) {
      const IniKey *Entry = findKey(Section, Key);
      const std::string Path = Section.Name + "." + std::string(Key);
      if (Endpoint.Kind == EndpointKind::Model && !Entry)
        Report_.add(Section.Line, Path, "required for kind=model");
      if (Endpoint.Kind == EndpointKind::Service && Entry)
        Report_.add(Entry->Line, Path, "not allowed for kind=service");
    }
  }

  void readService(IniSection &Section, std::string Name) {
    ServiceConfig &Service = Result_.Services.emplace_back();
    Service.Name = std::move(Name);
    readKeys(Section, ServiceRules, Service, Report_);
    Lines_.Services.push_back({Section.Line, findLine(Section, "endpoints"),
                               findLine(Section, "non_idempotent_paths")});
  }

  ProblemReporter Report_;
  Deployment Result_;
  DeploymentLines Lines_;
  int HeaderLine_ = 0;
};

const std::array<DeploymentReader::SectionRule, 5>
    DeploymentReader::SectionRules = {{
        {"zone", &DeploymentReader::readZone},
        {"workspace", &DeploymentReader::readWorkspace},
        {"model", &DeploymentReader::readModel},
        {"endpoint", &DeploymentReader::readEndpoint},
        {"service", &DeploymentReader::readService},
    }};

void addList(std::string &Text, std::string_view Key,
             const std::vector<std::string> &Words) {
  if (!Words.empty())
    Text += fmt::format("{} = {}\n", Key, fmt::join(Words, ", "));
}

void addEndpoint(std::string &Text, const EndpointConfig &Endpoint) {
  Text += fmt::format("\n[endpoint {}]\naddress = {}\nzone = {}\nkind = {}\n",
                      Endpoint.Name, formatHostPort(Endpoint.Address),
                      Endpoint.Zone, nameOf(Endpoint.Kind));
  if (Endpoint.Kind == EndpointKind::Model) {
    addList(Text, "models", Endpoint.Models);
    Text +=
        fmt::format("capacity_tokens = {}\nprefill_tokens_per_second = {}\n",
                    Endpoint.CapacityTokens, Endpoint.PrefillTokensPerSecond);
  }
  Text +=
      fmt::format("cold_requests = {}\nhonours_fencing = {}\nstate = {}\n",
                  Endpoint.ColdRequests, Endpoint.HonoursFencing ? "yes" : "no",
                  nameOf(Endpoint.State));
}

/// Length of the part of `Path` that the pattern matches; nothing if it does
/// not match. An exact pattern counts more than a prefix of the same length.
std::optional<std::size_t> matchPattern(std::string_view Pattern,
                                        std::string_view Path) {
  if (!Pattern.empty() && Pattern.back() == '*') {
    Pattern.remove_suffix(1);
    if (Path.substr(0, Pattern.size()) != Pattern)
      return std::nullopt;
    return 2 * Pattern.size();
  }
  return Path == Pattern ? std::optional(2 * Pattern.size() + 1) : std::nullopt;
}

std::optional<std::size_t> findBestMatch(const std::vector<std::string> &Paths,
                                         std::string_view Path) {
  std::optional<std::size_t> Best;
  for (const std::string &Pattern : Paths)
    Best = std::max(Best, matchPattern(Pattern, Path));
  return Best;
}

} // namespace

std::string_view nameOf(ZoneState State) {
  return ZoneStateNames[static_cast<std::size_t>(State)];
}
std::string_view nameOf(EndpointKind Kind) {
  return KindNames[static_cast<std::size_t>(Kind)];
}
std::string_view nameOf(EndpointState State) {
  return EndpointStateNames[static_cast<std::size_t>(State)];
}

std::optional<Deployment> parseDeployment(std::string_view Text,
                                          const std::string &FileName,
                                          Problems &Errors) {
  return DeploymentReader(FileName, Errors).read(Text);
}

std::string formatDeployment(const Deployment &Config) {
  std::string Text =
      fmt::format("[deployment]\nreplaces = {}\n", Config.Replaces);
  if (!Config.Note.empty())
    Text += fmt::format("note = {}\n", quoteIniValue(Config.Note));
  for (const ZoneConfig &Zone : Config.Zones)
    Text += fmt::format("\n[zone {}]\nregion = {}\nstate = {}\n", Zone.Name,
                        Zone.Region, nameOf(Zone.State));
  for (const ModelConfig &Model : Config.Models)
    Text += fmt::format("\n[model {}]\nmax_tokens = {}\nfirst_token_ms = {}\n",
                        Model.Name, Model.MaxTokens,
                        Model.FirstTokenTarget.count());
  for (const EndpointConfig &Endpoint : Config.Endpoints)
    addEndpoint(Text, Endpoint);
  for (const ServiceConfig &Service : Config.Services) {
    Text += fmt::format("\n[service {}]\n", Service.Name);
    addList(Text, "endpoints", Service.Endpoints);
    addList(Text, "idempotent_paths", Service.IdempotentPaths);
    addList(Text, "non_idempotent_paths", Service.NonIdempotentPaths);
  }
  for (const WorkspaceConfig &Workspace : Config.Workspaces)
    Text += fmt::format(
        "\n[workspace {}]\nkey = {}\nweight = {}\nmax_streams = {}\n",
        Workspace.Name, quoteIniValue(Workspace.Key), Workspace.Weight,
        Workspace.MaxStreams);
  return Text;
}

bool isIdempotentPath(const ServiceConfig &Service, std::string_view Path) {
  return findBestMatch(Service.IdempotentPaths, Path) >
         findBestMatch(Service.NonIdempotentPaths, Path);
}

ZoneConfig *findZone(Deployment &Config, std::string_view Name) {
  for (ZoneConfig &Zone : Config.Zones)
    if (Zone.Name == Name)
      return &Zone;
  return nullptr;
}

} // namespace cassiashed
