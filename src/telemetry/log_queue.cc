#include "src/telemetry/log_queue.h"

#include <unistd.h>

#include <cerrno>
#include <utility>

namespace vanillalatch::internal {
namespace {

// Lines that come within this time are written with one call.
constexpr std::chrono::milliseconds kGather{10};

// True if all was written; blocks while the reader does not read.
bool WriteAll(int fd, std::string_view text) {
  while (!text.empty()) {
    const ssize_t n = write(fd, text.data(), text.size());
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n <= 0) {
      return false;
    }
    text.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

}  // namespace

// Outlives the queue while its thread is held up by the reader.
struct LogQueue::Shared {
  ~Shared() {
    if (fd > STDERR_FILENO) {
      close(fd);
    }
  }

  int fd = -1;
  LeftOutLine left_out_line;
  mutable std::mutex mutex;
  std::condition_variable news;
  std::condition_variable written;
  std::string waiting;
  std::uint64_t lines = 0;  // In `waiting`.
  bool writing = false;
  bool ended = false;
  std::uint64_t left_out = 0;
  std::uint64_t left_out_told = 0;
};

LogQueue::LogQueue(int fd, LeftOutLine left_out_line)
    : shared_(std::make_shared<Shared>()) {
  shared_->fd = fd;
  shared_->left_out_line = std::move(left_out_line);
  writer_ = std::thread(&LogQueue::Write, shared_);
}

LogQueue::~LogQueue() {
  {
    const std::lock_guard lock(shared_->mutex);
    shared_->ended = true;
  }
  shared_->news.notify_all();
  const bool done = Flush(std::chrono::milliseconds(0));
  if (done) {
    writer_.join();
  } else {
    writer_.detach();
  }
}

void LogQueue::Push(std::string_view line, bool important) {
  const std::lock_guard lock(shared_->mutex);
  const std::size_t room = important ? kMostBytes : kMostBytes - kReservedBytes;
  if (shared_->waiting.size() + line.size() > room) {
    ++shared_->left_out;
    return;
  }
  const bool first = shared_->waiting.empty();
  shared_->waiting += line;
  ++shared_->lines;
  if (first) {
    shared_->news.notify_one();
  }
}

bool LogQueue::Flush(std::chrono::milliseconds limit) {
  std::unique_lock lock(shared_->mutex);
  return shared_->written.wait_for(lock, limit, [this] {
    return shared_->waiting.empty() && !shared_->writing;
  });
}

std::uint64_t LogQueue::left_out() const {
  const std::lock_guard lock(shared_->mutex);
  return shared_->left_out;
}

void LogQueue::Write(std::shared_ptr<Shared> shared) {
  std::unique_lock lock(shared->mutex);
  for (;;) {
    shared->news.wait(
        lock, [&] { return shared->ended || !shared->waiting.empty(); });
    if (shared->waiting.empty()) {
      return;
    }
    shared->writing = true;
    lock.unlock();
    std::this_thread::sleep_for(kGather);
    lock.lock();
    std::string text = std::exchange(shared->waiting, {});
    const std::uint64_t lines = std::exchange(shared->lines, 0);
    if (shared->left_out > shared->left_out_told) {
      text += shared->left_out_line(shared->left_out - shared->left_out_told);
      shared->left_out_told = shared->left_out;
    }
    lock.unlock();
    const bool ok = WriteAll(shared->fd, text);
    lock.lock();
    // Nobody can be told that the log itself can't be written; the count is
    // told as soon as it can be again.
    shared->left_out += ok ? 0 : lines;
    shared->writing = false;
    shared->written.notify_all();
  }
}

}  // namespace vanillalatch::internal
