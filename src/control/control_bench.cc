// Measures the CPU time of control VMs and the size of an entry VM's report.
#include <benchmark/benchmark.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/storage/fake_disk.h"
#include "vanillalatch/control/control_node.h"

namespace vanillalatch {
namespace {

constexpr Duration kStep = std::chrono::milliseconds(10);

// Three control VMs whose messages arrive without delay.
class Group {
 public:
  Group() : disks_(3) {
    ControlOptions options;
    options.configured_vms = {
        {"c0", "0", "a"}, {"c1", "1", "b"}, {"c2", "2", "c"}};
    for (std::size_t n = 0; n < disks_.size(); ++n) {
      options.vm = options.configured_vms[n].vm;
      nodes_.push_back(
          ControlNode::Create(options, disks_[n], now_, n).value());
    }
    while (Leader() == nullptr) {
      Tick();
    }
  }

  ControlNode* Leader() {
    for (const auto& it : nodes_) {
      if (it->Status().role() == "leader") {
        return it.get();
      }
    }
    return nullptr;
  }

  void Tick() {
    now_ += kStep;
    for (const auto& it : nodes_) {
      if (it->NextWake() <= now_) {
        it->OnTick(now_);
      }
    }
    Deliver();
  }

  // Delivers all messages, including those sent in reaction to others.
  void Deliver() {
    for (bool more = true; more;) {
      more = false;
      for (const auto& it : nodes_) {
        for (const ControlActions::Send& send : it->TakeActions().sends) {
          nodes_[std::stoul(send.address)]->OnMessage(now_, send.message);
          more = true;
        }
      }
    }
  }

  TimePoint now() const { return now_; }

 private:
  std::vector<FakeDisk> disks_;
  std::vector<std::unique_ptr<ControlNode>> nodes_;
  TimePoint now_{std::chrono::seconds(1)};
};

pb::Change MakeChange(std::uint64_t base, int services) {
  pb::Change change;
  change.set_change_id("change-" + std::to_string(base));
  change.set_base_revision(base);
  for (int n = 0; n < services; ++n) {
    pb::Service& service = *change.add_services();
    service.set_name("service-" + std::to_string(n));
    for (const char* name : {"urgent", "routine"}) {
      pb::ClassTarget& target = *service.add_classes();
      target.set_name(name);
      target.add_path_prefixes(std::string("/") + name);
      target.set_latency_ms(100);
      target.set_success_permille(999);
      target.set_share_percent(50);
    }
  }
  return change;
}

void IdleSecond(benchmark::State& state) {
  Group group;
  for (auto it : state) {
    for (Duration n = Duration::zero(); n < std::chrono::seconds(1);
         n += kStep) {
      group.Tick();
    }
  }
}
BENCHMARK(IdleSecond)->Unit(benchmark::kMicrosecond);

// One change at all three VMs, with in-memory disks.
void AcceptChange(benchmark::State& state) {
  Group group;
  ControlNode* leader = group.Leader();
  std::uint64_t revision = 0;
  pb::Change change;
  for (auto it : state) {
    change = MakeChange(revision++, static_cast<int>(state.range(0)));
    pb::ApplyRequest request;
    *request.mutable_change() = change;
    leader->OnApply(group.now(), Ticket{revision}, request);
    group.Deliver();
  }
  if (leader->Status().revision() != revision) {
    state.SkipWithError("a change was not accepted");
  }
  state.counters["change_bytes"] = static_cast<double>(change.ByteSizeLong());
}
BENCHMARK(AcceptChange)
    ->Arg(2)
    ->Arg(50)
    ->Arg(580)
    ->Unit(benchmark::kMicrosecond);

void EncodeReport(benchmark::State& state) {
  pb::SyncRequest request;
  request.set_vm("entry-north-1");
  request.set_data_center("north");
  request.set_revision(1000);
  request.set_state("serving");
  pb::ServiceReport& service = *request.add_services();
  service.set_service_id(1);
  pb::ClassReport& report = *service.add_classes();
  report.set_class_id(1);
  report.set_answered(1000000);
  report.set_p99_us(100000);
  for (int n = 0; n < static_cast<int>(state.range(0)); ++n) {
    pb::EndpointReport& endpoint = *service.add_endpoints();
    endpoint.set_name("records-" + std::to_string(n));
    endpoint.set_address("10.0.0." + std::to_string(n) + ":5683");
    endpoint.set_state("ready");
    endpoint.set_slots(3);
    endpoint.set_requests(1000000);
    endpoint.set_busy_us(1000000000);
  }
  std::string bytes;
  for (auto it : state) {
    bytes = request.SerializeAsString();
    benchmark::DoNotOptimize(bytes);
  }
  state.counters["report_bytes"] = static_cast<double>(bytes.size());
}
BENCHMARK(EncodeReport)->Arg(4)->Arg(15);

}  // namespace
}  // namespace vanillalatch

BENCHMARK_MAIN();
