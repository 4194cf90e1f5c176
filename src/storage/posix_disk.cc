#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <utility>

#include "vanillalatch/storage/disk.h"

namespace vanillalatch {
namespace {

constexpr mode_t kFileMode = 0644;

[[noreturn]] void ThrowErrno(std::string_view what, const std::string& path) {
  throw Error(ErrorKind::kStorage,
              std::string(what) + " " + path + ": " + std::strerror(errno));
}

// Closes its file descriptor at the end of the scope.
class OpenFile {
 public:
  OpenFile(const std::string& path, int flags)
      : path_(path), fd_(::open(path.c_str(), flags | O_CLOEXEC, kFileMode)) {}
  OpenFile(const OpenFile&) = delete;
  OpenFile& operator=(const OpenFile&) = delete;
  ~OpenFile() {
    if (fd_ >= 0) {
      ::close(fd_);
    }
  }

  bool ok() const { return fd_ >= 0; }

  void Write(std::string_view bytes) {
    while (!bytes.empty()) {
      const ssize_t n = ::write(fd_, bytes.data(), bytes.size());
      if (n < 0 && errno == EINTR) {
        continue;
      }
      if (n < 0) {
        ThrowErrno("can't write", path_);
      }
      bytes.remove_prefix(static_cast<std::size_t>(n));
    }
  }

  void Sync() {
    if (::fsync(fd_) != 0) {
      ThrowErrno("can't sync", path_);
    }
  }

  std::string ReadAll() {
    std::string text;
    char buf[16384];
    for (;;) {
      const ssize_t n = ::read(fd_, buf, sizeof buf);
      if (n < 0 && errno == EINTR) {
        continue;
      }
      if (n < 0) {
        ThrowErrno("can't read", path_);
      }
      if (n == 0) {
        return text;
      }
      text.append(buf, static_cast<std::size_t>(n));
    }
  }

 private:
  std::string path_;
  int fd_;
};

// Files in one folder of the local file system. The folder is synced as well,
// as a crash may otherwise lose the name of a new or renamed file.
class PosixDisk final : public Disk {
 public:
  explicit PosixDisk(std::string folder) : folder_(std::move(folder)) {}

  std::optional<std::string> Read(std::string_view name) override {
    OpenFile file(Path(name), O_RDONLY);
    if (!file.ok()) {
      if (errno == ENOENT) {
        return std::nullopt;
      }
      ThrowErrno("can't open", Path(name));
    }
    return file.ReadAll();
  }

  void Append(std::string_view name, std::string_view bytes) override {
    Open(Path(name), O_WRONLY | O_APPEND | O_CREAT,
         [&](OpenFile& file) { file.Write(bytes); });
  }

  void Sync(std::string_view name) override {
    Open(Path(name), O_RDONLY, [](OpenFile& file) { file.Sync(); });
    SyncNames();
  }

  void Replace(std::string_view name, std::string_view bytes) override {
    const std::string path = Path(name);
    const std::string temporary = path + ".tmp";
    Open(temporary, O_WRONLY | O_CREAT | O_TRUNC, [&](OpenFile& file) {
      file.Write(bytes);
      file.Sync();
    });
    if (::rename(temporary.c_str(), path.c_str()) != 0) {
      ThrowErrno("can't rename", temporary);
    }
    SyncNames();
  }

  void Remove(std::string_view name) override {
    if (::unlink(Path(name).c_str()) != 0 && errno != ENOENT) {
      ThrowErrno("can't remove", Path(name));
    }
    SyncNames();
  }

  void SyncNames() override {
    Open(folder_, O_RDONLY | O_DIRECTORY, [](OpenFile& file) { file.Sync(); });
  }

 private:
  std::string Path(std::string_view name) const {
    return folder_ + "/" + std::string(name);
  }

  template <typename Operation>
  static void Open(const std::string& path, int flags, Operation operation) {
    OpenFile file(path, flags);
    if (!file.ok()) {
      ThrowErrno("can't open", path);
    }
    operation(file);
  }

  std::string folder_;
};

}  // namespace

Result<std::unique_ptr<Disk>> OpenDisk(const std::string& folder) {
  std::error_code ec;
  std::filesystem::create_directories(folder, ec);
  if (ec) {
    return Error(ErrorKind::kStorage,
                 "can't create " + folder + ": " + ec.message());
  }
  return std::unique_ptr<Disk>(std::make_unique<PosixDisk>(folder));
}

}  // namespace vanillalatch
