// Part of ControlWorld: the operators and entry VMs that call control VMs.
#include <algorithm>
#include <utility>

#include "src/control/control_world.h"

namespace vanillalatch {
namespace {

constexpr std::string_view kPort = ":7400";  // As in control_world_test.cc.
// An operator tries the next control VM after this time without an answer.
constexpr Duration kCallTimeout = std::chrono::milliseconds(2500);
// An operator repeats a refused call after this time.
constexpr Duration kRetryInterval = std::chrono::milliseconds(100);

bool IsFinal(const pb::ChangeOutcome& outcome) {
  return outcome.accepted() || outcome.error_kind() == "conflict" ||
         outcome.error_kind() == "invalid_argument" ||
         outcome.error_kind() == "not_found";
}

std::vector<std::string> AddressesOf(const std::vector<std::string>& names) {
  std::vector<std::string> addresses;
  addresses.reserve(names.size());
  for (const std::string& it : names) {
    addresses.push_back(it + std::string(kPort));
  }
  return addresses;
}

}  // namespace

void ControlWorld::AddEntry(const std::string& name,
                            const std::vector<std::string>& controls) {
  EntryVm& entry = entries_[name];
  entry.name = name;
  entry.revision = 0;
  ++entry.starts;
  entry.plan.emplace(SyncPlanOptions{name, AddressesOf(controls)},
                     network_.now());
  entry.plan->SetStarting(false);
  AdvanceEntry(name);
}

void ControlWorld::AdvanceEntry(const std::string& name) {
  EntryVm& entry = entries_[name];
  for (const SyncStart& it : entry.plan->TakeCalls(network_.now())) {
    SendSync(name, it);
  }
  const TimePoint wake = entry.plan->NextWake();
  if (wake >= entry.next_wake) {
    return;
  }
  entry.next_wake = wake;
  network_.Schedule(wake, [this, name, wake] {
    EntryVm& it = entries_[name];
    if (it.next_wake == wake) {
      it.next_wake = kNever;
      AdvanceEntry(name);
    }
  });
}

void ControlWorld::SendSync(const std::string& name, const SyncStart& start) {
  const EntryVm& entry = entries_[name];
  const std::string to = NameOfAddress(start.address);
  pb::SyncRequest request;
  request.set_vm(name);
  request.set_revision(entry.revision);
  request.set_state(entry.state);
  const auto answer = [this, name, to, call = start.id,
                       starts = entry.starts](const pb::SyncReply& reply) {
    network_.Send(to, name, [this, name, call, starts, reply] {
      if (entries_[name].starts == starts) {
        HandleSyncReply(name, call, reply);
      }
    });
  };
  network_.Send(name, to, [this, to, answer, request] {
    Deliver(to, [this, to, answer, request] {
      const std::uint64_t ticket = ++next_ticket_;
      syncs_[ticket] = answer;
      RunOnNode(Control(to), [&](ControlNode& node) {
        node.OnSync(network_.now(), Ticket{ticket}, request);
      });
    });
  });
  network_.Schedule(network_.now() + start.timeout,
                    [this, name, call = start.id, starts = entry.starts] {
                      if (entries_[name].starts == starts) {
                        EndSync(name, call, {});
                      }
                    });
}

void ControlWorld::HandleSyncReply(const std::string& name, SyncCallId call,
                                   const pb::SyncReply& reply) {
  EntryVm& entry = entries_[name];
  CheckSync(entry, reply);
  if (reply.catalog().revision() > entry.revision) {
    CheckCatalog(reply.catalog());
    entry.revision = reply.catalog().revision();
    AppendJournal(name + " has revision " + std::to_string(entry.revision));
  }
  EndSync(
      name, call,
      {true,
       reply.from_quorum(),
       reply.committed_revision(),
       {reply.control_addresses().begin(), reply.control_addresses().end()}});
}

void ControlWorld::EndSync(const std::string& name, SyncCallId call,
                           const SyncOutcome& outcome) {
  SyncPlan& plan = *entries_[name].plan;
  plan.SetRevisions(network_.now(), entries_[name].revision, 0);
  plan.OnOutcome(network_.now(), call, outcome);
  AdvanceEntry(name);
}

void ControlWorld::SetMembers(const std::string& entry,
                              const std::vector<std::string>& controls) {
  entries_[entry].plan->SetMembers(AddressesOf(controls));
  AdvanceEntry(entry);
}

void ControlWorld::StateRevisions() {
  std::uint64_t newest = 0;
  for (const auto& [name, it] : entries_) {
    newest = std::max(newest, it.revision);
  }
  for (auto& [name, it] : entries_) {
    it.plan->SetRevisions(network_.now(), it.revision,
                          newest > it.revision ? newest : 0);
    AdvanceEntry(name);
  }
}

bool ControlWorld::IsInForceEverywhere(std::uint64_t revision,
                                       const std::string& excluded) const {
  return std::all_of(entries_.begin(), entries_.end(), [&](const auto& it) {
    return it.first == excluded || it.second.revision >= revision;
  });
}

OperatorCall& ControlWorld::Call(const std::string& id) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) {
    throw scenario::Failure("no change " + id);
  }
  return it->second;
}

void ControlWorld::Apply(const std::string& author, const std::string& id,
                         std::uint64_t base, const std::string& service,
                         const std::string& at, Duration within) {
  OperatorCall& call = calls_[id];
  call.operator_name = author;
  call.change.set_change_id(id);
  call.change.set_author(author);
  call.change.set_base_revision(base);
  call.change.clear_services();
  call.change.clear_evacuation();
  pb::Service& added = *call.change.add_services();
  added.set_name(service);
  pb::ClassTarget& target = *added.add_classes();
  target.set_name("all");
  target.set_latency_ms(100);
  StartCall(call, at, within);
}

void ControlWorld::StartCall(OperatorCall& call, const std::string& at,
                             Duration within) {
  const std::vector<std::string> names = ControlNames();
  call.control_index = static_cast<std::size_t>(
      std::find(names.begin(), names.end(), at) - names.begin());
  call.control_index %= names.size();
  call.deadline = network_.now() + within;
  call.reply.reset();
  SendApply(call.change.change_id());
}

void ControlWorld::Order(const std::string& author, const std::string& id,
                         const std::string& data_center, bool end,
                         const std::string& at, Duration within) {
  OperatorCall& call = calls_[id];
  call.operator_name = author;
  call.change.Clear();
  call.change.set_change_id(id);
  call.change.set_author(author);
  call.change.mutable_evacuation()->set_data_center(data_center);
  call.change.mutable_evacuation()->set_end(end);
  call.order = orders_.size();
  orders_.push_back({call.change.evacuation(), network_.now(), {}, false});
  AppendJournal(author + " orders " + id + ": " + (end ? "end" : "start") +
                " of " + data_center + " at " + at);
  StartCall(call, at, within);
}

void ControlWorld::SendApply(const std::string& id) {
  OperatorCall& call = Call(id);
  const std::uint64_t attempt = ++call.attempt;
  if (call.change.has_evacuation()) {
    orders_[call.order].latest = network_.now() + kCallTimeout;
  }
  const std::string to = ControlNames()[call.control_index];
  const std::string from = call.operator_name;
  pb::ApplyRequest request;
  *request.mutable_change() = call.change;
  // Calls use connections, so that a call arrives once. A change of the catalog
  // withstands duplicates, so it is delivered with them.
  const auto arrived = std::make_shared<bool>(false);
  network_.Send(from, to, [this, id, to, from, attempt, request, arrived] {
    if (request.change().has_evacuation() && std::exchange(*arrived, true)) {
      return;
    }
    if (request.change().has_evacuation() &&
        Control(to).level < kEvacuationLevel) {
      return;
    }
    Deliver(to, [this, id, to, from, attempt, request] {
      const std::uint64_t ticket = ++next_ticket_;
      applies_[ticket] = [this, id, to, from,
                          attempt](const pb::ApplyReply& reply) {
        CheckAnswer(Call(id), reply);
        network_.Send(to, from, [this, id, attempt, reply] {
          HandleApplyReply(id, attempt, reply);
        });
      };
      RunOnNode(Control(to), [&](ControlNode& node) {
        node.OnApply(network_.now(), Ticket{ticket}, request);
      });
    });
  });
  network_.Schedule(network_.now() + kCallTimeout, [this, id, attempt] {
    OperatorCall& it = Call(id);
    if (it.attempt == attempt && network_.now() < it.deadline) {
      RetryAtNextControl(it);
    }
  });
}

void ControlWorld::RetryAtNextControl(OperatorCall& call) {
  call.control_index = (call.control_index + 1) % controls_.size();
  SendApply(call.change.change_id());
}

void ControlWorld::HandleApplyReply(const std::string& id,
                                    std::uint64_t attempt,
                                    const pb::ApplyReply& reply) {
  OperatorCall& call = Call(id);
  if (call.attempt != attempt) {
    return;
  }
  if (call.answers_to_lose > 0) {
    --call.answers_to_lose;
    AppendJournal(call.operator_name + " loses the answer to " + id);
    return;
  }
  const pb::ChangeOutcome& outcome = reply.outcome();
  call.reply = reply;
  const bool final = IsFinal(outcome);
  if (final || network_.now() >= call.deadline) {
    ++call.attempt;
    AppendJournal(call.operator_name + " " + id + ": " +
                  (outcome.accepted() ? "accepted" : outcome.error_kind()) +
                  " at revision " + std::to_string(outcome.revision()));
    if (!final) {
      AppendJournal("  because " + outcome.message());
    }
    if (outcome.accepted() && call.change.has_evacuation()) {
      orders_[call.order].latest = network_.now();
      orders_[call.order].acknowledged = true;
    }
    if (outcome.accepted()) {
      accepted_revision_ = std::max(accepted_revision_, outcome.revision());
    }
    return;
  }
  ++call.attempt;
  const std::string leader = NameOfAddress(reply.leader_address());
  network_.Schedule(network_.now() + kRetryInterval, [this, id, leader] {
    OperatorCall& it = Call(id);
    const std::vector<std::string> names = ControlNames();
    const auto found = std::find(names.begin(), names.end(), leader);
    if (found == names.end()) {
      RetryAtNextControl(it);
      return;
    }
    it.control_index = static_cast<std::size_t>(found - names.begin());
    SendApply(id);
  });
}

void ControlWorld::Get(const std::string& at) {
  const std::uint64_t ticket = ++next_ticket_;
  const std::uint64_t min_revision = accepted_revision_;
  const TimePoint begin = network_.now();
  last_get_.reset();
  gets_[ticket] = [this, at, min_revision, begin](const pb::GetReply& reply) {
    last_get_ = reply;
    if (!reply.error_kind().empty()) {
      return;
    }
    CheckCatalog(reply.catalog());
    CheckEvacuations(begin, reply.catalog());
    if (reply.catalog().revision() < min_revision) {
      throw scenario::Failure("stale read at " + at + ": revision " +
                              std::to_string(reply.catalog().revision()) +
                              " after " + std::to_string(min_revision) +
                              " was accepted");
    }
  };
  Deliver(at, [this, at, ticket] {
    RunOnNode(Control(at), [&](ControlNode& node) {
      node.OnGet(network_.now(), Ticket{ticket});
    });
  });
}

}  // namespace vanillalatch
