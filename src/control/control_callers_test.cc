// The callers of ControlWorld: operators and entry VMs.
#include <algorithm>
#include <utility>

#include "src/control/control_world.h"

namespace vanillalatch {
namespace {

// A caller gives up on one control VM after this time.
constexpr Duration kCallTimeout = std::chrono::milliseconds(2500);
constexpr Duration kSyncTimeout = std::chrono::milliseconds(1500);
constexpr Duration kRetryPause = std::chrono::milliseconds(100);

}  // namespace

void ControlWorld::AddEntry(const std::string& name,
                            std::vector<std::string> controls) {
  EntryVm& entry = entries_[name];
  entry.name = name;
  entry.controls = std::move(controls);
  SyncNext(name);
}

void ControlWorld::SyncNext(const std::string& name) {
  EntryVm& entry = entries_[name];
  const std::uint64_t call = ++entry.call;
  const std::string to = entry.controls[entry.at];
  pb::SyncRequest request;
  request.set_vm(name);
  request.set_revision(entry.revision);
  request.set_state(entry.state);
  network_.Send(name, to, [this, name, to, call, request] {
    Deliver(to, [this, name, to, call, request] {
      const std::uint64_t ticket = ++next_ticket_;
      syncs_[ticket] = [this, name, to, call](const pb::SyncReply& reply) {
        network_.Send(to, name, [this, name, call, reply] {
          TakeSync(name, call, reply);
        });
      };
      Use(Control(to), [&](ControlNode& node) {
        node.OnSync(network_.now(), Ticket{ticket}, request);
      });
    });
  });
  network_.At(network_.now() + kSyncTimeout, [this, name, call] {
    EntryVm& it = entries_[name];
    if (it.call == call) {
      it.at = (it.at + 1) % it.controls.size();
      SyncNext(name);
    }
  });
}

void ControlWorld::TakeSync(const std::string& name, std::uint64_t call,
                            const pb::SyncReply& reply) {
  EntryVm& entry = entries_[name];
  CheckSync(entry, reply);
  if (entry.call != call) {
    return;
  }
  if (reply.has_catalog()) {
    CheckCatalog(reply.catalog());
    entry.revision = reply.catalog().revision();
    Note(name + " has revision " + std::to_string(entry.revision));
  }
  if (!reply.from_quorum()) {
    entry.at = (entry.at + 1) % entry.controls.size();
  }
  SyncNext(name);
}

bool ControlWorld::AllInForce(std::uint64_t revision,
                              const std::string& skipped) const {
  return std::all_of(entries_.begin(), entries_.end(), [&](const auto& it) {
    return it.first == skipped || it.second.revision >= revision;
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
  call.name = author;
  call.change.set_change_id(id);
  call.change.set_author(author);
  call.change.set_base_revision(base);
  call.change.clear_services();
  pb::Service& added = *call.change.add_services();
  added.set_name(service);
  pb::ClassTarget& target = *added.add_classes();
  target.set_name("all");
  target.set_latency_ms(100);
  const std::vector<std::string> names = ControlNames();
  call.at = static_cast<std::size_t>(std::find(names.begin(), names.end(), at) -
                                     names.begin());
  call.at %= names.size();
  call.give_up = network_.now() + within;
  call.reply.reset();
  Ask(id);
}

void ControlWorld::Ask(const std::string& id) {
  OperatorCall& call = Call(id);
  const std::uint64_t attempt = ++call.attempt;
  const std::string to = ControlNames()[call.at];
  const std::string from = call.name;
  pb::ApplyRequest request;
  *request.mutable_change() = call.change;
  network_.Send(from, to, [this, id, to, from, attempt, request] {
    Deliver(to, [this, id, to, from, attempt, request] {
      const std::uint64_t ticket = ++next_ticket_;
      applies_[ticket] = [this, id, to, from,
                          attempt](const pb::ApplyReply& reply) {
        CheckAnswer(Call(id), reply);
        network_.Send(to, from, [this, id, attempt, reply] {
          TakeApply(id, attempt, reply);
        });
      };
      Use(Control(to), [&](ControlNode& node) {
        node.OnApply(network_.now(), Ticket{ticket}, request);
      });
    });
  });
  network_.At(network_.now() + kCallTimeout, [this, id, attempt] {
    OperatorCall& it = Call(id);
    if (it.attempt == attempt && network_.now() < it.give_up) {
      AskNextControl(it);
    }
  });
}

void ControlWorld::AskNextControl(OperatorCall& call) {
  call.at = (call.at + 1) % controls_.size();
  Ask(call.change.change_id());
}

void ControlWorld::TakeApply(const std::string& id, std::uint64_t attempt,
                             const pb::ApplyReply& reply) {
  OperatorCall& call = Call(id);
  if (call.attempt != attempt) {
    return;
  }
  if (call.lose_answers > 0) {
    --call.lose_answers;
    Note(call.name + " loses the answer to " + id);
    return;
  }
  const pb::ChangeOutcome& outcome = reply.outcome();
  call.reply = reply;
  const bool final = outcome.accepted() || outcome.error_kind() == "conflict" ||
                     outcome.error_kind() == "invalid_argument";
  if (final || network_.now() >= call.give_up) {
    ++call.attempt;
    Note(call.name + " " + id + ": " +
         (outcome.accepted() ? "accepted" : outcome.error_kind()) +
         " at revision " + std::to_string(outcome.revision()));
    if (!final) {
      Note("  because " + outcome.message());
    }
    if (outcome.accepted()) {
      accepted_revision_ = std::max(accepted_revision_, outcome.revision());
    }
    return;
  }
  ++call.attempt;
  const std::string leader = NameOfAddress(reply.leader_address());
  network_.At(network_.now() + kRetryPause, [this, id, leader] {
    OperatorCall& it = Call(id);
    const std::vector<std::string> names = ControlNames();
    const auto found = std::find(names.begin(), names.end(), leader);
    if (found == names.end()) {
      AskNextControl(it);
      return;
    }
    it.at = static_cast<std::size_t>(found - names.begin());
    Ask(id);
  });
}

void ControlWorld::Get(const std::string& at) {
  const std::uint64_t ticket = ++next_ticket_;
  const std::uint64_t known = accepted_revision_;
  last_get_.reset();
  gets_[ticket] = [this, at, known](const pb::GetReply& reply) {
    last_get_ = reply;
    if (!reply.error_kind().empty()) {
      return;
    }
    CheckCatalog(reply.catalog());
    if (reply.catalog().revision() < known) {
      throw scenario::Failure("stale read at " + at + ": revision " +
                              std::to_string(reply.catalog().revision()) +
                              " after " + std::to_string(known) +
                              " was accepted");
    }
  };
  Deliver(at, [this, at, ticket] {
    Use(Control(at),
        [&](ControlNode& node) { node.OnGet(network_.now(), Ticket{ticket}); });
  });
}

}  // namespace vanillalatch
