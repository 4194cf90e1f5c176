#include "src/placement/sim/policies.h"

namespace vanillalatch::sim {
namespace {

Verdict StartOn(RequestId request, std::size_t endpoint) {
  Verdict verdict;
  verdict.request = request;
  verdict.endpoint = EndpointIdAt(endpoint);
  return verdict;
}

}  // namespace

DispatcherPolicy::DispatcherPolicy(const SimOptions& options)
    : handover_(options.handover),
      scheduler_(SlotScheduler::Create({}, options.seed).value()) {
  std::vector<ClassTarget> targets;
  for (const SimClass& it : options.classes) {
    targets.push_back(it.target);
    classes_.push_back(it.target.id);
  }
  scheduler_->SetClasses(targets);
}

void DispatcherPolicy::Submit(TimePoint now, const SimRequest& request,
                              std::vector<Verdict>& verdicts) {
  Work work;
  work.request = request.id;
  work.work_class = classes_[request.class_index];
  scheduler_->Submit(now, work, verdicts);
}

IdealQueuePolicy::IdealQueuePolicy(const SimOptions& options) {
  for (const SimEndpoint& it : options.endpoints) {
    servers_.push_back({it.slots, 0, it.slowness, false});
  }
}

void IdealQueuePolicy::SetEndpoints(TimePoint now,
                                    std::span<const Endpoint> endpoints) {
  for (const Endpoint& it : endpoints) {
    servers_[it.id.value() - 1].joined = true;
  }
}

void IdealQueuePolicy::Submit(TimePoint now, const SimRequest& request,
                              std::vector<Verdict>& verdicts) {
  queue_.push_back(request.id);
  StartWaiting(verdicts);
}

void IdealQueuePolicy::Finish(TimePoint now, const SimRequest& request,
                              WorkOutcome outcome,
                              std::vector<Verdict>& verdicts) {
  --servers_[request.endpoint].busy;
  StartWaiting(verdicts);
}

void IdealQueuePolicy::StartWaiting(std::vector<Verdict>& verdicts) {
  while (!queue_.empty()) {
    Server* best = nullptr;
    for (Server& it : servers_) {
      if (it.joined && it.busy < it.slots &&
          (best == nullptr || it.slowness < best->slowness)) {
        best = &it;
      }
    }
    if (best == nullptr) {
      return;
    }
    ++best->busy;
    verdicts.push_back(StartOn(
        queue_.front(), static_cast<std::size_t>(best - servers_.data())));
    queue_.pop_front();
  }
}

LocalCountsPolicy::LocalCountsPolicy(const SimOptions& options, Choice choice)
    : choice_(choice),
      random_(options.seed),
      open_(options.entry_vms,
            std::vector<std::uint32_t>(options.endpoints.size())) {}

void LocalCountsPolicy::Submit(TimePoint now, const SimRequest& request,
                               std::vector<Verdict>& verdicts) {
  std::vector<std::uint32_t>& open = open_[request.vm];
  const std::size_t endpoint = SelectEndpoint(open);
  ++open[endpoint];
  verdicts.push_back(StartOn(request.id, endpoint));
}

std::vector<std::size_t> LocalCountsPolicy::IndexesOf(
    std::span<const Endpoint> endpoints) {
  std::vector<std::size_t> joined;
  for (const Endpoint& it : endpoints) {
    joined.push_back(it.id.value() - 1);
  }
  return joined;
}

std::size_t LocalCountsPolicy::SelectEndpoint(
    const std::vector<std::uint32_t>& open) {
  const std::size_t first = random_() % joined_.size();
  std::size_t best = joined_[first];
  if (choice_ == Choice::kTwoChoices) {
    const std::size_t second = joined_[random_() % joined_.size()];
    return open[second] < open[best] ? second : best;
  }
  if (choice_ == Choice::kLeastLoaded) {
    // The search starts at a random endpoint, so that ties favour none.
    for (std::size_t i = 1; i < joined_.size(); ++i) {
      const std::size_t it = joined_[(first + i) % joined_.size()];
      best = open[it] < open[best] ? it : best;
    }
  }
  return best;
}

}  // namespace vanillalatch::sim
