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

// True if an intact record starts anywhere after the first byte of `text`.
bool HasLaterRecord(std::string_view text) {
  for (std::size_t n = 1; n + kRecordHeaderBytes < text.size(); ++n) {
    const std::string_view rest = text.substr(n);
    if (IsPayloadIntact(rest, PayloadLength(rest))) {
      return true;
    }
  }
  return false;
}

// True if the damaged record at the start of `text` is not the last record.
bool IsDamageBeforeLastRecord(std::string_view text, std::size_t length) {
  if (length != 0 && text.size() > kRecordHeaderBytes + length) {
    return true;
  }
  return HasLaterRecord(text);
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
  RecordScan scan;
  while (scan.valid_bytes < text.size()) {
    const std::string_view rest = text.substr(scan.valid_bytes);
    const std::size_t length = PayloadLength(rest);
    if (!IsPayloadIntact(rest, length)) {
      if (IsDamageBeforeLastRecord(rest, length)) {
        return Error(ErrorKind::kCorrupt, "damaged record at byte " +
                                              std::to_string(scan.valid_bytes) +
                                              " before the last record");
      }
      scan.torn = true;
      break;
    }
    scan.payloads.push_back(rest.substr(kRecordHeaderBytes, length));
    scan.valid_bytes += kRecordHeaderBytes + length;
  }
  return scan;
}

}  // namespace vanillalatch
