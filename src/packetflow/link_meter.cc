#include "src/packetflow/link_meter.h"

#include <algorithm>

namespace vanillalatch::internal {

Duration LinkMeter::QueueAt(TimePoint now, Duration queue) const {
  return std::max(queue - (now - updated_at_), Duration::zero());
}

Duration LinkMeter::Grow(TimePoint now, Duration queue,
                         std::uint64_t bytes) const {
  const std::chrono::duration<double> time(static_cast<double>(bytes) /
                                           (bytes_per_second_ * kFullShare));
  return std::min<Duration>(
      QueueAt(now, queue) + std::chrono::duration_cast<Duration>(time),
      kMaxQueue);
}

void LinkMeter::OnTraffic(TimePoint now, std::uint64_t received,
                          std::uint64_t sent) {
  if (!enabled()) {
    return;
  }
  // A queue that was late until it drained counts until then.
  const Duration longest = std::max(receive_queue_, send_queue_);
  if (longest > kLateQueue) {
    late_at_ = std::min(now, updated_at_ + (longest - kLateQueue));
  }
  receive_queue_ = Grow(now, receive_queue_, received);
  send_queue_ = Grow(now, send_queue_, sent);
  updated_at_ = now;
}

bool LinkMeter::WasLate(TimePoint now) const {
  const Duration longest = std::max(receive_queue_, send_queue_);
  const bool late_since_update =
      longest > kLateQueue &&
      now < updated_at_ + (longest - kLateQueue) + kLateRetention;
  return late_since_update || (late_at_ && now < *late_at_ + kLateRetention);
}

}  // namespace vanillalatch::internal
