// Keeps callers' packets that arrive before this VM knows the catalog, or the
// endpoint that a packet names, as after a restart. A dropped packet is only
// retransmitted after 0.2 to 1.6 s.
//
//   dropped += early.Add(now, now, packet, bytes);
//   for (const EarlyPackets::Packet& it : early.Take(now)) ...  // Process it.
#ifndef VANILLALATCH_SRC_PACKETFLOW_EARLY_PACKETS_H_
#define VANILLALATCH_SRC_PACKETFLOW_EARLY_PACKETS_H_

#include <deque>
#include <string>
#include <utility>

#include "vanillalatch/base/outbox.h"
#include "vanillalatch/base/time.h"
#include "vanillalatch/packetflow/packet.h"

namespace vanillalatch::internal {

class EarlyPackets {
 public:
  // A packet is kept for this long. Callers wait 1.4 s for an answer to their
  // opening packet; the rest is left for placing the flow.
  static constexpr Duration kMaxAge = std::chrono::milliseconds(800);
  // Of all packets that are kept: a small part of the 80 MB of the smallest
  // VMs, and half a second of callers' packets of 2 Mbit/s, eight times over.
  static constexpr std::size_t kMaxBytes = std::size_t{1} << 20;

  struct Packet {
    TimePoint received;
    FlowPacket packet;
    std::string bytes;  // As the caller sent it.
  };

  // Keeps a packet that was received at `received`. Returns how many packets
  // were dropped: those that are too old, and this one if there is no space.
  std::size_t Add(TimePoint now, TimePoint received, const FlowPacket& packet,
                  ByteSpan bytes) {
    std::size_t dropped = RemoveExpired(now);
    if (now - received > kMaxAge || bytes_ + bytes.size() > kMaxBytes) {
      return dropped + 1;
    }
    bytes_ += bytes.size();
    packets_.push_back({received, packet, {bytes.begin(), bytes.end()}});
    return dropped;
  }

  // Returns and removes all packets that are not too old, oldest first.
  std::deque<Packet> Take(TimePoint now) {
    RemoveExpired(now);
    bytes_ = 0;
    return std::exchange(packets_, {});
  }

 private:
  std::size_t RemoveExpired(TimePoint now) {
    std::size_t n = 0;
    for (; !packets_.empty() && now - packets_.front().received > kMaxAge;
         ++n) {
      bytes_ -= packets_.front().bytes.size();
      packets_.pop_front();
    }
    return n;
  }

  std::deque<Packet> packets_;
  std::size_t bytes_ = 0;
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_PACKETFLOW_EARLY_PACKETS_H_
