// Records what the process does to the files below $DISK_RECORD_OF in the
// folder $DISK_RECORD, in the format of FileHistory. The linker replaces the
// program's own system calls by these functions (--wrap). Each file also gets a
// hard link there, so that its content outlives its name.
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstdarg>
#include <cstdlib>
#include <map>
#include <mutex>
#include <string>

// NOLINTBEGIN(bugprone-reserved-identifier,readability-identifier-naming)
extern "C" {
int __real_open(const char* path, int flags, ...);
ssize_t __real_write(int fd, const void* bytes, size_t size);
int __real_fsync(int fd);
int __real_rename(const char* from, const char* to);
int __real_unlink(const char* path);
}

namespace {

class Recorder {
 public:
  static Recorder& Get() {
    static auto* recorder = new Recorder;
    return *recorder;
  }

  // Returns the name within the recorded folder; empty for any other path.
  std::string NameOf(const std::string& path) const {
    const std::string prefix = folder_ + "/";
    return !folder_.empty() && path.starts_with(prefix)
               ? path.substr(prefix.size())
               : "";
  }

  bool IsFolder(const std::string& path) const {
    return !folder_.empty() && path == folder_;
  }

  void Note(const std::string& line) const {
    const std::string text = line + "\n";
    static_cast<void>(__real_write(lines_, text.data(), text.size()));
  }

  std::string record() const { return record_; }

  std::mutex mutex;
  std::map<int, std::string> inodes;  // By descriptor; empty for the folder.

 private:
  Recorder() {
    const char* folder = std::getenv("DISK_RECORD_OF");
    const char* record = std::getenv("DISK_RECORD");
    if (folder != nullptr && record != nullptr) {
      folder_ = folder;
      record_ = record;
      lines_ = __real_open((record_ + "/lines").c_str(),
                           O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
    }
  }

  std::string folder_;
  std::string record_;
  int lines_ = -1;
};

std::string InodeOf(int fd) {
  struct stat info {};
  fstat(fd, &info);
  return std::to_string(info.st_ino);
}

}  // namespace

extern "C" {

int __wrap_open(const char* path, int flags, ...) {
  mode_t mode = 0;
  if ((flags & O_CREAT) != 0) {
    va_list arguments;
    va_start(arguments, flags);
    mode = va_arg(arguments, mode_t);
    va_end(arguments);
  }
  Recorder& recorder = Recorder::Get();
  const std::string name = recorder.NameOf(path);
  const bool tracked = !name.empty() || recorder.IsFolder(path);
  const std::lock_guard<std::mutex> lock(recorder.mutex);
  const bool is_new = tracked && access(path, F_OK) != 0;
  const int fd = __real_open(path, flags, mode);
  if (fd < 0) {
    return fd;
  }
  // A descriptor that was closed may be used again for another file.
  recorder.inodes.erase(fd);
  if (!tracked) {
    return fd;
  }
  const std::string inode = name.empty() ? "" : InodeOf(fd);
  recorder.inodes[fd] = inode;
  if (is_new) {
    static_cast<void>(link(path, (recorder.record() + "/" + inode).c_str()));
    recorder.Note("create " + inode + " " + name);
  }
  return fd;
}

ssize_t __wrap_write(int fd, const void* bytes, size_t size) {
  Recorder& recorder = Recorder::Get();
  {
    const std::lock_guard<std::mutex> lock(recorder.mutex);
    const auto it = recorder.inodes.find(fd);
    if (it != recorder.inodes.end()) {
      struct stat info {};
      fstat(fd, &info);
      if (S_ISREG(info.st_mode) && InodeOf(fd) == it->second) {
        recorder.Note("write " + it->second + " " +
                      std::to_string(info.st_size) + " " +
                      std::to_string(size));
      }
    }
  }
  return __real_write(fd, bytes, size);
}

int __wrap_fsync(int fd) {
  const int result = __real_fsync(fd);
  Recorder& recorder = Recorder::Get();
  const std::lock_guard<std::mutex> lock(recorder.mutex);
  const auto it = recorder.inodes.find(fd);
  if (result == 0 && it != recorder.inodes.end()) {
    recorder.Note(it->second.empty() ? "sync-names" : "sync " + it->second);
  }
  return result;
}

int __wrap_rename(const char* from, const char* to) {
  Recorder& recorder = Recorder::Get();
  struct stat info {};
  if (!recorder.NameOf(from).empty() && stat(from, &info) == 0) {
    recorder.Note("rename " + std::to_string(info.st_ino) + " " +
                  recorder.NameOf(from) + " " + recorder.NameOf(to));
  }
  return __real_rename(from, to);
}

int __wrap_unlink(const char* path) {
  Recorder& recorder = Recorder::Get();
  if (!recorder.NameOf(path).empty()) {
    recorder.Note("remove " + recorder.NameOf(path));
  }
  return __real_unlink(path);
}

}  // extern "C"
// NOLINTEND(bugprone-reserved-identifier,readability-identifier-naming)
