#include <map>
#include <memory>
#include <string>
#include <utility>

#include "src/capacity/measurement.h"
#include "vanillalatch/control/control_node.h"
#include "vanillalatch/storage/disk.h"

namespace vanillalatch {
namespace {

constexpr Duration kStep = std::chrono::milliseconds(10);
constexpr std::size_t kClassesPerService = 3;

// Stores files in memory.
class MemoryDisk : public Disk {
 public:
  std::optional<std::string> Read(std::string_view name) override {
    const auto it = files_.find(name);
    return it == files_.end() ? std::nullopt : std::optional(it->second);
  }
  void Append(std::string_view name, std::string_view bytes) override {
    files_[std::string(name)].append(bytes);
  }
  void Sync(std::string_view) override {}
  void SyncNames() override {}
  void Replace(std::string_view name, std::string_view bytes) override {
    files_[std::string(name)] = std::string(bytes);
  }
  void Remove(std::string_view name) override {
    const auto it = files_.find(name);
    if (it != files_.end()) {
      files_.erase(it);
    }
  }

 private:
  std::map<std::string, std::string, std::less<>> files_;
};

// Control VMs in virtual time, connected by a network without delay or loss.
// Counts the bytes that each VM sends.
class ControlGroup {
 public:
  explicit ControlGroup(std::size_t voters) : disks_(voters), sent_(voters) {
    ControlOptions options;
    for (std::size_t n = 0; n < voters; ++n) {
      options.configured_vms.push_back(
          {"control-" + std::to_string(n), AddressOf(n), "one"});
    }
    for (std::size_t n = 0; n < voters; ++n) {
      options.vm = options.configured_vms[n].vm;
      nodes_.push_back(
          ControlNode::Create(options, disks_[n], now_, n + 1).value());
    }
    Run(std::chrono::seconds(5));
  }

  void Run(Duration time) {
    for (const TimePoint end = now_ + time; now_ < end; now_ += kStep) {
      for (const auto& it : nodes_) {
        it->OnTick(now_);
      }
      DeliverAll();
    }
  }

  ControlNode& leader() {
    for (const auto& it : nodes_) {
      if (it->Status().role() == "leader") {
        return *it;
      }
    }
    throw Error(ErrorKind::kNoQuorum, "no leader");
  }

  // Submits one change to the leader, waits for its outcome and returns the
  // revision.
  std::uint64_t Apply(pb::Change change) {
    pb::ApplyRequest request;
    change.set_base_revision(revision_);
    change.set_change_id("change-" + std::to_string(++changes_));
    *request.mutable_change() = std::move(change);
    leader().OnApply(now_, Ticket(changes_), request);
    applied_ = false;
    for (int n = 0; n < 1000 && !applied_; ++n) {
      Run(kStep);
    }
    return revision_;
  }

  // Sends the sync request of one entry VM to the leader. The leader answers
  // immediately or at the end of its hold time.
  void SendSync(std::size_t vm, std::uint64_t revision) {
    pb::SyncRequest request;
    request.set_vm("entry-" + std::to_string(vm));
    request.set_data_center("one");
    request.set_revision(revision);
    leader().OnSync(now_, Ticket(1'000'000 + ++syncs_), request);
  }

  // Bytes sent by the VM that has sent most.
  std::uint64_t MaxBytesSent() const {
    std::uint64_t max_bytes = 0;
    for (const std::uint64_t it : sent_) {
      max_bytes = std::max(max_bytes, it);
    }
    return max_bytes;
  }
  std::uint64_t sync_bytes() const { return sync_bytes_; }
  std::uint64_t revision() const { return revision_; }

 private:
  static std::string AddressOf(std::size_t n) {
    return "10.0.0." + std::to_string(n + 1) + ":7000";
  }

  void DeliverAll() {
    for (bool again = true; again;) {
      again = false;
      for (std::size_t n = 0; n < nodes_.size(); ++n) {
        again |= ExecuteActions(n);
      }
    }
  }

  // Delivers the messages and collects the replies of one VM. Returns true if
  // it sent messages.
  bool ExecuteActions(std::size_t from) {
    const ControlActions actions = nodes_[from]->TakeActions();
    for (const auto& [ticket, reply] : actions.applies) {
      revision_ = reply.outcome().revision();
      applied_ = true;
    }
    for (const auto& [ticket, reply] : actions.syncs) {
      sync_bytes_ += reply.ByteSizeLong();
    }
    for (const ControlActions::Send& it : actions.sends) {
      sent_[from] += it.message.ByteSizeLong();
      for (std::size_t to = 0; to < nodes_.size(); ++to) {
        if (AddressOf(to) == it.address) {
          nodes_[to]->OnMessage(now_, it.message);
        }
      }
    }
    return !actions.sends.empty();
  }

  std::vector<MemoryDisk> disks_;
  std::vector<std::uint64_t> sent_;
  std::vector<std::unique_ptr<ControlNode>> nodes_;
  TimePoint now_{std::chrono::seconds(1)};
  std::uint64_t changes_ = 0;
  std::uint64_t syncs_ = 0;
  std::uint64_t sync_bytes_ = 0;
  std::uint64_t revision_ = 0;
  bool applied_ = false;
};

// Returns a change that sets the classes and targets of `services` services.
pb::Change MakeCatalogChange(std::size_t services, std::uint32_t latency_ms) {
  pb::Change change;
  change.set_author("operator");
  for (std::size_t n = 0; n < services; ++n) {
    pb::Service& service = *change.add_services();
    service.set_name("service-" + std::to_string(n));
    for (std::size_t i = 0; i < kClassesPerService; ++i) {
      pb::ClassTarget& it = *service.add_classes();
      it.set_name("class-" + std::to_string(i));
      if (i > 0) {
        it.add_path_prefixes("/path-" + std::to_string(i));
      }
      it.set_latency_ms(latency_ms + static_cast<std::uint32_t>(i));
      it.set_success_permille(990);
      it.set_share_percent(30);
    }
  }
  return change;
}

Measurement MeasureChange() {
  Measurement cpu{"change_cpu",
                  "Processor time of a change at three control VMs together",
                  "services",
                  "ms",
                  {}};
  constexpr int kChanges = 20;
  for (const std::size_t n : {29, 145, 290, 580}) {
    ControlGroup group(3);
    group.Apply(MakeCatalogChange(n, 100));
    const double before = ThreadCpuSeconds();
    for (int i = 0; i < kChanges; ++i) {
      group.Apply(MakeCatalogChange(n, 101 + i));
    }
    cpu.points.push_back({static_cast<double>(n),
                          (ThreadCpuSeconds() - before) * 1000 / kChanges});
  }
  return cpu;
}

Measurement MeasureCatalogBytes() {
  Measurement bytes{"catalog_bytes",
                    "Catalog as it is sent to an entry VM",
                    "services",
                    "B",
                    {}};
  for (const std::size_t n : {29, 145, 290, 580}) {
    ControlGroup group(1);
    group.Apply(MakeCatalogChange(n, 100));
    const std::uint64_t before = group.sync_bytes();
    group.SendSync(0, 0);
    group.Run(kStep);
    bytes.points.push_back({static_cast<double>(n),
                            static_cast<double>(group.sync_bytes() - before)});
  }
  return bytes;
}

Measurement MeasureControlMemory() {
  Measurement memory{"control_bytes",
                     "Memory of a control VM's state by past changes",
                     "changes",
                     "B",
                     {}};
  for (const std::size_t n : {200, 400, 800, 1600}) {
    const double before = AllocatedHeapBytes();
    ControlGroup group(1);
    for (std::size_t i = 0; i < n; ++i) {
      group.Apply(MakeCatalogChange(20, 100 + static_cast<std::uint32_t>(i)));
    }
    memory.points.push_back(
        {static_cast<double>(n), AllocatedHeapBytes() - before});
  }
  return memory;
}

Measurement MeasureSync() {
  Measurement cpu{"sync_cpu",
                  "Processor time of a control VM by entry VMs",
                  "entry VMs",
                  "% of a core",
                  {}};
  constexpr int kSeconds = 20;
  for (const std::size_t n : {50, 100, 200, 400, 1100}) {
    ControlGroup group(1);
    group.Apply(MakeCatalogChange(20, 100));
    const double before = ThreadCpuSeconds();
    for (int second = 0; second < kSeconds; ++second) {
      for (std::size_t vm = 0; vm < n; ++vm) {
        group.SendSync(vm, group.revision());
      }
      group.Run(std::chrono::seconds(1));
    }
    cpu.points.push_back({static_cast<double>(n),
                          (ThreadCpuSeconds() - before) * 100 / kSeconds});
  }
  return cpu;
}

Measurement MeasureHeartbeats() {
  Measurement bytes{
      "heartbeat_bytes", "Heartbeats of the leader", "control VMs", "B/s", {}};
  constexpr int kSeconds = 20;
  for (const std::size_t n : {3, 5, 7, 9, 13}) {
    ControlGroup group(n);
    const std::uint64_t before = group.MaxBytesSent();
    group.Run(std::chrono::seconds(kSeconds));
    bytes.points.push_back(
        {static_cast<double>(n),
         static_cast<double>(group.MaxBytesSent() - before) / kSeconds});
  }
  return bytes;
}

}  // namespace

std::vector<Measurement> MeasureControl() {
  return {MeasureChange(), MeasureCatalogBytes(), MeasureControlMemory(),
          MeasureSync(), MeasureHeartbeats()};
}

}  // namespace vanillalatch
