// Part of ControlWorld: the operators and entry VMs that call control VMs.
#include <algorithm>
#include <utility>

#include "src/control/control_world.h"

namespace vanillalatch {
namespace {

// An operator and an entry VM try the next control VM after these times without
// an answer.
constexpr Duration kCallTimeout = std::chrono::milliseconds(2500);
constexpr Duration kSyncTimeout = std::chrono::milliseconds(1500);
// An operator repeats a refused call after this time.
constexpr Duration kRetryInterval = std::chrono::milliseconds(100);

bool IsFinal(const pb::ChangeOutcome& outcome) {
  return outcome.accepted() || outcome.error_kind() == "conflict" ||
         outcome.error_kind() == "invalid_argument" ||
         outcome.error_kind() == "not_found";
}

}  // namespace

void ControlWorld::AddEntry(const std::string& name,
                            std::vector<std::string> controls) {
  EntryVm& entry = entries_[name];
  entry.name = name;
  entry.controls = std::move(controls);
  SendSync(name);
}

void ControlWorld::SendSync(const std::string& name) {
  EntryVm& entry = entries_[name];
  const std::uint64_t call = ++entry.open_call;
  const std::string to = entry.controls[entry.control_index];
  pb::SyncRequest request;
  request.set_vm(name);
  request.set_revision(entry.revision);
  request.set_state(entry.state);
  network_.Send(name, to, [this, name, to, call, request] {
    Deliver(to, [this, name, to, call, request] {
      const std::uint64_t ticket = ++next_ticket_;
      syncs_[ticket] = [this, name, to, call](const pb::SyncReply& reply) {
        network_.Send(to, name, [this, name, call, reply] {
          HandleSyncReply(name, call, reply);
        });
      };
      RunOnNode(Control(to), [&](ControlNode& node) {
        node.OnSync(network_.now(), Ticket{ticket}, request);
      });
    });
  });
  network_.Schedule(network_.now() + kSyncTimeout, [this, name, call] {
    EntryVm& it = entries_[name];
    if (it.open_call == call) {
      it.control_index = (it.control_index + 1) % it.controls.size();
      SendSync(name);
    }
  });
}

void ControlWorld::HandleSyncReply(const std::string& name, std::uint64_t call,
                                   const pb::SyncReply& reply) {
  EntryVm& entry = entries_[name];
  CheckSync(entry, reply);
  if (entry.open_call != call) {
    return;
  }
  if (reply.has_catalog()) {
    CheckCatalog(reply.catalog());
    entry.revision = reply.catalog().revision();
    AppendJournal(name + " has revision " + std::to_string(entry.revision));
  }
  if (!reply.from_quorum()) {
    entry.control_index = (entry.control_index + 1) % entry.controls.size();
  }
  SendSync(name);
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
