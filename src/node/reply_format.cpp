#include "node/reply_format.h"

#include "cassiashed/text/json.h"

namespace cassiashed {
namespace {

const char *objectName(CompletionApi Api, bool Chunk) {
  if (Api == CompletionApi::Text)
    return "text_completion";
  return Chunk ? "chat.completion.chunk" : "chat.completion";
}

Json makeChoice(CompletionApi Api, std::string_view Text, bool Chunk) {
  Json Choice = {{"index", 0}};
  if (Api == CompletionApi::Text)
    Choice["text"] = Text;
  else
    Choice[Chunk ? "delta" : "message"] = {{"role", "assistant"},
                                           {"content", Text}};
  if (!Chunk)
    Choice["finish_reason"] = "stop";
  return Choice;
}

} // namespace

std::string formatError(const Error &Failure, std::string_view RequestId) {
  const ErrorAnswer &Answer = answerFor(Failure.Kind);
  Json Body = {
      {"code", Answer.Code},
      {"message", Failure.Message.empty() ? Answer.Summary : Failure.Message},
      {"ran", nameOf(Failure.ran())},
      {"request_id", RequestId}};
  if (Failure.RetryAfterMs > 0)
    Body["retry_after_ms"] = Failure.RetryAfterMs;
  return Json{{"error", std::move(Body)}}.dump(-1, ' ', false,
                                               Json::error_handler_t::replace);
}

std::string formatChunk(CompletionApi Api, std::string_view RequestId,
                        std::string_view Model, std::string_view Text) {
  const Json Body = {{"id", RequestId},
                     {"object", objectName(Api, true)},
                     {"model", Model},
                     {"choices", Json::array({makeChoice(Api, Text, true)})}};
  return Body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string formatCompletion(const CompletionRequest &Request,
                             std::string_view RequestId, std::string_view Text,
                             std::uint64_t OutputTokens) {
  const Json Body = {
      {"id", RequestId},
      {"object", objectName(Request.Api, false)},
      {"model", Request.Model},
      {"choices", Json::array({makeChoice(Request.Api, Text, false)})},
      {"usage",
       {{"prompt_tokens", Request.PromptTokens},
        {"completion_tokens", OutputTokens},
        {"total_tokens", Request.PromptTokens + OutputTokens}}}};
  return Body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace cassiashed
