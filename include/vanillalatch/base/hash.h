// Stable hashing: the same value on every VM and in every version.
//
//   NodeId id{StableHash("entry-north-1")};
//   std::uint64_t score = StableHash(service.value(), node.value());
#ifndef VANILLALATCH_BASE_HASH_H_
#define VANILLALATCH_BASE_HASH_H_

#include <cstdint>
#include <string_view>

namespace vanillalatch {

// 64-bit xxHash (XXH3) of the bytes.
std::uint64_t StableHash(std::string_view bytes);

// 64-bit xxHash (XXH3) of two integers; the rendezvous score of a pair.
std::uint64_t StableHash(std::uint64_t key, std::uint64_t candidate);

}  // namespace vanillalatch

#endif  // VANILLALATCH_BASE_HASH_H_
