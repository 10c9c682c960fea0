#pragma once

#include "cassiashed/base/error.h"
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cassiashed {

/// The two completion formats that callers use.
enum class CompletionApi { Text, Chat };

/// A request for a model, in the terms of the endpoint protocol.
struct CompletionRequest {
  CompletionApi Api = CompletionApi::Text;
  std::string Model;
  std::string Prompt;
  std::uint64_t PromptTokens = 0;
  std::uint64_t MaxTokens = 0;
  bool Stream = false;
  std::string ContentHash;      ///< model, prompt and sampling parameters
  std::uint64_t PrefixHash = 0; ///< first `PrefixTokens` tokens of the prompt
};

/// Bytes of prompt text counted as one token, as the endpoints count them.
inline constexpr std::uint64_t BytesPerToken = 4;
inline constexpr std::uint64_t PrefixTokens = 1024;
inline constexpr std::uint64_t DefaultMaxTokens = 256;
inline constexpr std::uint64_t MaxOutputTokens = 65536;

/// Parses the body of a completions call. On failure `Failure` is what the
/// caller is told.
std::optional<CompletionRequest> parseCompletionRequest(CompletionApi Api,
                                                        std::string_view Body,
                                                        Error &Failure);

} // namespace cassiashed
