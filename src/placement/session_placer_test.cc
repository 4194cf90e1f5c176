#include "vanillalatch/placement/session_placer.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <vector>

#include "vanillalatch/base/hash.h"

namespace vanillalatch {
namespace {

std::vector<Endpoint> Ready(std::size_t n) {
  std::vector<Endpoint> endpoints(n);
  for (std::size_t i = 0; i < n; ++i) {
    endpoints[i].id = EndpointId(i + 1);
    endpoints[i].slots = 3;
  }
  return endpoints;
}

// The endpoint with the highest score for the flow.
EndpointId ConsistentHash(std::uint64_t flow,
                          const std::vector<Endpoint>& endpoints) {
  const auto it = std::max_element(endpoints.begin(), endpoints.end(),
                                   [&](const Endpoint& a, const Endpoint& b) {
                                     return StableHash(flow, a.id.value()) <
                                            StableHash(flow, b.id.value());
                                   });
  return it->id;
}

// Flows that come and go over endpoints; the oldest flow goes first.
class Flows {
 public:
  explicit Flows(std::uint64_t seed)
      : placer_(SessionPlacer::Create(seed).value()), random_(seed) {}

  void Set(std::vector<Endpoint> endpoints) {
    endpoints_ = std::move(endpoints);
    placer_->SetEndpoints(TimePoint(), endpoints_);
  }

  void Replace(int n) {
    for (int i = 0; i < n; ++i) {
      if (open_.size() >= kOpen) {
        const std::size_t gone = random_() % open_.size();
        placer_->Close(open_[gone]);
        open_[gone] = open_.back();
        open_.pop_back();
      }
      open_.push_back(placer_->PlaceNew(TimePoint()).value());
      placer_->Open(open_.back());
    }
  }

  // The largest count of open flows over the mean of the ready endpoints.
  double Imbalance() const {
    double most = 0;
    double sum = 0;
    double n = 0;
    for (const Endpoint& it : endpoints_) {
      if (it.state == EndpointState::kReady) {
        const double flows = placer_->OpenFlows(it.id);
        most = std::max(most, flows);
        sum += flows;
        ++n;
      }
    }
    return most * n / sum;
  }

  const SessionPlacer& placer() const { return *placer_; }

  static constexpr std::size_t kOpen = 3000;

 private:
  std::unique_ptr<SessionPlacer> placer_;
  std::mt19937_64 random_;
  std::vector<Endpoint> endpoints_;
  std::vector<EndpointId> open_;
};

TEST_CASE("Open flows are even again after a join or drain") {
  const std::size_t n = GENERATE(4, 15);
  const bool drain = GENERATE(false, true);
  Flows flows(5);
  flows.Set(Ready(n));
  flows.Replace(Flows::kOpen);
  CHECK(flows.Imbalance() <= 1.1);
  std::vector<Endpoint> changed = Ready(drain ? n : n + 1);
  if (drain) {
    changed[0].state = EndpointState::kLeaving;
  }
  flows.Set(changed);
  // As many new flows as an even part of each endpoint, and some more.
  flows.Replace(Flows::kOpen);
  CHECK(flows.Imbalance() <= 1.1);
}

TEST_CASE("A drain moves no open flow and takes no new one") {
  Flows flows(6);
  flows.Set(Ready(4));
  flows.Replace(400);
  const std::uint32_t before = flows.placer().OpenFlows(EndpointId(1));
  CHECK(before == 100);
  std::vector<Endpoint> leaving = Ready(4);
  leaving[0].state = EndpointState::kLeaving;
  flows.Set(leaving);
  flows.Replace(400);
  CHECK(flows.placer().OpenFlows(EndpointId(1)) == before);
}

TEST_CASE("Flows follow the slots of each endpoint") {
  auto placer = SessionPlacer::Create(1).value();
  std::vector<Endpoint> endpoints = Ready(2);
  endpoints[0].slots = 1;
  placer->SetEndpoints(TimePoint(), endpoints);
  for (int i = 0; i < 400; ++i) {
    placer->Open(*placer->PlaceNew(TimePoint()));
  }
  CHECK(placer->OpenFlows(EndpointId(1)) == 100);
  CHECK(placer->OpenFlows(EndpointId(2)) == 300);
}

TEST_CASE("Without a ready endpoint no flow is placed") {
  auto placer = SessionPlacer::Create(1).value();
  CHECK_FALSE(placer->PlaceNew(TimePoint()));
  placer->Close(EndpointId(9));
  CHECK(placer->OpenFlows(EndpointId(9)) == 0);
}

TEST_CASE("Fewest flows are more even than consistent hashing and random") {
  const std::size_t n = GENERATE(4, 15);
  Flows flows(8);
  const std::vector<Endpoint> endpoints = Ready(n);
  flows.Set(endpoints);
  flows.Replace(Flows::kOpen);
  std::mt19937_64 random(8);
  std::map<EndpointId, double> hashed;
  std::map<EndpointId, double> drawn;
  for (std::size_t i = 0; i < Flows::kOpen; ++i) {
    ++hashed[ConsistentHash(i, endpoints)];
    ++drawn[EndpointId(1 + random() % n)];
  }
  const auto imbalance = [&](const std::map<EndpointId, double>& counts) {
    double most = 0;
    for (const auto& [id, count] : counts) {
      most = std::max(most, count);
    }
    return most * static_cast<double>(n) / Flows::kOpen;
  };
  WARN(n << " endpoints, busiest/mean: fewest flows " << flows.Imbalance()
         << ", consistent hashing " << imbalance(hashed) << ", random "
         << imbalance(drawn));
  CHECK(flows.Imbalance() < imbalance(hashed));
  CHECK(flows.Imbalance() < imbalance(drawn));
}

}  // namespace
}  // namespace vanillalatch
