// LogQueue: a bounded queue of log lines that a thread of its own writes to a
// file descriptor, so that a reader that stops reading does not block the
// threads that log.
//
//   LogQueue queue(STDOUT_FILENO, format_left_out_line);
//   queue.Push("{...}\n", /*important=*/false);
//   queue.Flush(std::chrono::milliseconds(200));
#ifndef VANILLALATCH_SRC_TELEMETRY_LOG_QUEUE_H_
#define VANILLALATCH_SRC_TELEMETRY_LOG_QUEUE_H_

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace vanillalatch::internal {

// All functions are thread-safe.
class LogQueue {
 public:
  // The maximum size of the queue: about one second of the lines that the rate
  // limits allow.
  static constexpr std::size_t kMaxBytes = std::size_t{256} * 1024;
  // The part of it that is reserved for important lines.
  static constexpr std::size_t kReservedBytes = std::size_t{64} * 1024;

  // Formats the line that reports how many lines were left out before it.
  using LeftOutLineFormatter = std::function<std::string(std::uint64_t)>;

  // Takes ownership of `fd`, except of the descriptors of standard input,
  // output and error.
  LogQueue(int fd, LeftOutLineFormatter format_left_out_line);
  LogQueue(const LogQueue&) = delete;
  LogQueue& operator=(const LogQueue&) = delete;
  // Does not wait for the reader: queued lines are lost if it does not read.
  ~LogQueue();

  // Never blocks on the reader: a line that exceeds the capacity is left out
  // and counted. Only an `important` line may use the reserved part.
  void Push(std::string_view line, bool important);
  // Waits until all lines are written, for at most `timeout`. Returns true if
  // they are.
  bool Flush(std::chrono::milliseconds timeout);
  // The number of lines left out since the queue was created.
  std::uint64_t left_out() const;

 private:
  struct Shared;
  static void RunWriter(std::shared_ptr<Shared> shared);

  std::shared_ptr<Shared> shared_;
  std::thread writer_;
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_TELEMETRY_LOG_QUEUE_H_
