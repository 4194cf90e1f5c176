#include "src/telemetry/log_queue.h"

#include <unistd.h>

#include <cerrno>
#include <utility>

namespace vanillalatch::internal {
namespace {

// Lines that arrive within this time are written with one system call.
constexpr std::chrono::milliseconds kBatchDelay{10};

// Writes `text` and returns true if all of it was written. Blocks while the
// reader does not read.
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

// The state that the queue shares with its writer thread. It outlives the queue
// if the writer thread is blocked by the reader.
struct LogQueue::Shared {
  ~Shared() {
    if (fd > STDERR_FILENO) {
      close(fd);
    }
  }

  int fd = -1;
  LeftOutLineFormatter format_left_out_line;
  mutable std::mutex mutex;
  std::condition_variable line_available;
  std::condition_variable batch_written;
  std::string pending;
  std::uint64_t pending_lines = 0;  // The number of lines in `pending`.
  bool writing = false;
  bool closed = false;
  std::uint64_t left_out = 0;
  std::uint64_t left_out_reported = 0;  // The part already logged.
};

LogQueue::LogQueue(int fd, LeftOutLineFormatter format_left_out_line)
    : shared_(std::make_shared<Shared>()) {
  shared_->fd = fd;
  shared_->format_left_out_line = std::move(format_left_out_line);
  writer_ = std::thread(&LogQueue::RunWriter, shared_);
}

LogQueue::~LogQueue() {
  {
    const std::lock_guard lock(shared_->mutex);
    shared_->closed = true;
  }
  shared_->line_available.notify_all();
  const bool flushed = Flush(std::chrono::milliseconds(0));
  if (flushed) {
    writer_.join();
  } else {
    writer_.detach();
  }
}

void LogQueue::Push(std::string_view line, bool important) {
  const std::lock_guard lock(shared_->mutex);
  const std::size_t capacity =
      important ? kMaxBytes : kMaxBytes - kReservedBytes;
  if (shared_->pending.size() + line.size() > capacity) {
    ++shared_->left_out;
    return;
  }
  const bool was_empty = shared_->pending.empty();
  shared_->pending += line;
  ++shared_->pending_lines;
  if (was_empty) {
    shared_->line_available.notify_one();
  }
}

bool LogQueue::Flush(std::chrono::milliseconds timeout) {
  std::unique_lock lock(shared_->mutex);
  return shared_->batch_written.wait_for(lock, timeout, [this] {
    return shared_->pending.empty() && !shared_->writing;
  });
}

std::uint64_t LogQueue::left_out() const {
  const std::lock_guard lock(shared_->mutex);
  return shared_->left_out;
}

void LogQueue::RunWriter(std::shared_ptr<Shared> shared) {
  std::unique_lock lock(shared->mutex);
  for (;;) {
    shared->line_available.wait(
        lock, [&] { return shared->closed || !shared->pending.empty(); });
    if (shared->pending.empty()) {
      return;
    }
    shared->writing = true;
    lock.unlock();
    std::this_thread::sleep_for(kBatchDelay);
    lock.lock();
    std::string text = std::exchange(shared->pending, {});
    const std::uint64_t lines = std::exchange(shared->pending_lines, 0);
    if (shared->left_out > shared->left_out_reported) {
      text += shared->format_left_out_line(shared->left_out -
                                           shared->left_out_reported);
      shared->left_out_reported = shared->left_out;
    }
    lock.unlock();
    const bool written = WriteAll(shared->fd, text);
    lock.lock();
    // A failure to write the log can't be logged. Its lines are counted as left
    // out, and the count is logged with a later batch.
    shared->left_out += written ? 0 : lines;
    shared->writing = false;
    shared->batch_written.notify_all();
  }
}

}  // namespace vanillalatch::internal
