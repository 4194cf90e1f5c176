// An in-memory disk for tests. A simulated crash loses unsynced data or leaves
// a torn write, and can be armed to happen at a given sync.
//
//   FakeDisk disk;
//   disk.CrashAtSync(3, FakeDisk::CrashTiming::kBefore);
//   ...                             // Throws DiskCrash at the third sync.
//   disk.Crash(random, true);
#ifndef VANILLALATCH_SRC_STORAGE_FAKE_DISK_H_
#define VANILLALATCH_SRC_STORAGE_FAKE_DISK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "vanillalatch/storage/disk.h"

namespace vanillalatch {

// Thrown at the sync where the simulated process crashes.
class DiskCrash : public std::runtime_error {
 public:
  DiskCrash() : std::runtime_error("crash at a sync") {}
};

class FakeDisk final : public Disk {
 public:
  enum class CrashTiming : std::uint8_t { kBefore, kAfter };

  std::optional<std::string> Read(std::string_view name) override {
    const auto it = files_.find(name);
    if (it == files_.end()) {
      return std::nullopt;
    }
    return it->second.content;
  }

  void Append(std::string_view name, std::string_view bytes) override {
    files_[std::string(name)].content.append(bytes);
  }

  void Sync(std::string_view name) override {
    RunSyncPoint([&] {
      File& file = files_[std::string(name)];
      file.synced = file.content;
      file.is_durable = true;
    });
  }

  void Replace(std::string_view name, std::string_view bytes) override {
    RunSyncPoint([&] {
      files_[std::string(name)] =
          File{std::string(bytes), std::string(bytes), true};
    });
  }

  void Remove(std::string_view name) override {
    RunSyncPoint([&] { files_.erase(std::string(name)); });
  }

  // Makes the n-th sync from now on throw DiskCrash, before or after it takes
  // effect.
  void CrashAtSync(std::uint64_t n, CrashTiming timing) {
    crash_at_sync_ = syncs_ + n;
    crash_timing_ = timing;
  }

  void CancelCrash() { crash_at_sync_ = 0; }

  // Simulates a power failure: unsynced bytes are lost. With `torn`, a random
  // part of them stays, and its last byte is damaged.
  void Crash(std::mt19937_64& random, bool torn) {
    crash_at_sync_ = 0;
    for (auto it = files_.begin(); it != files_.end();) {
      File& file = it->second;
      const std::string tail = file.content.substr(
          std::min(file.synced.size(), file.content.size()));
      file.content = file.synced;
      if (torn && !tail.empty() && file.is_durable) {
        const std::size_t kept_bytes = 1 + random() % tail.size();
        file.content += tail.substr(0, kept_bytes);
        file.content.back() = static_cast<char>(file.content.back() ^ 0x40);
      }
      file.synced = file.content;
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
  struct File {
    std::string content;
    std::string synced;
    bool is_durable = false;  // The file itself survives a crash.
  };

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
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_STORAGE_FAKE_DISK_H_
