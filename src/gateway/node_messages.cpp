#include "gateway/node_messages.h"

#include "gateway/packed.h"
#include <algorithm>

namespace cassiashed::gateway {
namespace {

/// Above every time that a request can have, and below what a duration holds.
constexpr double LongestMs = 1e9;
/// 30 years; a time in nanoseconds still holds it.
constexpr std::int64_t LongestStoreTimeMs = 1'000'000'000'000;

/// Whether the fields can be taken for what they stand for. They may come from
/// anyone who reaches the port.
bool isInRange(const PlacementAnswer &Answer) {
  const auto IsTime = [](double Ms) { return Ms >= 0 && Ms <= LongestMs; };
  return Answer.Next <=
             static_cast<std::uint32_t>(balancing::Admission::Refuse) &&
         Answer.Failure <= static_cast<std::uint32_t>(
                               balancing::DispatchFailure::CostsOthers) &&
         IsTime(Answer.RetryAfterMs) && IsTime(Answer.RetryPlacementAfterMs);
}

} // namespace

WorkStarted describeWork(const balancing::Assignment &Work) {
  WorkStarted Message;
  Message.Id = Work.Request.Id;
  Message.PromptTokens = Work.Request.PromptTokens;
  Message.OutputTokens = Work.Request.OutputTokens;
  Message.FirstTokenMs = Work.Request.FirstTokenMs;
  Message.DeadlineMs = Work.Request.DeadlineMs;
  Message.MaxTokenGapMs = Work.Request.MaxTokenGapMs;
  Message.Value = Work.Request.Value;
  Message.Urgent = Work.Request.Urgent;
  for (const balancing::AssignedPromptPart &Each : Work.Parts)
    Message.Parts.push_back(
        {Each.EndpointId, Each.Part.PromptTokens, Each.Part.MemoryTokens});
  return Message;
}

CoverageMessage describeClaim(const CoverageReport &Claim) {
  return {static_cast<std::uint32_t>(Claim.Which), Claim.Coverage.UpTo,
          Claim.Coverage.LastChange, Claim.Coverage.WholeReadVersion,
          Claim.StoreTime.count()};
}

std::optional<CoverageReport> toClaim(const CoverageMessage &Note) {
  if (Note.Table >= catalog::TableCount || Note.LastChange > Note.UpTo ||
      Note.WholeReadVersion > Note.UpTo || Note.StoreTimeMs < 0 ||
      Note.StoreTimeMs > LongestStoreTimeMs)
    return std::nullopt;
  return CoverageReport{static_cast<catalog::Table>(Note.Table),
                        {Note.UpTo, Note.LastChange, Note.WholeReadVersion},
                        Duration(Note.StoreTimeMs)};
}

balancing::Assignment toAssignment(const WorkStarted &Message,
                                   std::uint32_t Origin) {
  balancing::Assignment Work;
  Work.Origin = Origin;
  Work.Request.Id = Message.Id;
  Work.Request.PromptTokens = Message.PromptTokens;
  Work.Request.OutputTokens = Message.OutputTokens;
  Work.Request.FirstTokenMs = Message.FirstTokenMs;
  Work.Request.DeadlineMs = Message.DeadlineMs;
  Work.Request.MaxTokenGapMs = Message.MaxTokenGapMs;
  Work.Request.Value = Message.Value;
  Work.Request.Urgent = Message.Urgent;
  for (const WorkPart &Each : Message.Parts) {
    balancing::AssignedPromptPart Part;
    Part.EndpointId = Each.EndpointId;
    Part.Part.PromptTokens = Each.PromptTokens;
    Part.Part.MemoryTokens = Each.MemoryTokens;
    Work.Parts.push_back(std::move(Part));
  }
  return Work;
}

std::string packMessage(const NodeMessage &Message) { return pack(Message); }

std::optional<NodeMessage> unpackMessage(std::string_view Bytes,
                                         std::string &Reason) {
  std::optional<NodeMessage> Message = unpack<NodeMessage>(Bytes, Reason);
  if (Message && Message->Format != NodeMessageFormat) {
    Reason = "format " + std::to_string(Message->Format) + " is not supported";
    return std::nullopt;
  }
  if (Message && !std::all_of(Message->Answers.begin(), Message->Answers.end(),
                              isInRange)) {
    Reason = "an answer of a placer is out of range";
    return std::nullopt;
  }
  return Message;
}

} // namespace cassiashed::gateway
