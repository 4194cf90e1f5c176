// Plays the start of a whole fleet without a network: six control VMs with
// stored data and 200 entry VMs that ask them for a catalog of 1,900 routes at
// the same time. Each control VM has the processor share of its role, so every
// message that it handles or sends delays the next one.
#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "src/storage/fake_disk.h"
#include "vanillalatch/catalog/catalog_feed.h"
#include "vanillalatch/catalog/packed.h"
#include "vanillalatch/control/control_node.h"

namespace vanillalatch {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kControlVms = 6;
constexpr std::size_t kEntryVms = 200;
constexpr int kRoutes = 1900;
constexpr std::uint64_t kChanges = 40;  // Of the flow table, before the start.
constexpr int kDocumentBytesPerRoute = 200;
constexpr double kProcessorShare = 0.15;
constexpr double kLinkBytesPerSecond = 250e3;  // Of an entry VM: 2 Mbit/s.
constexpr Duration kStartSpread = milliseconds(300);
constexpr Duration kSyncTimeout = milliseconds(600);
constexpr Duration kRetryDelay = milliseconds(50);
// Processor time on a whole core: of one call, of a message object per encoded
// byte (parse, copy and serialise), and of bytes that are only copied.
constexpr Duration kCallTime = microseconds(150);
constexpr double kObjectSecondsPerByte = 50e-9;
constexpr double kCopySecondsPerByte = 1e-9;

Duration Seconds(double value) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(value));
}

struct Rules {
  std::size_t snapshot_bytes;
  bool packed;         // The entry VMs read packed differences.
  bool log_first;      // Messages of the log do not wait behind Sync calls.
  bool replaces_call;  // A call of a VM ends its earlier one.
};

class StartWorld {
 public:
  explicit StartWorld(Rules rules) : rules_(rules) {
    for (std::size_t n = 0; n < kControlVms; ++n) {
      const std::string name = "c" + std::to_string(n);
      peers_.push_back({name, name, ""});
    }
    controls_.resize(kControlVms);
    entries_.resize(kEntryVms);
    StoreCatalog();
  }

  // Starts every VM and returns when all have the catalog and a leader is
  // elected, or at `limit`.
  void Run(Duration limit) {
    started_at_ = now_;
    std::uniform_real_distribution<double> spread(0, 1);
    const auto delay = [&] {
      return Seconds(spread(random_) *
                     std::chrono::duration<double>(kStartSpread).count());
    };
    for (std::size_t n = 0; n < kControlVms; ++n) {
      At(now_ + delay(), [this, n] { StartControl(n); });
    }
    for (std::size_t n = 0; n < kEntryVms; ++n) {
      entries_[n].control = random_() % kControlVms;
      At(now_ + delay(), [this, n] { Ask(n); });
    }
    while (!events_.empty() && now_ < started_at_ + limit &&
           (!leader_after_ || with_catalog_ < kEntryVms)) {
      Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.run();
    }
  }

  std::optional<Duration> leader_after() const { return leader_after_; }
  std::size_t with_catalog() const { return with_catalog_; }
  Duration elapsed() const { return now_ - started_at_; }
  std::size_t most_open_calls() const { return most_open_calls_; }

 private:
  struct Event {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };
  using Work = std::function<void()>;
  struct Control {
    FakeDisk disk;
    std::unique_ptr<ControlNode> node;
    std::deque<Work> log_work;
    std::deque<Work> sync_work;
    bool busy = false;
    TimePoint timer = kNever;
    std::map<std::uint64_t, std::pair<std::size_t, std::uint64_t>> calls;
  };
  struct Entry {
    std::size_t control = 0;
    std::uint64_t call = 0;  // Number of the call that it waits for.
    CatalogReceiver receiver;
  };

  void At(TimePoint at, std::function<void()> run) {
    events_.push({at, ++order_, std::move(run)});
  }

  ControlOptions OptionsOf(std::size_t n) const {
    ControlOptions options;
    options.vm = peers_[n].vm;
    options.configured_vms = peers_;
    options.snapshot_bytes = rules_.snapshot_bytes;
    return options;
  }

  // Lets the group accept the changes without any cost, then ends all nodes.
  void StoreCatalog() {
    for (std::size_t n = 0; n < kControlVms; ++n) {
      controls_[n].node =
          ControlNode::Create(OptionsOf(n), controls_[n].disk, now_, n).value();
    }
    for (int step = 0; step < 6000 && !AllHaveCatalog(); ++step) {
      now_ += milliseconds(10);
      for (Control& it : controls_) {
        it.node->OnTick(now_);
        if (it.node->Status().role() == "leader" &&
            it.node->Status().revision() == proposed_ && proposed_ < kChanges) {
          it.node->OnApply(now_, Ticket(1), FlowTable(++proposed_));
        }
      }
      DeliverAll();
    }
    REQUIRE(AllHaveCatalog());
    for (Control& it : controls_) {
      it.node.reset();
    }
  }

  bool AllHaveCatalog() const {
    return std::all_of(controls_.begin(), controls_.end(), [](const auto& it) {
      return it.node->Status().revision() == kChanges &&
             it.node->Status().role() != "learner";
    });
  }

  // Delivers the messages of all nodes until none is left.
  void DeliverAll() {
    bool delivered = true;
    while (delivered) {
      delivered = false;
      for (Control& it : controls_) {
        const ControlActions actions = it.node->TakeActions();
        for (const ControlActions::Send& send : actions.sends) {
          controls_[IndexOf(send.address)].node->OnMessage(now_, send.message);
          delivered = true;
        }
      }
    }
  }

  pb::ApplyRequest FlowTable(std::uint64_t version) {
    pb::ApplyRequest request;
    request.mutable_change()->set_change_id("flows");
    pb::FlowTable& table = *request.mutable_change()->mutable_flows();
    table.set_version(version);
    std::string document;
    for (int n = 0; n < kRoutes; ++n) {
      const std::string name = std::to_string(random_());
      document += name + std::string(kDocumentBytesPerRoute - name.size(), ' ');
    }
    if (rules_.packed) {
      *table.mutable_packed_document() = PackBytes(document);
    } else {
      table.set_document(document);
    }
    for (int n = 0; n < kRoutes; ++n) {
      pb::FlowRoute& route = *table.add_routes();
      route.set_name("r-" + std::to_string(n * 7919));
      route.set_ip(0xc6120000 + static_cast<std::uint32_t>(n));
      route.set_port(8443);
      route.set_timeout_ms(2500);
      route.set_latency_ms(500);
      route.set_urgency(2);
      pb::FlowShare& share = *route.add_shares();
      share.set_service("wuno96b");
      share.set_weight(100);
    }
    return request;
  }

  static std::size_t IndexOf(const std::string& address) {
    return static_cast<std::size_t>(std::stoul(address.substr(1)));
  }

  // Reads the stored data, which takes processor time, and then starts the
  // node.
  void StartControl(std::size_t n) {
    double bytes = 0;
    for (const char* it : {"log", "snapshot"}) {
      const std::optional<std::string> file = controls_[n].disk.Read(it);
      bytes += file ? static_cast<double>(file->size()) : 0;
    }
    At(now_ + Seconds(bytes * kObjectSecondsPerByte / kProcessorShare),
       [this, n] {
         controls_[n].node =
             ControlNode::Create(OptionsOf(n), controls_[n].disk, now_, 100 + n)
                 .value();
         SetTimer(n);
         Submit(
             n, [this, n] { controls_[n].node->OnTick(now_); }, true);
       });
  }

  // Queues work for the processor of control VM `n`.
  void Submit(std::size_t n, Work work, bool of_log) {
    Control& control = controls_[n];
    if (control.node == nullptr) {
      return;  // Not started yet: the message is lost.
    }
    const bool apart = rules_.log_first && !of_log;
    (apart ? control.sync_work : control.log_work).push_back(std::move(work));
    RunNext(n);
  }

  void RunNext(std::size_t n) {
    Control& control = controls_[n];
    std::deque<Work>& queue =
        control.log_work.empty() ? control.sync_work : control.log_work;
    if (control.busy || queue.empty()) {
      return;
    }
    const Work work = std::move(queue.front());
    queue.pop_front();
    work();
    control.busy = true;
    const Duration cost = Seconds(
        std::chrono::duration<double>(kCallTime + SendActions(n)).count() /
        kProcessorShare);
    At(now_ + cost, [this, n] {
      controls_[n].busy = false;
      SetTimer(n);
      RunNext(n);
    });
  }

  // Sends what the node requests. Returns the processor time that it takes.
  Duration SendActions(std::size_t n) {
    Control& control = controls_[n];
    const ControlActions actions = control.node->TakeActions();
    Duration cost{};
    for (const ControlActions::Send& it : actions.sends) {
      cost += kCallTime;
      const std::size_t to = IndexOf(it.address);
      At(now_ + milliseconds(2), [this, to, message = it.message] {
        Submit(
            to,
            [this, to, message] {
              controls_[to].node->OnMessage(now_, message);
            },
            true);
      });
    }
    for (const auto& [ticket, reply] : actions.syncs) {
      cost += SendReply(control, ticket.value(), reply);
    }
    if (control.node->Status().role() == "leader" && !leader_after_) {
      leader_after_ = now_ - started_at_;
    }
    return cost;
  }

  Duration SendReply(Control& control, std::uint64_t ticket,
                     const pb::SyncReply& reply) {
    const auto [entry, call] = control.calls.at(ticket);
    control.calls.erase(ticket);
    const auto bytes = static_cast<double>(reply.ByteSizeLong());
    At(now_ + Seconds(bytes / kLinkBytesPerSecond),
       [this, entry = entry, call = call, reply] {
         OnReply(entry, call, reply);
       });
    return Seconds(bytes * (reply.has_catalog() ? kObjectSecondsPerByte
                                                : kCopySecondsPerByte));
  }

  void SetTimer(std::size_t n) {
    Control& control = controls_[n];
    const TimePoint wake = std::max(control.node->NextWake(), now_);
    if (wake >= control.timer && control.timer > now_) {
      return;
    }
    control.timer = wake;
    At(wake, [this, n, wake] {
      if (controls_[n].timer == wake) {
        controls_[n].timer = kNever;
        Submit(
            n, [this, n] { controls_[n].node->OnTick(now_); }, true);
      }
    });
  }

  void Ask(std::size_t n) {
    Entry& entry = entries_[n];
    const std::uint64_t call = ++entry.call;
    const std::size_t to = entry.control;
    pb::SyncRequest request;
    request.set_vm(rules_.replaces_call
                       ? "e" + std::to_string(n)
                       : "e" + std::to_string(n) + "-" + std::to_string(call));
    request.set_accepts_packed(rules_.packed);
    request.set_wants_endpoints(true);
    Submit(
        to,
        [this, to, n, call, request] {
          Control& control = controls_[to];
          const std::uint64_t ticket = ++last_ticket_;
          control.calls[ticket] = {n, call};
          most_open_calls_ = std::max(most_open_calls_, control.calls.size());
          control.node->OnSync(now_, Ticket(ticket), request);
        },
        false);
    At(now_ + kSyncTimeout, [this, n, call] { GiveUp(n, call); });
  }

  void GiveUp(std::size_t n, std::uint64_t call) {
    Entry& entry = entries_[n];
    if (entry.call != call || entry.receiver.catalog().revision() > 0) {
      return;
    }
    ++entry.call;
    entry.control = (entry.control + 1) % kControlVms;
    At(now_ + kRetryDelay, [this, n] { Ask(n); });
  }

  void OnReply(std::size_t n, std::uint64_t call, const pb::SyncReply& reply) {
    Entry& entry = entries_[n];
    if (entry.call != call || entry.receiver.catalog().revision() > 0) {
      return;
    }
    if (reply.has_catalog()) {
      entry.receiver.Set(reply.catalog());
    } else if (reply.deltas_size() > 0) {
      REQUIRE(entry.receiver.Receive(reply.deltas()).value());
    }
    if (entry.receiver.catalog().revision() > 0) {
      CHECK(entry.receiver.catalog().flows().routes_size() == kRoutes);
      ++with_catalog_;
    } else {
      GiveUp(n, call);
    }
  }

  const Rules rules_;
  std::mt19937_64 random_{1};
  TimePoint now_{seconds(1)};
  TimePoint started_at_;
  std::uint64_t order_ = 0;
  std::uint64_t last_ticket_ = 0;
  std::uint64_t proposed_ = 0;  // Version of the last change.
  std::priority_queue<Event> events_;
  std::vector<ControlPeer> peers_;
  std::vector<Control> controls_;
  std::vector<Entry> entries_;
  std::optional<Duration> leader_after_;
  std::size_t with_catalog_ = 0;
  std::size_t most_open_calls_ = 0;
};

TEST_CASE("a fleet of 200 VMs starts with 1,900 routes", "[control][start]") {
  StartWorld world({ControlOptions().snapshot_bytes, true, true, true});
  world.Run(seconds(15));
  REQUIRE(world.leader_after().has_value());
  // The target of an election is 3 s, that of serving again 2 s.
  CHECK(*world.leader_after() <= seconds(3));
  CHECK(world.with_catalog() == kEntryVms);
  CHECK(world.elapsed() <= seconds(3));
  CHECK(world.most_open_calls() <= kEntryVms);
}

TEST_CASE("a long log and whole catalogs delay the start of 200 VMs",
          "[control][start]") {
  // The baseline that the rules above are compared with.
  constexpr std::size_t kNoLimit = std::size_t{1} << 40;
  StartWorld world({kNoLimit, false, false, false});
  world.Run(seconds(15));
  const bool served =
      world.leader_after() && *world.leader_after() <= seconds(3) &&
      world.with_catalog() == kEntryVms && world.elapsed() <= seconds(3);
  INFO("elapsed " << std::chrono::duration<double>(world.elapsed()).count()
                  << " s, VMs with a catalog " << world.with_catalog());
  CHECK(!served);
}

}  // namespace
}  // namespace vanillalatch
