// An in-memory disk for tests. A simulated loss of power keeps, loses or tears
// each write since the last sync, whatever became of the writes before it. It
// can be armed to happen at a given sync. A process that is only killed leaves
// the files as they are.
//
//   FakeDisk disk;
//   disk.CrashAtSync(3, FakeDisk::CrashTiming::kBefore);
//   ...                             // Throws DiskCrash at the third sync.
//   disk.Crash(random, true);
#ifndef VANILLALATCH_SRC_STORAGE_FAKE_DISK_H_
#define VANILLALATCH_SRC_STORAGE_FAKE_DISK_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "vanillalatch/storage/disk.h"

namespace vanillalatch {

// Thrown at the sync where the simulated process crashes.
class DiskCrash : public std::runtime_error {
 public:
  DiskCrash() : std::runtime_error("crash at a sync") {}
};

class FakeDisk final : public Disk {
 public:
  static constexpr std::size_t kUnlimited = std::string::npos;

  enum class CrashTiming : std::uint8_t { kBefore, kAfter };

  std::optional<std::string> Read(std::string_view name) override {
    const auto it = files_.find(name);
    if (it == files_.end()) {
      return std::nullopt;
    }
    return it->second.content;
  }

  void Append(std::string_view name, std::string_view bytes) override {
    File& file = files_[std::string(name)];
    const std::string_view taken = bytes.substr(0, room_);
    if (!taken.empty()) {
      file.unsynced.push_back({file.content.size(), taken.size()});
      file.content.append(taken);
    }
    TakeRoom(bytes.size());
  }

  void Sync(std::string_view name) override {
    RunSyncPoint([&] {
      File& file = files_[std::string(name)];
      const auto writes = std::exchange(file.unsynced, {});
      if (std::exchange(fail_next_sync_, false)) {
        throw Error(ErrorKind::kStorage, "the sync failed");
      }
      for (const Write& it : writes) {
        file.StoreDurably(it.offset, file.content.substr(it.offset, it.size));
      }
      file.is_durable = true;
    });
  }

  void Replace(std::string_view name, std::string_view bytes) override {
    TakeRoom(bytes.size());
    RunSyncPoint([&] {
      files_[std::string(name)] =
          File{std::string(bytes), std::string(bytes), {}, true};
    });
  }

  void Remove(std::string_view name) override {
    RunSyncPoint([&] { files_.erase(std::string(name)); });
  }

  // Names are durable at once.
  void SyncNames() override {}

  // Takes `bytes` more bytes. Of a record that is too long, it takes the start;
  // a file that is too long for it is not replaced.
  void SetRoom(std::size_t bytes) { room_ = bytes; }
  // Makes the next sync of a file fail. The writes that it was to store are
  // not stored by a later sync either, although they can be read.
  void FailNextSync() { fail_next_sync_ = true; }
  void CancelSyncFailure() { fail_next_sync_ = false; }

  // Makes the n-th sync from now on throw DiskCrash, before or after it takes
  // effect.
  void CrashAtSync(std::uint64_t n, CrashTiming timing) {
    crash_at_sync_ = syncs_ + n;
    crash_timing_ = timing;
  }

  void CancelCrash() { crash_at_sync_ = 0; }

  // Simulates a loss of power: unsynced writes are lost. With `torn`, each of
  // them is stored whole, stored in part or lost.
  void Crash(std::mt19937_64& random, bool torn) {
    crash_at_sync_ = 0;
    for (auto it = files_.begin(); it != files_.end();) {
      File& file = it->second;
      for (const Write& write : file.unsynced) {
        if (torn) {
          file.StorePart(write, random);
        }
      }
      file.unsynced.clear();
      file.content = file.synced;
      it = file.is_durable ? std::next(it) : files_.erase(it);
    }
  }

  // Flips the lowest bit of one byte of a stored file.
  void FlipBit(std::string_view name, std::size_t byte) {
    File& file = files_.find(name)->second;
    file.content[byte] = static_cast<char>(file.content[byte] ^ 1);
    file.synced = file.content;
  }

  // Removes all files.
  void Wipe() { files_.clear(); }
  std::uint64_t syncs() const { return syncs_; }

 private:
  struct Write {
    std::size_t offset = 0;
    std::size_t size = 0;
  };
  struct File {
    std::string content;          // As read by a process.
    std::string synced;           // What a loss of power leaves.
    std::vector<Write> unsynced;  // In the order of the writes.
    bool is_durable = false;      // The file itself survives a loss of power.

    void StoreDurably(std::size_t offset, std::string_view bytes) {
      synced.resize(std::max(synced.size(), offset + bytes.size()));
      synced.replace(offset, bytes.size(), bytes);
    }

    void StorePart(const Write& write, std::mt19937_64& random) {
      std::string bytes = content.substr(write.offset, write.size);
      switch (random() % 3) {
        case 0:
          return;
        case 1:
          bytes.resize(1 + random() % bytes.size());
          bytes.back() = static_cast<char>(bytes.back() ^ 0x40);
          break;
        default:
          break;
      }
      StoreDurably(write.offset, bytes);
    }
  };

  void TakeRoom(std::size_t bytes) {
    const bool fits = bytes <= room_;
    if (room_ != kUnlimited) {
      room_ -= std::min(bytes, room_);
    }
    if (!fits) {
      throw Error(ErrorKind::kStorage, "the disk is full");
    }
  }

  // Runs `work`, which makes data durable, unless an armed crash comes first.
  template <typename Work>
  void RunSyncPoint(Work work) {
    const bool crash = ++syncs_ == crash_at_sync_;
    if (!crash || crash_timing_ == CrashTiming::kAfter) {
      work();
    }
    if (crash) {
      throw DiskCrash();
    }
  }

  std::map<std::string, File, std::less<>> files_;
  std::uint64_t syncs_ = 0;
  std::uint64_t crash_at_sync_ = 0;
  CrashTiming crash_timing_ = CrashTiming::kBefore;
  std::size_t room_ = kUnlimited;
  bool fail_next_sync_ = false;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_STORAGE_FAKE_DISK_H_
