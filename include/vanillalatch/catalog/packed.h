// Compressed messages and texts, as sent and stored in pb::Packed.
//
//   pb::Packed packed = PackMessage(delta);
//   Result<bool> unpacked = UnpackMessage(packed, delta);
#ifndef VANILLALATCH_CATALOG_PACKED_H_
#define VANILLALATCH_CATALOG_PACKED_H_

#include <string>
#include <string_view>

#include "catalog.pb.h"
#include "vanillalatch/base/result.h"

namespace vanillalatch {

pb::Packed PackBytes(std::string_view bytes);
// Errors: kTooLarge above 64 MiB, kCorrupt if the data is damaged.
Result<std::string> UnpackBytes(const pb::Packed& packed);

// Returns the serialised and compressed message.
pb::Packed PackMessage(const google::protobuf::MessageLite& message);
// Replaces `message`. Errors: those of UnpackBytes(), and kCorrupt if the bytes
// can't be parsed.
Result<bool> UnpackMessage(const pb::Packed& packed,
                           google::protobuf::MessageLite& message);

}  // namespace vanillalatch

#endif  // VANILLALATCH_CATALOG_PACKED_H_
