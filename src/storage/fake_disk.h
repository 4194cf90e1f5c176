// A disk for tests: it loses what was not synced, may keep a part of the last
// write, and can crash at a chosen sync.
//
//   FakeDisk disk;
//   disk.CrashAtSync(3, FakeDisk::Moment::kBefore);
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

// The process dies at this point of a write.
class DiskCrash : public std::runtime_error {
 public:
  DiskCrash() : std::runtime_error("crash at a sync") {}
};

class FakeDisk final : public Disk {
 public:
  enum class Moment : std::uint8_t { kBefore, kAfter };

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
    AtSyncPoint([&] {
      File& file = files_[std::string(name)];
      file.synced = file.content;
      file.exists = true;
    });
  }

  void Replace(std::string_view name, std::string_view bytes) override {
    AtSyncPoint([&] {
      files_[std::string(name)] =
          File{std::string(bytes), std::string(bytes), true};
    });
  }

  void Remove(std::string_view name) override {
    AtSyncPoint([&] { files_.erase(std::string(name)); });
  }

  // The n-th sync from now on throws DiskCrash, before or after it works.
  void CrashAtSync(std::uint64_t n, Moment moment) {
    crash_at_ = syncs_ + n;
    moment_ = moment;
  }

  void CancelCrash() { crash_at_ = 0; }

  // What a power cut leaves. With `torn`, a part of the unsynced bytes stays,
  // its last byte damaged.
  void Crash(std::mt19937_64& random, bool torn) {
    crash_at_ = 0;
    for (auto it = files_.begin(); it != files_.end();) {
      File& file = it->second;
      const std::string tail = file.content.substr(
          std::min(file.synced.size(), file.content.size()));
      file.content = file.synced;
      if (torn && !tail.empty() && file.exists) {
        const std::size_t kept = 1 + random() % tail.size();
        file.content += tail.substr(0, kept);
        file.content.back() = static_cast<char>(file.content.back() ^ 0x40);
      }
      file.synced = file.content;
      it = file.exists ? std::next(it) : files_.erase(it);
    }
  }

  // Flips one bit of a stored file.
  void Flip(std::string_view name, std::size_t byte) {
    File& file = files_.find(name)->second;
    file.content[byte] = static_cast<char>(file.content[byte] ^ 1);
    file.synced = file.content;
  }

  void Wipe() { files_.clear(); }
  std::uint64_t syncs() const { return syncs_; }

 private:
  struct File {
    std::string content;
    std::string synced;
    bool exists = false;  // Survives a crash.
  };

  template <typename Work>
  void AtSyncPoint(Work work) {
    const bool crash = ++syncs_ == crash_at_;
    if (!crash || moment_ == Moment::kAfter) {
      work();
    }
    if (crash) {
      throw DiskCrash();
    }
  }

  std::map<std::string, File, std::less<>> files_;
  std::uint64_t syncs_ = 0;
  std::uint64_t crash_at_ = 0;
  Moment moment_ = Moment::kBefore;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_STORAGE_FAKE_DISK_H_
