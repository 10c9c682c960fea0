#include "node/completion_request.h"

#include "cassiashed/base/hash.h"
#include "cassiashed/text/json.h"

namespace cassiashed {
namespace {

std::optional<std::string> joinMessages(const Json &Messages,
                                        std::string &Reason) {
  if (!Messages.is_array() || Messages.empty()) {
    Reason = "\"messages\" must be a non-empty array";
    return std::nullopt;
  }
  std::string Prompt;
  for (const Json &Message : Messages) {
    const std::string Role = readString(Message, "role");
    const auto Content =
        Message.is_object() ? Message.find("content") : Message.end();
    if (Role.empty() || Content == Message.end() || !Content->is_string()) {
      Reason = "each message needs a \"role\" and a text \"content\"";
      return std::nullopt;
    }
    Prompt += Role;
    Prompt += ": ";
    Prompt += Content->get_ref<const std::string &>();
    Prompt += '\n';
  }
  return Prompt;
}

std::optional<std::string> takePrompt(CompletionApi Api, Json &Body,
                                      std::string &Reason) {
  if (Api == CompletionApi::Chat)
    return joinMessages(Body["messages"], Reason);
  Json &Prompt = Body["prompt"];
  if (Prompt.is_string() && !Prompt.get_ref<std::string &>().empty())
    return std::move(Prompt.get_ref<std::string &>());
  Reason = "\"prompt\" must be a non-empty string";
  return std::nullopt;
}

std::string hashContent(const CompletionRequest &Request, const Json &Body) {
  // Ids and deadlines are not part of the content, so that a repeated request
  // with a new id has the same hash.
  std::string Parameters = Request.Model + '\n';
  for (const char *Name : {"max_tokens", "temperature", "top_p", "seed"})
    if (Body.contains(Name))
      Parameters += std::string(Name) + '=' + Body[Name].dump() + '\n';
  return hashHex(Parameters + hashHex(Request.Prompt));
}

} // namespace

std::optional<CompletionRequest> parseCompletionRequest(CompletionApi Api,
                                                        std::string_view Body,
                                                        Error &Failure) {
  Failure.Kind = ErrorKind::BadRequest;
  std::optional<Json> Parsed = parseJsonObject(Body, Failure.Message);
  if (!Parsed)
    return std::nullopt;
  CompletionRequest Request;
  Request.Api = Api;
  Request.Model = readString(*Parsed, "model");
  if (Request.Model.empty()) {
    Failure.Message = "\"model\" is missing";
    return std::nullopt;
  }
  const std::int64_t MaxTokens = readInteger(
      *Parsed, "max_tokens", static_cast<std::int64_t>(DefaultMaxTokens));
  if (MaxTokens < 1 || MaxTokens > static_cast<std::int64_t>(MaxOutputTokens)) {
    Failure.Message = "\"max_tokens\" must be between 1 and " +
                      std::to_string(MaxOutputTokens);
    return std::nullopt;
  }
  if (readInteger(*Parsed, "n", 1) != 1) {
    Failure.Message = "\"n\" must be 1";
    return std::nullopt;
  }
  std::optional<std::string> Prompt = takePrompt(Api, *Parsed, Failure.Message);
  if (!Prompt)
    return std::nullopt;
  Request.Prompt = std::move(*Prompt);
  Request.MaxTokens = static_cast<std::uint64_t>(MaxTokens);
  Request.Stream = readBool(*Parsed, "stream");
  Request.PromptTokens =
      (Request.Prompt.size() + BytesPerToken - 1) / BytesPerToken;
  Request.PrefixHash = hashBytes(
      std::string_view(Request.Prompt).substr(0, PrefixTokens * BytesPerToken));
  Request.ContentHash = hashContent(Request, *Parsed);
  return Request;
}

} // namespace cassiashed
