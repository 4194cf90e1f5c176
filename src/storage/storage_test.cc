#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

#include "vanillalatch/storage/disk.h"
#include "vanillalatch/storage/record_file.h"

namespace vanillalatch {
namespace {

const std::string& ThreeRecords() {
  static const std::string text =
      EncodeRecord("first") + EncodeRecord("second") + EncodeRecord("third");
  return text;
}

constexpr std::size_t kTwoRecordsBytes = 2 * kRecordHeaderBytes + 11;

TEST_CASE("records are read back in order", "[storage]") {
  const RecordScan scan = DecodeRecords(ThreeRecords()).value();
  CHECK(scan.payloads ==
        std::vector<std::string_view>{"first", "second", "third"});
  CHECK_FALSE(scan.torn);
  CHECK(scan.valid_bytes == ThreeRecords().size());
  CHECK(DecodeRecords("").value().payloads.empty());
}

TEST_CASE("a last record that is cut short is left out", "[storage]") {
  for (std::size_t n = kTwoRecordsBytes + 1; n < ThreeRecords().size(); ++n) {
    const std::string text = ThreeRecords().substr(0, n);
    const RecordScan scan = DecodeRecords(text).value();
    CAPTURE(n);
    CHECK(scan.torn);
    CHECK(scan.payloads.size() == 2);
    CHECK(scan.valid_bytes == kTwoRecordsBytes);
  }
}

TEST_CASE("a flipped bit is cut off in the last record and refused before it",
          "[storage]") {
  for (std::size_t n = 0; n < 8 * ThreeRecords().size(); ++n) {
    std::string text = ThreeRecords();
    text[n / 8] = static_cast<char>(text[n / 8] ^ (1 << (n % 8)));
    const Result<RecordScan> scan = DecodeRecords(text);
    CAPTURE(n);
    if (n / 8 < kTwoRecordsBytes) {
      CHECK(scan.error().kind() == ErrorKind::kCorrupt);
    } else {
      CHECK(scan.value().torn);
      CHECK(scan.value().valid_bytes == kTwoRecordsBytes);
    }
  }
}

TEST_CASE("damage before a torn last record is refused too", "[storage]") {
  for (std::size_t n = 0; n < kTwoRecordsBytes; ++n) {
    std::string text = ThreeRecords().substr(0, ThreeRecords().size() - 1);
    text[n] = static_cast<char>(text[n] ^ 1);
    const Result<RecordScan> scan = DecodeRecords(text);
    CAPTURE(n);
    // Damage in the header of the second record hides its length. No intact
    // record follows it, so it looks like a torn last record.
    const bool last_header =
        n >= kRecordHeaderBytes + 5 &&
        n < kRecordHeaderBytes + 5 + kRecordHeaderBytes / 2;
    CHECK((scan.ok() && last_header) !=
          (!scan.ok() && scan.error().kind() == ErrorKind::kCorrupt));
  }
}

struct DamageRow {
  const char* name;
  std::size_t first;  // First damaged byte.
  std::size_t size;   // Number of damaged bytes.
  std::size_t offset;
  std::size_t bytes;
  std::size_t payload_bytes;
  bool has_intact_payload;
  std::vector<std::string_view> later;
};

TEST_CASE("damage is described by what it hides and what follows it",
          "[storage]") {
  constexpr std::size_t kFirst = kRecordHeaderBytes + 5;
  constexpr std::size_t kSecond = kRecordHeaderBytes + 6;
  constexpr std::size_t kThird = kRecordHeaderBytes + 5;
  const auto row = GENERATE_COPY(values<DamageRow>(
      {{"nothing", 0, 0, kFirst + kSecond + kThird, 0, 0, false, {}},
       {"first length", 0, 1, 0, kFirst, 0, true, {"second", "third"}},
       {"first payload",
        kRecordHeaderBytes,
        1,
        0,
        kFirst,
        5,
        false,
        {"second", "third"}},
       {"first record", 0, kFirst, 0, kFirst, 0, false, {"second", "third"}},
       {"two records",
        0,
        kFirst + kSecond,
        0,
        kFirst + kSecond,
        0,
        false,
        {"third"}},
       {"last record",
        kFirst + kSecond,
        kThird,
        kFirst + kSecond,
        kThird,
        0,
        false,
        {}}}));
  CAPTURE(row.name);
  std::string text = ThreeRecords();
  text.replace(row.first, row.size, row.size, '\0');
  const RecordDamage damage = FindRecordDamage(text);
  CHECK(damage.offset == row.offset);
  CHECK(damage.bytes == row.bytes);
  CHECK(damage.payload_bytes == row.payload_bytes);
  CHECK(damage.has_intact_payload == row.has_intact_payload);
  CHECK(damage.later == row.later);
  CHECK(damage.is_last == row.later.empty());
}

TEST_CASE("files of a folder are appended, replaced and removed", "[storage]") {
  const std::string folder = "build/test-data/storage/nested";
  std::filesystem::remove_all(folder);
  const auto disk = OpenDisk(folder).value();
  CHECK_FALSE(disk->Read("log").has_value());
  disk->Append("log", "one");
  disk->Append("log", "two");
  disk->Sync("log");
  CHECK(disk->Read("log") == "onetwo");
  disk->Replace("log", "three");
  CHECK(OpenDisk(folder).value()->Read("log") == "three");
  CHECK_FALSE(std::filesystem::exists(folder + "/log.tmp"));
  disk->Remove("log");
  disk->Remove("log");
  CHECK_FALSE(disk->Read("log").has_value());
}

TEST_CASE("a folder that can't be made is an error of the storage",
          "[storage]") {
  std::filesystem::create_directories("build/test-data");
  std::ofstream("build/test-data/plain-file") << "x";
  CHECK(OpenDisk("build/test-data/plain-file/folder").error().kind() ==
        ErrorKind::kStorage);
}

}  // namespace
}  // namespace vanillalatch
