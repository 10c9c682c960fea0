#pragma once

#include "cassiashed/catalog/config_draft.h"
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Faults of a configuration that decodes without an error.
namespace cassiashed::catalog {

/// Errors make requests fail or an entry useless; warnings name what has no
/// effect or is unusual; notes explain a valid setting that is easily misread.
enum class Severity { Error, Warning, Note };
std::string_view nameOf(Severity Level);

enum class FindingKind {
  InvalidField,
  MisspeltField,
  DuplicateName,
  ShadowedRoute,
  UnmatchablePrefix,
  UnknownService,
  UnusedService,
  NoWeight,
  SharedKey,
  NoKey,
  ObjectiveAboveTimeout,
  PauseAboveTimeout,
  AttemptsWithoutRepeat,
  ColdTimeWithoutRate,
  ReplicaRange,
  HeadAboveBody,
  BodyAboveMemory,
  VersionNotHigher,
};
std::string_view nameOf(FindingKind Kind);
Severity severityOf(FindingKind Kind);

enum class ConfigPart { Document, Route, Service, Workspace, Limits };
enum class ConfigField {
  None,
  Version,
  Name,
  PathPrefix,
  Service,
  Split,
  Timeout,
  FirstByteTarget,
  TokenGapTarget,
  MaxAttempts,
  ColdRate,
  MinReplicas,
  Keys,
  HeadBytes,
  BodyBytes,
};

/// The place of a finding; the platform's adapter knows how it is written.
struct Place {
  ConfigPart Part = ConfigPart::Document;
  std::size_t Index = 0; ///< in the list of the part
  ConfigField Field = ConfigField::None;
  std::optional<std::size_t> Item; ///< of a field that is a list
};

struct Finding {
  FindingKind Kind;
  Place Where;
  std::string Text;
};

/// What a configuration is checked against, as far as it is known.
struct CheckContext {
  std::optional<std::uint64_t> VersionInForce;
  std::optional<std::uint64_t> HostMemoryBytes;
};

std::vector<Finding> checkConfig(const ConfigDraft &Draft,
                                 const CheckContext &Context);

/// The first characters of an API key, or none of a short one.
std::string abbreviateKey(const std::string &Key);

} // namespace cassiashed::catalog
