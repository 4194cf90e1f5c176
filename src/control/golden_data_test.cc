// Opens the data folders that landed versions have written
// (scripts/golden_data), damaged ones, and one of a newer version.
#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <string>

#include "src/storage/fake_disk.h"
#include "vanillalatch/consensus/replica_store.h"
#include "vanillalatch/control/control_node.h"
#include "vanillalatch/storage/record_file.h"

namespace vanillalatch {
namespace {

constexpr TimePoint kStart{std::chrono::seconds(1)};

std::string ReadFile(const std::string& path) {
  CAPTURE(path);
  std::ifstream file(path, std::ios::binary);
  REQUIRE(file.is_open());
  return {std::istreambuf_iterator<char>(file), {}};
}

FakeDisk LoadDisk(const std::string& commit) {
  FakeDisk disk;
  for (const char* it : {"identity", "log", "snapshot"}) {
    disk.Replace(it, ReadFile("golden/data/" + commit + "/" + it));
  }
  return disk;
}

Result<std::unique_ptr<ControlNode>> Open(Disk& disk) {
  ControlOptions options;
  options.vm = "control-1";
  for (const char* it : {"control-1", "control-2", "control-3"}) {
    options.configured_vms.push_back({it, std::string(it) + ":7400", "north"});
  }
  return ControlNode::Create(options, disk, kStart, 1);
}

struct GoldenData {
  const char* commit;
  std::uint64_t revision;
  std::uint32_t evacuations;
};

// Guards against a change of a stored form that makes the data of an earlier
// version unreadable, or that loses a change or an evacuation at the upgrade.
TEST_CASE("the stored data of landed versions are read", "[control][golden]") {
  const auto row =
      GENERATE(GoldenData{"e3d5096", 271, 0}, GoldenData{"8202a02", 272, 1},
               GoldenData{"0608a9a", 272, 1});
  CAPTURE(row.commit);
  FakeDisk disk = LoadDisk(row.commit);
  const auto node = Open(disk);
  REQUIRE(node.ok());
  (*node)->OnTick(kStart);
  CHECK((*node)->Status().revision() == row.revision);
  CHECK((*node)->Status().evacuations() == row.evacuations);
  CHECK((*node)->Status().fleet_level() == 0);
}

// Guards against a crash, and against damaged data that are served.
TEST_CASE("a file that is cut short is an error with its name",
          "[control][golden]") {
  constexpr std::size_t kStep = 101;
  const std::string name = GENERATE("identity", "snapshot", "log");
  FakeDisk whole = LoadDisk("0608a9a");
  const std::string content = *whole.Read(name);
  for (std::size_t n = 0; n < content.size(); n += kStep) {
    CAPTURE(name, n);
    FakeDisk disk = LoadDisk("0608a9a");
    disk.Replace(name, content.substr(0, n));
    const auto node = Open(disk);
    if (name == "log" && node.ok()) {
      continue;  // A torn end of the log is that of a crash.
    }
    REQUIRE_FALSE(node.ok());
    CHECK(node.error().kind() == ErrorKind::kCorrupt);
    CHECK_THAT(std::string(node.error().what()), Catch::Contains(name));
  }
}

// Guards against an older build that starts on data that it can't read, and
// against one that changes them.
TEST_CASE("data of a newer level are refused and stay as they are",
          "[control][golden]") {
  const bool in_snapshot = GENERATE(false, true);
  FakeDisk disk = LoadDisk("0608a9a");
  pb::FleetLevel level;
  level.set_level(kCurrentLevel.value() + 1);
  level.set_oldest_reader(kCurrentLevel.value() + 1);
  if (in_snapshot) {
    const std::string content = *disk.Read("snapshot");
    pb::Snapshot snapshot;
    REQUIRE(snapshot.ParseFromString(
        std::string(DecodeRecords(content)->payloads.front())));
    *snapshot.mutable_fleet_level() = level;
    disk.Replace("snapshot", EncodeRecord(snapshot.SerializeAsString()));
  } else {
    StoredReplica stored =
        ReplicaStore::Open(disk, "control-1", 1)->TakeStoredReplica();
    pb::StoredBatch batch;
    pb::LogEntry& entry = *batch.add_entries();
    entry.set_index(stored.log.last_index() + 1);
    entry.set_term(stored.vote.term());
    *entry.mutable_fleet_level() = level;
    disk.Append("log", EncodeRecord(batch.SerializeAsString()));
  }
  const std::string log = *disk.Read("log");
  const std::string snapshot = *disk.Read("snapshot");
  const auto node = Open(disk);
  REQUIRE_FALSE(node.ok());
  CHECK(node.error().kind() == ErrorKind::kUnsupported);
  CHECK_THAT(
      std::string(node.error().what()),
      Catch::Contains("level " + std::to_string(kCurrentLevel.value() + 1)));
  CHECK(*disk.Read("log") == log);
  CHECK(*disk.Read("snapshot") == snapshot);
}

}  // namespace
}  // namespace vanillalatch
