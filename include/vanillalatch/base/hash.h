// Stable hashing: the value is the same on every VM and in every version of the
// program, so it may be sent in messages and stored.
//
//   NodeId id{StableHash("entry-north-1")};
//   std::uint64_t score = StableHash(service.value(), node.value());
#ifndef VANILLALATCH_BASE_HASH_H_
#define VANILLALATCH_BASE_HASH_H_

#include <cstdint>
#include <string_view>

namespace vanillalatch {

// Returns the 64-bit xxHash (XXH3) of the bytes.
std::uint64_t StableHash(std::string_view bytes);

// Returns the 64-bit xxHash (XXH3) of two integers, used as the score of
// `candidate` for `key` in rendezvous hashing.
std::uint64_t StableHash(std::uint64_t key, std::uint64_t candidate);

}  // namespace vanillalatch

#endif  // VANILLALATCH_BASE_HASH_H_
