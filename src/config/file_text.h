#pragma once

#include <filesystem>
#include <optional>
#include <string>

namespace cassiashed {

/// The whole content of a file; nothing if it cannot be read.
std::optional<std::string> readFileText(const std::filesystem::path &Path);

} // namespace cassiashed
