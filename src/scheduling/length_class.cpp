#include "cassiashed/scheduling/length_class.h"

#include <array>
#include <limits>

namespace cassiashed::scheduling {
namespace {

struct ClassRow {
  LengthClass Class;
  std::string_view Name;
  std::uint64_t MaxPromptTokens;
};

constexpr std::array<ClassRow, LengthClassCount> Rows = {{
    {LengthClass::Short, "short", 4096},
    {LengthClass::Medium, "medium", 16384},
    {LengthClass::Long, "long", 100000},
    {LengthClass::Huge, "huge", std::numeric_limits<std::uint64_t>::max()},
}};

} // namespace

LengthClass classOf(std::uint64_t PromptTokens) {
  for (const ClassRow &Row : Rows)
    if (PromptTokens <= Row.MaxPromptTokens)
      return Row.Class;
  return LengthClass::Huge;
}

std::string_view nameOf(LengthClass Class) {
  return Rows[static_cast<std::size_t>(Class)].Name;
}

} // namespace cassiashed::scheduling
