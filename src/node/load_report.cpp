#include "node/load_report.h"

#include "cassiashed/text/json.h"

namespace cassiashed {
namespace {

scheduling::EndpointState parseState(std::string_view Name) {
  if (Name == "warm")
    return scheduling::EndpointState::Warm;
  if (Name == "leaving")
    return scheduling::EndpointState::Leaving;
  return scheduling::EndpointState::Cold;
}

} // namespace

std::optional<scheduling::LoadReport> parseLoadReport(std::string_view Body,
                                                      TimePoint MeasuredAt) {
  std::string Reason;
  const std::optional<Json> Parsed = parseJsonObject(Body, Reason);
  if (!Parsed)
    return std::nullopt;
  scheduling::LoadReport Report;
  Report.MeasuredAt = MeasuredAt;
  Report.Incarnation =
      static_cast<std::uint64_t>(readInteger(*Parsed, "incarnation"));
  Report.State = parseState(readString(*Parsed, "state"));
  Report.CapacityTokens =
      static_cast<std::uint64_t>(readInteger(*Parsed, "capacity_tokens"));
  Report.HeldTokens =
      static_cast<std::uint64_t>(readInteger(*Parsed, "held_tokens"));
  const auto Requests = Parsed->find("requests");
  if (Requests != Parsed->end() && Requests->is_array())
    for (const Json &Entry : *Requests)
      Report.Requests.push_back(
          {readString(Entry, "request_id"), readString(Entry, "node"),
           static_cast<std::uint64_t>(readInteger(Entry, "tokens"))});
  // An export belongs to the request that is named as its owner.
  const auto Exports = Parsed->find("exports");
  if (Exports != Parsed->end() && Exports->is_array())
    for (const Json &Entry : *Exports)
      Report.Requests.push_back(
          {readString(Entry, "owner"), "",
           static_cast<std::uint64_t>(readInteger(Entry, "tokens"))});
  return Report;
}

} // namespace cassiashed
