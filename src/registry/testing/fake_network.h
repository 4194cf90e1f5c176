// FakeNetwork: delivers datagrams between simulated VMs in virtual time. Tests
// configure delay (and thus reordering), loss, duplication and partitions.
#ifndef VANILLALATCH_SRC_REGISTRY_TESTING_FAKE_NETWORK_H_
#define VANILLALATCH_SRC_REGISTRY_TESTING_FAKE_NETWORK_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "vanillalatch/base/outbox.h"
#include "vanillalatch/base/time.h"

namespace vanillalatch {

class FakeNetwork {
 public:
  struct Packet {
    SocketAddress from;
    SocketAddress to;
    std::vector<std::uint8_t> bytes;
  };

  explicit FakeNetwork(std::uint64_t seed) : rng_(seed) {}

  // Each as a percentage of the datagrams.
  void SetLoss(std::uint64_t percent) { loss_percent_ = percent; }
  void SetDuplicates(std::uint64_t percent) { duplicates_percent_ = percent; }
  // The delay is sampled for each datagram, so a wide range causes reordering.
  void SetDelay(Duration min_delay, Duration max_delay) {
    min_delay_ = min_delay;
    max_delay_ = max_delay;
  }
  // Drops all datagrams that `from` sends to `to`, until Heal().
  void Disconnect(SocketAddress from, SocketAddress to) {
    disconnected_.insert({from.Packed(), to.Packed()});
  }
  void Heal() { disconnected_.clear(); }

  void Send(TimePoint now, SocketAddress from, SocketAddress to,
            ByteSpan bytes) {
    if (disconnected_.contains({from.Packed(), to.Packed()}) ||
        RandomBelow(100) < loss_percent_) {
      return;
    }
    const int copies = RandomBelow(100) < duplicates_percent_ ? 2 : 1;
    for (int n = 0; n < copies; ++n) {
      queue_.emplace(now + RandomDelay(),
                     Packet{from, to, {bytes.begin(), bytes.end()}});
    }
  }

  TimePoint NextArrival() const {
    return queue_.empty() ? kNever : queue_.begin()->first;
  }

  // Removes and returns the next datagram that has arrived by `now`.
  std::optional<Packet> Take(TimePoint now) {
    if (NextArrival() > now) {
      return std::nullopt;
    }
    Packet packet = std::move(queue_.begin()->second);
    queue_.erase(queue_.begin());
    return packet;
  }

 private:
  std::uint64_t RandomBelow(std::uint64_t below) { return rng_() % below; }
  Duration RandomDelay() {
    const auto range =
        static_cast<std::uint64_t>((max_delay_ - min_delay_).count());
    return min_delay_ +
           Duration(static_cast<std::int64_t>(RandomBelow(range + 1)));
  }

  std::mt19937_64 rng_;
  std::multimap<TimePoint, Packet> queue_;
  // Packed addresses (from, to) between which all datagrams are dropped.
  std::set<std::pair<std::uint64_t, std::uint64_t>> disconnected_;
  std::uint64_t loss_percent_ = 0;
  std::uint64_t duplicates_percent_ = 0;
  Duration min_delay_ = std::chrono::microseconds(400);
  Duration max_delay_ = std::chrono::microseconds(600);
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_REGISTRY_TESTING_FAKE_NETWORK_H_
