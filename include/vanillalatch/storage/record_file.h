// A file of checked records: each one stands behind its length and checksums.
// A record is appended and synced before the next one is written, so a crash
// can only damage the last one.
//
//   disk.Append("log", EncodeRecord(payload));
//   disk.Sync("log");
//   ...
//   RecordScan scan = DecodeRecords(*disk.Read("log")).value();
//   if (scan.torn) disk.Replace("log", text.substr(0, scan.valid_bytes));
#ifndef VANILLALATCH_STORAGE_RECORD_FILE_H_
#define VANILLALATCH_STORAGE_RECORD_FILE_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "vanillalatch/base/result.h"

namespace vanillalatch {

// Bytes in front of each payload: length, checksum of the length, checksum of
// the payload.
inline constexpr std::size_t kRecordHeaderBytes = 16;

struct RecordScan {
  std::vector<std::string_view> payloads;  // Into the text that was scanned.
  std::size_t valid_bytes = 0;
  bool torn = false;  // The last record was incomplete or damaged.
};

// The record of `payload`, which must not be empty.
std::string EncodeRecord(std::string_view payload);

// Reads every record. A damaged last record is left out; a damaged record
// before the last is an error. Error: kCorrupt.
Result<RecordScan> DecodeRecords(std::string_view text);

}  // namespace vanillalatch

#endif  // VANILLALATCH_STORAGE_RECORD_FILE_H_
