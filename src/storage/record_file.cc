#include "vanillalatch/storage/record_file.h"

#include <cstdint>

#include "vanillalatch/base/hash.h"

namespace vanillalatch {
namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kLengthChecksumOffset = 4;
constexpr std::size_t kPayloadChecksumOffset = 8;

// Appends the low `bytes` bytes of `value` in little-endian order.
void AppendInteger(std::uint64_t value, std::size_t bytes, std::string& out) {
  for (std::size_t n = 0; n < bytes; ++n) {
    out.push_back(static_cast<char>((value >> (8 * n)) & 0xff));
  }
}

std::uint64_t ReadInteger(std::string_view text, std::size_t bytes) {
  std::uint64_t value = 0;
  for (std::size_t n = 0; n < bytes; ++n) {
    value |= std::uint64_t{static_cast<std::uint8_t>(text[n])} << (8 * n);
  }
  return value;
}

std::uint32_t LengthChecksum(std::string_view length_bytes) {
  return static_cast<std::uint32_t>(StableHash(length_bytes));
}

// Returns the payload's length if `text` starts with an intact header, else 0.
std::size_t PayloadLength(std::string_view text) {
  if (text.size() < kRecordHeaderBytes) {
    return 0;
  }
  const std::uint64_t checksum =
      ReadInteger(text.substr(kLengthChecksumOffset), 4);
  if (checksum != LengthChecksum(text.substr(0, kLengthBytes))) {
    return 0;
  }
  return ReadInteger(text, kLengthBytes);
}

// True if `text` starts with a complete record whose payload has `length` bytes
// and matches its checksum.
bool IsPayloadIntact(std::string_view text, std::size_t length) {
  if (length == 0 || text.size() - kRecordHeaderBytes < length) {
    return false;
  }
  return ReadInteger(text.substr(kPayloadChecksumOffset), 8) ==
         StableHash(text.substr(kRecordHeaderBytes, length));
}

// Returns the payload of the record at the start of `text`; empty if the record
// is incomplete or damaged.
std::string_view IntactPayload(std::string_view text) {
  const std::size_t length = PayloadLength(text);
  return IsPayloadIntact(text, length) ? text.substr(kRecordHeaderBytes, length)
                                       : std::string_view();
}

// Returns the position of the first intact record after the first byte of
// `text`; its size if there is none.
std::size_t FindLaterRecord(std::string_view text) {
  for (std::size_t n = 1; n + kRecordHeaderBytes < text.size(); ++n) {
    if (!IntactPayload(text.substr(n)).empty()) {
      return n;
    }
  }
  return text.size();
}

// Takes the intact records from the start of `text`.
std::vector<std::string_view> TakeIntactRecords(std::string_view& text) {
  std::vector<std::string_view> payloads;
  for (std::string_view it = IntactPayload(text); !it.empty();
       it = IntactPayload(text)) {
    payloads.push_back(it);
    text.remove_prefix(kRecordHeaderBytes + it.size());
  }
  return payloads;
}

}  // namespace

std::string EncodeRecord(std::string_view payload) {
  std::string out;
  out.reserve(kRecordHeaderBytes + payload.size());
  AppendInteger(payload.size(), kLengthBytes, out);
  AppendInteger(LengthChecksum(out), 4, out);
  AppendInteger(StableHash(payload), 8, out);
  out.append(payload);
  return out;
}

Result<RecordScan> DecodeRecords(std::string_view text) {
  const RecordDamage damage = FindRecordDamage(text);
  if (!damage.is_last) {
    return Error(ErrorKind::kCorrupt, "damaged record at byte " +
                                          std::to_string(damage.offset) +
                                          " before the last record");
  }
  return RecordScan{TakeIntactRecords(text), damage.offset, damage.bytes > 0};
}

RecordDamage FindRecordDamage(std::string_view text) {
  RecordDamage damage;
  std::string_view rest = text;
  TakeIntactRecords(rest);
  damage.offset = text.size() - rest.size();
  damage.payload_bytes = PayloadLength(rest);
  damage.bytes = FindLaterRecord(rest);
  damage.has_intact_payload =
      damage.bytes > kRecordHeaderBytes &&
      IsPayloadIntact(rest, damage.bytes - kRecordHeaderBytes);
  const std::size_t stated_bytes = kRecordHeaderBytes + damage.payload_bytes;
  damage.is_last = damage.bytes == rest.size() &&
                   (damage.payload_bytes == 0 || rest.size() <= stated_bytes);
  rest.remove_prefix(damage.bytes);
  while (!rest.empty()) {
    for (const std::string_view it : TakeIntactRecords(rest)) {
      damage.later.push_back(it);
    }
    rest.remove_prefix(FindLaterRecord(rest));
  }
  return damage;
}

}  // namespace vanillalatch
