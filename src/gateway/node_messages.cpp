#include "gateway/node_messages.h"

#include "gateway/msgpack_codec.h"
#include <algorithm>

namespace cassiashed::gateway {
namespace {

/// Above every valid time of a request, and small enough for `Duration`.
constexpr double MaxMs = 1e9;
/// About 30 years; small enough for a 64-bit count of nanoseconds.
constexpr std::int64_t MaxStoreTimeMs = 1'000'000'000'000;

/// Whether the fields can be converted to their types. Anyone who reaches the
/// port can send them.
bool isInRange(const PlacementReply &Reply) {
  const auto IsTime = [](double Ms) { return Ms >= 0 && Ms <= MaxMs; };
  return Reply.Next <=
             static_cast<std::uint32_t>(balancing::Admission::Refuse) &&
         Reply.Failure <= static_cast<std::uint32_t>(
                              balancing::DispatchFailure::CostsOthers) &&
         IsTime(Reply.RetryAfterMs) && IsTime(Reply.RetryPlacementAfterMs);
}

} // namespace

AssignmentMessage toAssignmentMessage(const balancing::Assignment &Assignment) {
  AssignmentMessage Message;
  Message.Id = Assignment.Request.Id;
  Message.PromptTokens = Assignment.Request.PromptTokens;
  Message.OutputTokens = Assignment.Request.OutputTokens;
  Message.FirstTokenMs = Assignment.Request.FirstTokenMs;
  Message.DeadlineMs = Assignment.Request.DeadlineMs;
  Message.MaxTokenGapMs = Assignment.Request.MaxTokenGapMs;
  Message.Value = Assignment.Request.Value;
  Message.Urgent = Assignment.Request.Urgent;
  for (const balancing::AssignedPromptPart &Assigned : Assignment.Parts)
    Message.Parts.push_back({Assigned.EndpointId, Assigned.Part.PromptTokens,
                             Assigned.Part.MemoryTokens});
  return Message;
}

CoverageMessage toCoverageMessage(const CoverageReport &Report) {
  return {static_cast<std::uint32_t>(Report.Table),
          Report.Coverage.UpTo,
          Report.Coverage.LastChange,
          Report.Coverage.WholeReadVersion,
          Report.StoreTime.count(),
          Report.Coverage.Era};
}

std::optional<CoverageReport> toCoverageReport(const CoverageMessage &Message) {
  if (Message.Table >= catalog::TableCount ||
      Message.LastChange > Message.UpTo ||
      Message.WholeReadVersion > Message.UpTo || Message.StoreTimeMs < 0 ||
      Message.StoreTimeMs > MaxStoreTimeMs ||
      Message.Era > catalog::MaxStoreEra)
    return std::nullopt;
  return CoverageReport{
      static_cast<catalog::Table>(Message.Table),
      {Message.UpTo, Message.LastChange, Message.WholeReadVersion, Message.Era},
      Duration(Message.StoreTimeMs)};
}

balancing::Assignment toAssignment(const AssignmentMessage &Message,
                                   std::uint32_t Origin) {
  balancing::Assignment Assignment;
  Assignment.Origin = Origin;
  Assignment.Request.Id = Message.Id;
  Assignment.Request.PromptTokens = Message.PromptTokens;
  Assignment.Request.OutputTokens = Message.OutputTokens;
  Assignment.Request.FirstTokenMs = Message.FirstTokenMs;
  Assignment.Request.DeadlineMs = Message.DeadlineMs;
  Assignment.Request.MaxTokenGapMs = Message.MaxTokenGapMs;
  Assignment.Request.Value = Message.Value;
  Assignment.Request.Urgent = Message.Urgent;
  for (const AssignmentPart &Received : Message.Parts) {
    balancing::AssignedPromptPart Part;
    Part.EndpointId = Received.EndpointId;
    Part.Part.PromptTokens = Received.PromptTokens;
    Part.Part.MemoryTokens = Received.MemoryTokens;
    Assignment.Parts.push_back(std::move(Part));
  }
  return Assignment;
}

std::string packMessage(const NodeMessage &Message) { return pack(Message); }

std::optional<NodeMessage> unpackMessage(std::string_view Bytes,
                                         std::string &Reason) {
  std::optional<NodeMessage> Message = unpack<NodeMessage>(Bytes, Reason);
  if (Message && Message->Format != NodeMessageFormat) {
    Reason = "format " + std::to_string(Message->Format) + " is not supported";
    return std::nullopt;
  }
  if (Message && std::max({Message->OperatorEra, Message->EndpointEra,
                           Message->RowsEra}) > catalog::MaxStoreEra) {
    Reason = "an era of the store is out of range";
    return std::nullopt;
  }
  if (Message && !std::all_of(Message->PlacementReplies.begin(),
                              Message->PlacementReplies.end(), isInRange)) {
    Reason = "a placement reply has a value out of range";
    return std::nullopt;
  }
  return Message;
}

} // namespace cassiashed::gateway
