// A simulated network for tests, with virtual time. It delays, loses and
// duplicates messages between named VMs, and can disconnect pairs of VMs.
//
//   FakeNetwork network(seed);
//   network.Send("c1", "c2", [&] { ... });   // Runs when it arrives.
//   while (network.Step(end)) {}             // Runs all events due by `end`.
#ifndef VANILLALATCH_SRC_CONTROL_FAKE_NETWORK_H_
#define VANILLALATCH_SRC_CONTROL_FAKE_NETWORK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>

#include "vanillalatch/base/time.h"

namespace vanillalatch {

class FakeNetwork {
 public:
  using Work = std::function<void()>;

  explicit FakeNetwork(std::uint64_t seed) : random_(seed) {}

  TimePoint now() const { return now_; }
  std::mt19937_64& random() { return random_; }

  // `delay` is the mean one-way delay; each message takes 50 to 150 % of it.
  void SetFaults(unsigned loss_percent, unsigned duplicate_percent,
                 Duration delay) {
    loss_percent_ = loss_percent;
    duplicate_percent_ = duplicate_percent;
    delay_ = delay;
  }
  // Drops all messages from `from` to `to`, including those in flight. The
  // other direction is not affected.
  void Disconnect(const std::string& from, const std::string& to) {
    disconnected_links_.insert({from, to});
  }
  void Heal() { disconnected_links_.clear(); }
  void Heal(const std::string& from, const std::string& to) {
    disconnected_links_.erase({from, to});
  }
  bool IsDisconnected(const std::string& from, const std::string& to) const {
    return disconnected_links_.contains({from, to});
  }

  // Runs `work` when the message arrives at `to`, unless it is lost. A VM's
  // messages to itself are never lost or duplicated.
  void Send(const std::string& from, const std::string& to, const Work& work) {
    if (from != to && SampleChance(loss_percent_)) {
      return;
    }
    const int copies = from != to && SampleChance(duplicate_percent_) ? 2 : 1;
    for (int n = 0; n < copies; ++n) {
      const auto jitter_range = static_cast<std::uint64_t>(delay_.count()) + 1;
      const Duration delay =
          delay_ / 2 +
          Duration(static_cast<Duration::rep>(random_() % jitter_range));
      Schedule(now_ + delay, [this, from, to, work] {
        if (!IsDisconnected(from, to)) {
          work();
        }
      });
    }
  }

  // Runs `work` at the time `when`.
  void Schedule(TimePoint when, Work work) {
    queue_.emplace(std::pair(when, ++sequence_), std::move(work));
  }

  // Runs the next event that is due by `end`. Returns false if there is none;
  // the time is then `end`.
  bool Step(TimePoint end) {
    if (queue_.empty() || queue_.begin()->first.first > end) {
      now_ = std::max(now_, end);
      return false;
    }
    auto event = queue_.extract(queue_.begin());
    now_ = std::max(now_, event.key().first);
    event.mapped()();
    return true;
  }

  // True with a probability of `percent`.
  bool SampleChance(unsigned percent) { return random_() % 100 < percent; }

 private:
  std::mt19937_64 random_;
  TimePoint now_{std::chrono::seconds(0)};
  std::uint64_t sequence_ = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, Work> queue_;
  std::set<std::pair<std::string, std::string>> disconnected_links_;
  unsigned loss_percent_ = 0;
  unsigned duplicate_percent_ = 0;
  Duration delay_ = std::chrono::milliseconds(1);
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_CONTROL_FAKE_NETWORK_H_
