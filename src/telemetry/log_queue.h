// Lines on their way to a file descriptor, written by a thread of their own, so
// that a reader that stops reading holds up nobody who logs.
//
//   LogQueue queue(STDOUT_FILENO);
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

class LogQueue {
 public:
  // Bytes that wait at most: about a second of the lines that budgets allow.
  static constexpr std::size_t kMostBytes = std::size_t{256} * 1024;
  // Of these, only for important lines.
  static constexpr std::size_t kReservedBytes = std::size_t{64} * 1024;

  // The line that tells how many were left out before it.
  using LeftOutLine = std::function<std::string(std::uint64_t)>;

  // Takes the descriptor over, but for the standard ones.
  LogQueue(int fd, LeftOutLine left_out_line);
  LogQueue(const LogQueue&) = delete;
  LogQueue& operator=(const LogQueue&) = delete;
  // Lines that still wait for a reader that does not read are lost.
  ~LogQueue();

  // Never waits for the reader: a line without room is left out and counted.
  void Push(std::string_view line, bool important);
  // Waits until all is written, for `limit` at most. True if it is.
  bool Flush(std::chrono::milliseconds limit);
  // Lines left out since the start.
  std::uint64_t left_out() const;

 private:
  struct Shared;
  static void Write(std::shared_ptr<Shared> shared);

  std::shared_ptr<Shared> shared_;
  std::thread writer_;
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_TELEMETRY_LOG_QUEUE_H_
