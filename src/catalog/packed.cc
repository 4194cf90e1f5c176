#include "vanillalatch/catalog/packed.h"

#include <algorithm>

#include "vanillalatch/base/compress.h"
#include "vanillalatch/base/error.h"

namespace vanillalatch {
namespace {

// Limits the memory that a damaged size field can claim.
constexpr std::size_t kMaxUnpackedBytes = std::size_t{64} << 20;
// No input of RFC 1951 yields more bytes for each of its own.
constexpr std::size_t kMaxCompressionRatio = 1032;

}  // namespace

pb::Packed PackBytes(std::string_view bytes) {
  pb::Packed packed;
  packed.set_data(Compress(bytes));
  packed.set_size(static_cast<std::uint32_t>(bytes.size()));
  return packed;
}

Result<std::string> UnpackBytes(const pb::Packed& packed) {
  const std::size_t limit =
      std::min(kMaxUnpackedBytes, packed.data().size() * kMaxCompressionRatio);
  if (packed.size() > limit) {
    return Error(ErrorKind::kTooLarge,
                 "a packed message of " + std::to_string(packed.data().size()) +
                     " B claims to hold " + std::to_string(packed.size()) +
                     " B, the limit is " + std::to_string(limit) + " B");
  }
  return Decompress(packed.data(), packed.size());
}

pb::Packed PackMessage(const google::protobuf::MessageLite& message) {
  return PackBytes(message.SerializeAsString());
}

Result<bool> UnpackMessage(const pb::Packed& packed,
                           google::protobuf::MessageLite& message) {
  const Result<std::string> bytes = UnpackBytes(packed);
  if (!bytes.ok()) {
    return bytes.error();
  }
  if (!message.ParseFromString(*bytes)) {
    return Error(ErrorKind::kCorrupt, "a packed message of " +
                                          std::to_string(packed.size()) +
                                          " B can't be parsed");
  }
  return true;
}

}  // namespace vanillalatch
