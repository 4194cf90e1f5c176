// Encodes a file as a sequence of records with checksums. Each record has a
// header with its length and checksums. The writer appends and syncs a record
// before it writes the next one, so a crash can only damage the last record.
//
//   disk.Append("log", EncodeRecord(payload));
//   disk.Sync("log");
//   ...
//   const std::string text = *disk.Read("log");
//   RecordScan scan = DecodeRecords(text).value();
//   if (scan.torn) disk.Replace("log", text.substr(0, scan.valid_bytes));
#ifndef VANILLALATCH_STORAGE_RECORD_FILE_H_
#define VANILLALATCH_STORAGE_RECORD_FILE_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "vanillalatch/base/result.h"

namespace vanillalatch {

// Size of the header before each payload: 4 bytes for the length, 4 for the
// checksum of the length, 8 for the checksum of the payload.
inline constexpr std::size_t kRecordHeaderBytes = 16;

// The records of a file.
struct RecordScan {
  std::vector<std::string_view> payloads;  // Point into the scanned text.
  std::size_t valid_bytes = 0;  // Size of the intact records, with headers.
  bool torn = false;            // The last record was incomplete or damaged.
};

// What follows the intact records at the start of a file.
struct RecordDamage {
  std::size_t offset = 0;  // Of the first damaged record, in bytes.
  std::size_t bytes = 0;   // Up to the next intact record or the end; 0: none.
  // Size of the damaged record's payload; 0 if its header is damaged, too.
  std::size_t payload_bytes = 0;
  // Only the length of the damaged record is wrong: its payload, up to the next
  // intact record or the end, matches its checksum.
  bool has_intact_payload = false;
  bool is_last = true;  // The end of the file may be a single torn record.
  // Payloads of the intact records after the damage; they point into the text.
  std::vector<std::string_view> later;
};

// Encodes `payload`, which must not be empty, as a record.
std::string EncodeRecord(std::string_view payload);

// Decodes all records. A damaged last record is left out and reported as torn.
// Error: kCorrupt if a record before the last one is damaged. One case can't be
// told from a torn record: if the last record is incomplete or damaged, damage
// to the length of the record before it makes both of them count as torn.
Result<RecordScan> DecodeRecords(std::string_view text);

// Finds the first damaged record and the intact records after it.
RecordDamage FindRecordDamage(std::string_view text);

}  // namespace vanillalatch

#endif  // VANILLALATCH_STORAGE_RECORD_FILE_H_
