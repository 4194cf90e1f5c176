// Estimates from the traffic of a VM whether its link is full, which makes the
// VM late: datagrams wait in a queue in front of the link or behind it. The
// queues themselves are not visible to the VM.
//
//   LinkMeter meter(250'000);
//   meter.OnTraffic(now, received_bytes, sent_bytes);
//   if (meter.WasLate(now)) ...  // A missing answer is no evidence.
#ifndef VANILLALATCH_SRC_PACKETFLOW_LINK_METER_H_
#define VANILLALATCH_SRC_PACKETFLOW_LINK_METER_H_

#include <cstdint>
#include <optional>

#include "vanillalatch/base/time.h"

namespace vanillalatch::internal {

class LinkMeter {
 public:
  // A longer queue makes the VM late: half of the shortest timeout that
  // derives from the absence of a message (kMinSilenceTimeout, 40 ms).
  static constexpr Duration kLateQueue = std::chrono::milliseconds(20);
  // The VM still counts as late for this time: messages that waited in the
  // queue may not have been answered yet.
  static constexpr Duration kLateRetention = std::chrono::milliseconds(100);
  // Share of its rate at which the link is considered full. What a VM receives
  // arrives at the rate of the link at most, however long the queue is, so that
  // a queue is assumed to grow as soon as this share is exceeded.
  static constexpr double kFullShare = 0.85;
  // Limit of the assumed queues. The link drops datagrams instead of letting
  // them wait for much longer.
  static constexpr Duration kMaxQueue = std::chrono::milliseconds(100);

  // `bytes_per_second`: rate of each direction; 0 disables the meter.
  explicit LinkMeter(std::uint64_t bytes_per_second)
      : bytes_per_second_(static_cast<double>(bytes_per_second)) {}

  bool enabled() const { return bytes_per_second_ > 0; }

  // Records what was received and sent since the previous call, including the
  // headers of the datagrams.
  void OnTraffic(TimePoint now, std::uint64_t received, std::uint64_t sent);

  // How long a datagram would wait now.
  Duration ReceiveQueue(TimePoint now) const {
    return QueueAt(now, receive_queue_);
  }
  Duration SendQueue(TimePoint now) const { return QueueAt(now, send_queue_); }
  // True if a queue is longer than kLateQueue, or was within kLateRetention.
  bool WasLate(TimePoint now) const;

 private:
  Duration QueueAt(TimePoint now, Duration queue) const;
  Duration Grow(TimePoint now, Duration queue, std::uint64_t bytes) const;

  double bytes_per_second_;
  TimePoint updated_at_{};
  // Both as of updated_at_.
  Duration receive_queue_{};
  Duration send_queue_{};
  // When a queue was last longer than kLateQueue.
  std::optional<TimePoint> late_at_;
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_PACKETFLOW_LINK_METER_H_
