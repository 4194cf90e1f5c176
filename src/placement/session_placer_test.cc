#include "vanillalatch/placement/session_placer.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <vector>

#include "vanillalatch/base/hash.h"

namespace vanillalatch {
namespace {

std::vector<Endpoint> ReadyEndpoints(std::size_t n) {
  std::vector<Endpoint> endpoints(n);
  for (std::size_t i = 0; i < n; ++i) {
    endpoints[i].id = EndpointId(i + 1);
    endpoints[i].slots = 3;
  }
  return endpoints;
}

// Selects the endpoint with the highest hash score for the flow.
EndpointId ConsistentHash(std::uint64_t flow,
                          const std::vector<Endpoint>& endpoints) {
  const auto it = std::max_element(endpoints.begin(), endpoints.end(),
                                   [&](const Endpoint& a, const Endpoint& b) {
                                     return StableHash(flow, a.id.value()) <
                                            StableHash(flow, b.id.value());
                                   });
  return it->id;
}

// A set of up to kOpenFlows flows. When it is full, a new flow replaces a
// random one.
class FlowSet {
 public:
  explicit FlowSet(std::uint64_t seed)
      : placer_(SessionPlacer::Create(seed).value()), random_(seed) {}

  void Set(std::vector<Endpoint> endpoints) {
    endpoints_ = std::move(endpoints);
    placer_->SetEndpoints(TimePoint(), endpoints_);
  }

  void Replace(int n) {
    for (int i = 0; i < n; ++i) {
      if (open_flows_.size() >= kOpenFlows) {
        const std::size_t closed = random_() % open_flows_.size();
        placer_->Close(open_flows_[closed]);
        open_flows_[closed] = open_flows_.back();
        open_flows_.pop_back();
      }
      open_flows_.push_back(placer_->SelectEndpoint(TimePoint()).value());
      placer_->Open(open_flows_.back());
    }
  }

  // The largest number of open flows at a ready endpoint, divided by the mean.
  double Imbalance() const {
    double max_flows = 0;
    double sum = 0;
    double n = 0;
    for (const Endpoint& it : endpoints_) {
      if (it.state == EndpointState::kReady) {
        const double flows = placer_->OpenFlows(it.id);
        max_flows = std::max(max_flows, flows);
        sum += flows;
        ++n;
      }
    }
    return max_flows * n / sum;
  }

  const SessionPlacer& placer() const { return *placer_; }

  static constexpr std::size_t kOpenFlows = 3000;

 private:
  std::unique_ptr<SessionPlacer> placer_;
  std::mt19937_64 random_;
  std::vector<Endpoint> endpoints_;
  std::vector<EndpointId> open_flows_;
};

TEST_CASE("Open flows are even again after a join or drain") {
  const std::size_t n = GENERATE(4, 15);
  const bool drain = GENERATE(false, true);
  FlowSet flows(5);
  flows.Set(ReadyEndpoints(n));
  flows.Replace(FlowSet::kOpenFlows);
  CHECK(flows.Imbalance() <= 1.1);
  std::vector<Endpoint> changed = ReadyEndpoints(drain ? n : n + 1);
  if (drain) {
    changed[0].state = EndpointState::kLeaving;
  }
  flows.Set(changed);
  // Enough new flows to give each endpoint an even part of the open flows.
  flows.Replace(FlowSet::kOpenFlows);
  CHECK(flows.Imbalance() <= 1.1);
}

TEST_CASE("A drain moves no open flow and takes no new one") {
  FlowSet flows(6);
  flows.Set(ReadyEndpoints(4));
  flows.Replace(400);
  const std::uint32_t before = flows.placer().OpenFlows(EndpointId(1));
  CHECK(before == 100);
  std::vector<Endpoint> leaving = ReadyEndpoints(4);
  leaving[0].state = EndpointState::kLeaving;
  flows.Set(leaving);
  flows.Replace(400);
  CHECK(flows.placer().OpenFlows(EndpointId(1)) == before);
}

TEST_CASE("Flows follow the slots of each endpoint") {
  auto placer = SessionPlacer::Create(1).value();
  std::vector<Endpoint> endpoints = ReadyEndpoints(2);
  endpoints[0].slots = 1;
  placer->SetEndpoints(TimePoint(), endpoints);
  for (int i = 0; i < 400; ++i) {
    placer->Open(*placer->SelectEndpoint(TimePoint()));
  }
  CHECK(placer->OpenFlows(EndpointId(1)) == 100);
  CHECK(placer->OpenFlows(EndpointId(2)) == 300);
}

TEST_CASE("Without a ready endpoint no flow is placed") {
  auto placer = SessionPlacer::Create(1).value();
  CHECK_FALSE(placer->SelectEndpoint(TimePoint()));
  placer->Close(EndpointId(9));
  CHECK(placer->OpenFlows(EndpointId(9)) == 0);
}

TEST_CASE("Fewest flows are more even than consistent hashing and random") {
  const std::size_t n = GENERATE(4, 15);
  FlowSet flows(8);
  const std::vector<Endpoint> endpoints = ReadyEndpoints(n);
  flows.Set(endpoints);
  flows.Replace(FlowSet::kOpenFlows);
  std::mt19937_64 random(8);
  std::map<EndpointId, double> hashed;
  std::map<EndpointId, double> sampled;
  for (std::size_t i = 0; i < FlowSet::kOpenFlows; ++i) {
    ++hashed[ConsistentHash(i, endpoints)];
    ++sampled[EndpointId(1 + random() % n)];
  }
  const auto imbalance = [&](const std::map<EndpointId, double>& counts) {
    double max_flows = 0;
    for (const auto& [id, count] : counts) {
      max_flows = std::max(max_flows, count);
    }
    return max_flows * static_cast<double>(n) / FlowSet::kOpenFlows;
  };
  WARN(n << " endpoints, busiest/mean: fewest flows " << flows.Imbalance()
         << ", consistent hashing " << imbalance(hashed) << ", random "
         << imbalance(sampled));
  CHECK(flows.Imbalance() < imbalance(hashed));
  CHECK(flows.Imbalance() < imbalance(sampled));
}

}  // namespace
}  // namespace vanillalatch
