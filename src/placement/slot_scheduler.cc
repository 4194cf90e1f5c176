#include "vanillalatch/placement/slot_scheduler.h"

#include <algorithm>
#include <list>
#include <utility>

#include "absl/container/flat_hash_map.h"

namespace vanillalatch {
namespace {

struct Slots {
  Endpoint endpoint;
  bool present = true;
  std::uint32_t busy = 0;
};

struct Waiting {
  Work work;
  TimePoint submitted;
};

class FirstComeScheduler : public SlotScheduler {
 public:
  explicit FirstComeScheduler(SlotSchedulerOptions options)
      : options_(options) {}

  void SetClasses(std::span<const ClassTarget> classes) override {
    classes_.assign(classes.begin(), classes.end());
  }

  void SetEndpoints(TimePoint now,
                    std::span<const Endpoint> endpoints) override {
    for (auto& [id, it] : slots_) {
      it.present = false;
    }
    for (const Endpoint& it : endpoints) {
      Slots& slots = slots_[it.id];
      slots.endpoint = it;
      slots.present = true;
    }
    absl::erase_if(slots_, [](const auto& it) {
      return !it.second.present && it.second.busy == 0;
    });
    sweep_due_ = true;
  }

  void Submit(TimePoint now, const Work& work,
              std::vector<Verdict>& verdicts) override {
    if (queue_.size() >= options_.max_queue) {
      Refuse(work.request, ErrorKind::kOverloaded, verdicts);
      return;
    }
    queue_.push_back({work, now});
    StartWaiting(now, verdicts);
  }

  void Adopt(TimePoint now, const Work& work, EndpointId endpoint) override {
    if (running_.emplace(work.request, endpoint).second) {
      ++slots_[endpoint].busy;
    }
  }

  void Finish(TimePoint now, RequestId request, WorkOutcome outcome,
              std::vector<Verdict>& verdicts) override {
    const auto it = running_.find(request);
    if (it != running_.end()) {
      --slots_[it->second].busy;
      running_.erase(it);
    }
    StartWaiting(now, verdicts);
  }

  bool Cancel(TimePoint now, RequestId request) override {
    return std::erase_if(queue_, [&](const Waiting& it) {
             return it.work.request == request;
           }) > 0;
  }

  void OnTick(TimePoint now, std::vector<Verdict>& verdicts) override {
    sweep_due_ = false;
    StartWaiting(now, verdicts);
  }

  TimePoint NextWake() const override {
    if (sweep_due_) {
      return TimePoint{};
    }
    TimePoint wake = kNever;
    for (const Waiting& it : queue_) {
      wake = std::min(wake, it.work.deadline);
    }
    return wake;
  }

  bool TakeRetry(TimePoint now) override { return queue_.empty(); }

  pb::ServiceReport Report(TimePoint now) const override {
    pb::ServiceReport report;
    for (const auto& [id, it] : slots_) {
      pb::EndpointReport& out = *report.add_endpoints();
      out.set_name(it.endpoint.name);
      out.set_address(it.endpoint.address.ToString());
      out.set_slots(it.endpoint.slots);
      out.set_busy(it.busy);
    }
    return report;
  }

 private:
  static void Refuse(RequestId request, ErrorKind error,
                     std::vector<Verdict>& verdicts) {
    verdicts.push_back(
        {.kind = Verdict::Kind::kRefuse, .request = request, .error = error});
  }

  bool Usable(const Slots& it, const Work& work) const {
    if (!it.present) {
      return false;
    }
    return work.pinned ? *work.pinned == it.endpoint.id
                       : it.endpoint.state == EndpointState::kReady;
  }

  bool AnyUsable(const Work& work) const {
    return std::any_of(slots_.begin(), slots_.end(),
                       [&](const auto& it) { return Usable(it.second, work); });
  }

  Slots* ChooseFree(const Work& work) {
    Slots* best = nullptr;
    std::pair<bool, double> best_rank;
    for (auto& [id, it] : slots_) {
      if (!Usable(it, work) || it.busy >= it.endpoint.slots) {
        continue;
      }
      const std::pair<bool, double> rank(
          work.avoid == id, static_cast<double>(it.busy) / it.endpoint.slots);
      if (best == nullptr || rank < best_rank) {
        best = &it;
        best_rank = rank;
      }
    }
    return best;
  }

  // True if the request waits no longer.
  bool Settle(TimePoint now, const Work& work, std::vector<Verdict>& verdicts) {
    if (now >= work.deadline) {
      Refuse(work.request, ErrorKind::kDeadlineUnmeetable, verdicts);
      return true;
    }
    if (!AnyUsable(work)) {
      Refuse(work.request, ErrorKind::kNoEndpoint, verdicts);
      return true;
    }
    Slots* slots = ChooseFree(work);
    if (slots == nullptr) {
      return false;
    }
    ++slots->busy;
    running_.emplace(work.request, slots->endpoint.id);
    verdicts.push_back(
        {.request = work.request, .endpoint = slots->endpoint.id});
    return true;
  }

  void StartWaiting(TimePoint now, std::vector<Verdict>& verdicts) {
    for (auto it = queue_.begin(); it != queue_.end();) {
      it = Settle(now, it->work, verdicts) ? queue_.erase(it) : std::next(it);
    }
  }

  SlotSchedulerOptions options_;
  std::vector<ClassTarget> classes_;
  absl::flat_hash_map<EndpointId, Slots> slots_;
  absl::flat_hash_map<RequestId, EndpointId> running_;
  std::list<Waiting> queue_;
  bool sweep_due_ = false;
};

}  // namespace

Result<std::unique_ptr<SlotScheduler>> SlotScheduler::Create(
    SlotSchedulerOptions options, std::uint64_t seed) {
  return std::unique_ptr<SlotScheduler>(
      std::make_unique<FirstComeScheduler>(options));
}

}  // namespace vanillalatch
