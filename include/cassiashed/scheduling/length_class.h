#pragma once

#include <cstdint>
#include <string_view>

/// Classes of prompts by length, and the engine priority of each.
namespace cassiashed::scheduling {

enum class LengthClass : std::uint8_t { Short, Medium, Long, Huge };

/// Number of values of `LengthClass`.
inline constexpr int LengthClassCount = 4;

/// The class of a prompt of this many tokens: up to 4k short, 16k medium, 100k
/// long, above that huge.
LengthClass classOf(std::uint64_t PromptTokens);

/// 0 is the most urgent; shorter classes are more urgent.
constexpr std::uint32_t enginePriorityOf(LengthClass Class) {
  return static_cast<std::uint32_t>(Class);
}

/// Whether the class counts against the limit for long prompts.
constexpr bool isLong(LengthClass Class) { return Class >= LengthClass::Long; }

std::string_view nameOf(LengthClass Class);

} // namespace cassiashed::scheduling
