#pragma once

#include "cassiashed/base/error.h"
#include "node/completion_request.h"
#include <string>
#include <string_view>

/// Bodies of the replies to callers.
namespace cassiashed {

/// `{"error":{...}}` with code, message, effect and request id.
std::string formatError(const Error &Failure, std::string_view RequestId);

/// JSON of one streamed piece of text.
std::string formatChunk(CompletionApi Api, std::string_view RequestId,
                        std::string_view Model, std::string_view Text);

/// JSON of a whole answer.
std::string formatCompletion(const CompletionRequest &Request,
                             std::string_view RequestId, std::string_view Text,
                             std::uint64_t OutputTokens);

} // namespace cassiashed
