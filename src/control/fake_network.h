// A network for tests: delays, loses, doubles and cuts what is sent between
// named VMs, in simulated time.
//
//   FakeNetwork network(seed);
//   network.Send("c1", "c2", [&] { ... });   // Runs when it arrives.
//   network.RunUntil(now + std::chrono::seconds(1));
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

  void SetFaults(unsigned loss_percent, unsigned duplicate_percent,
                 Duration delay) {
    loss_percent_ = loss_percent;
    duplicate_percent_ = duplicate_percent;
    delay_ = delay;
  }
  // Nothing gets from `from` to `to`, also of what is on its way.
  void Cut(const std::string& from, const std::string& to) {
    cuts_.insert({from, to});
  }
  void Heal() { cuts_.clear(); }
  void Heal(const std::string& from, const std::string& to) {
    cuts_.erase({from, to});
  }
  bool IsCut(const std::string& from, const std::string& to) const {
    return cuts_.contains({from, to});
  }

  void Send(const std::string& from, const std::string& to, const Work& work) {
    if (from != to && Chance(loss_percent_)) {
      return;
    }
    const int copies = from != to && Chance(duplicate_percent_) ? 2 : 1;
    for (int n = 0; n < copies; ++n) {
      const auto spread = static_cast<std::uint64_t>(delay_.count()) + 1;
      const Duration delay =
          delay_ / 2 + Duration(static_cast<Duration::rep>(random_() % spread));
      At(now_ + delay, [this, from, to, work] {
        if (!IsCut(from, to)) {
          work();
        }
      });
    }
  }

  void At(TimePoint when, Work work) {
    queue_.emplace(std::pair(when, ++sequence_), std::move(work));
  }

  // Runs the next event that is due by `end`; false if there is none.
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

  bool Chance(unsigned percent) { return random_() % 100 < percent; }

 private:
  std::mt19937_64 random_;
  TimePoint now_{std::chrono::seconds(0)};
  std::uint64_t sequence_ = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, Work> queue_;
  std::set<std::pair<std::string, std::string>> cuts_;
  unsigned loss_percent_ = 0;
  unsigned duplicate_percent_ = 0;
  Duration delay_ = std::chrono::milliseconds(1);
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_CONTROL_FAKE_NETWORK_H_
