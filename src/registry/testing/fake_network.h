// Carries datagrams between fake VMs in virtual time: delays, loses,
// duplicates, reorders and cuts them as told.
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

  // Each in percent of the datagrams.
  void SetLoss(std::uint64_t percent) { loss_ = percent; }
  void SetDuplicates(std::uint64_t percent) { duplicates_ = percent; }
  // Drawn for each datagram; a wide range reorders.
  void SetDelay(Duration least, Duration most) {
    least_ = least;
    most_ = most;
  }
  // Drops what `from` sends to `to`.
  void Cut(SocketAddress from, SocketAddress to) {
    cuts_.insert({from.Packed(), to.Packed()});
  }
  void Heal() { cuts_.clear(); }

  void Send(TimePoint now, SocketAddress from, SocketAddress to,
            ByteSpan bytes) {
    if (cuts_.contains({from.Packed(), to.Packed()}) || Draw(100) < loss_) {
      return;
    }
    const int copies = Draw(100) < duplicates_ ? 2 : 1;
    for (int n = 0; n < copies; ++n) {
      queue_.emplace(now + DrawDelay(),
                     Packet{from, to, {bytes.begin(), bytes.end()}});
    }
  }

  TimePoint NextArrival() const {
    return queue_.empty() ? kNever : queue_.begin()->first;
  }

  // The next datagram that has arrived.
  std::optional<Packet> Take(TimePoint now) {
    if (NextArrival() > now) {
      return std::nullopt;
    }
    Packet packet = std::move(queue_.begin()->second);
    queue_.erase(queue_.begin());
    return packet;
  }

 private:
  std::uint64_t Draw(std::uint64_t below) { return rng_() % below; }
  Duration DrawDelay() {
    const auto range = static_cast<std::uint64_t>((most_ - least_).count());
    return least_ + Duration(static_cast<std::int64_t>(Draw(range + 1)));
  }

  std::mt19937_64 rng_;
  std::multimap<TimePoint, Packet> queue_;
  std::set<std::pair<std::uint64_t, std::uint64_t>> cuts_;  // Packed.
  std::uint64_t loss_ = 0;
  std::uint64_t duplicates_ = 0;
  Duration least_ = std::chrono::microseconds(400);
  Duration most_ = std::chrono::microseconds(600);
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_REGISTRY_TESTING_FAKE_NETWORK_H_
