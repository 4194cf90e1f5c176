// Compression of messages (RFC 1950, through zlib).
//
//   std::string packed = Compress(bytes);
//   Result<std::string> restored = Decompress(packed, bytes.size());
#ifndef VANILLALATCH_BASE_COMPRESS_H_
#define VANILLALATCH_BASE_COMPRESS_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "vanillalatch/base/result.h"

namespace vanillalatch {

// Returns the compressed bytes. Favours speed over size.
std::string Compress(std::string_view bytes);

// Returns the original bytes, which must number exactly `size`. Error: kCorrupt
// if the input is damaged or yields another size.
Result<std::string> Decompress(std::string_view compressed, std::size_t size);

}  // namespace vanillalatch

#endif  // VANILLALATCH_BASE_COMPRESS_H_
