#include "vanillalatch/base/hash.h"

#include <xxhash.h>

#include <array>

namespace vanillalatch {

std::uint64_t StableHash(std::string_view bytes) {
  return XXH3_64bits(bytes.data(), bytes.size());
}

std::uint64_t StableHash(std::uint64_t key, std::uint64_t candidate) {
  const std::array<std::uint64_t, 2> pair = {key, candidate};
  return XXH3_64bits(pair.data(), sizeof(pair));
}

}  // namespace vanillalatch
