#include "vanillalatch/base/compress.h"

#include <zlib.h>

namespace vanillalatch {
namespace {

const Bytef* ToZlib(std::string_view bytes) {
  return reinterpret_cast<const Bytef*>(bytes.data());
}

}  // namespace

std::string Compress(std::string_view bytes) {
  uLongf size = compressBound(bytes.size());
  std::string packed(size, '\0');
  // Fails only if the buffer is too small, which compressBound() excludes, or
  // if memory is exhausted.
  if (compress2(reinterpret_cast<Bytef*>(packed.data()), &size, ToZlib(bytes),
                bytes.size(), Z_BEST_SPEED) != Z_OK) {
    throw Error(ErrorKind::kInternal,
                "zlib can't compress " + std::to_string(bytes.size()) + " B");
  }
  packed.resize(size);
  return packed;
}

Result<std::string> Decompress(std::string_view compressed, std::size_t size) {
  std::string bytes(size, '\0');
  uLongf written = size;
  const int status =
      uncompress(reinterpret_cast<Bytef*>(bytes.data()), &written,
                 ToZlib(compressed), compressed.size());
  if (status != Z_OK || written != size) {
    return Error(ErrorKind::kCorrupt,
                 "can't decompress " + std::to_string(compressed.size()) +
                     " B to " + std::to_string(size) + " B");
  }
  return bytes;
}

}  // namespace vanillalatch
