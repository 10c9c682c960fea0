#include "cassiashed/base/hash.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace cassiashed {

std::uint64_t hashBytes(std::string_view Bytes, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Bytes.data(), Bytes.size(), Seed);
}

std::string hashHex(std::string_view Bytes) {
  const XXH128_hash_t Hash = XXH3_128bits(Bytes.data(), Bytes.size());
  return fmt::format("{:016x}{:016x}", Hash.high64, Hash.low64);
}

} // namespace cassiashed
