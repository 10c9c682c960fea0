#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cassiashed {

/// 64-bit xxh3 hash; the same on every node.
std::uint64_t hashBytes(std::string_view Bytes, std::uint64_t Seed = 0);

/// 128-bit xxh3 hash as 32 lower-case hexadecimal digits.
std::string hashHex(std::string_view Bytes);

} // namespace cassiashed
