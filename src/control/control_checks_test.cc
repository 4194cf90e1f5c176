// Part of ControlWorld: the invariants that are checked after every event, and
// the expectations of scenarios.
#include <algorithm>
#include <set>
#include <utility>

#include "absl/strings/str_join.h"
#include "src/control/control_world.h"

namespace vanillalatch {

using scenario::Failure;

namespace {

std::string FormatGroup(const pb::Configuration& group) {
  std::string text;
  for (const pb::Replica& it : group.replicas()) {
    text += " " + it.vm() + (it.learner() ? " (learner)" : "");
  }
  return text;
}

}  // namespace

void ControlWorld::CheckNode(ControlVm& vm) {
  if (!vm.node) {
    return;
  }
  const pb::ControlStatus status = vm.node->Status();
  if (status.term() < vm.last_term) {
    throw Failure("the term of " + vm.name + " has decreased");
  }
  vm.last_term = status.term();
  if (status.role() == "leader") {
    const auto [it, added] =
        leader_of_term_.try_emplace(status.term(), vm.name);
    if (it->second != vm.name) {
      throw Failure("two leaders in term " + std::to_string(status.term()) +
                    ": " + it->second + " and " + vm.name);
    }
    if (added) {
      AppendJournal(vm.name + " leads in term " +
                    std::to_string(status.term()));
    }
  }
  const Replica& replica = ReplicaOf(vm);
  const ReplicatedLog& log = replica.log();
  std::uint64_t n = std::max(vm.checked_index, log.base().index());
  while (n < replica.commit_index().value()) {
    ++n;
    std::string bytes = log.At(n).SerializeAsString();
    const auto [it, added] = committed_.try_emplace(n, std::move(bytes));
    if (added && log.At(n).has_configuration()) {
      AppendJournal("group:" + FormatGroup(log.At(n).configuration()));
    }
    if (!added && it->second != log.At(n).SerializeAsString()) {
      throw Failure("committed entry " + std::to_string(n) + " differs at " +
                    vm.name);
    }
  }
  vm.checked_index = n;
}

// Builds below kEvacuationLevel take an evacuation order for a conflicting
// change, so that their catalog differs from that of the others.
void ControlWorld::CheckReadable(const ControlVm& vm,
                                 const pb::ConsensusMessage& message) {
  if (vm.level >= kEvacuationLevel) {
    return;
  }
  const auto& entries = message.append_request().entries();
  const bool has_order = std::any_of(
      entries.begin(), entries.end(),
      [](const pb::LogEntry& it) { return it.change().has_evacuation(); });
  const pb::Snapshot& snapshot = message.install_snapshot().snapshot();
  if (has_order || snapshot.catalog().evacuations_size() > 0) {
    throw Failure(vm.name + " gets an evacuation that its build can't apply");
  }
}

void ControlWorld::CheckCatalog(const pb::Catalog& catalog) {
  const std::string bytes = catalog.SerializeAsString();
  const auto [it, added] = catalogs_.try_emplace(catalog.revision(), bytes);
  if (!added && it->second != bytes) {
    throw Failure("two catalogs with revision " +
                  std::to_string(catalog.revision()));
  }
}

// An order may be the one that decides the state of its data centre unless an
// order that was sent after the last moment at which it could take effect has
// been acknowledged before the read began. The same holds for the initial
// state.
void ControlWorld::CheckEvacuations(TimePoint begin,
                                    const pb::Catalog& catalog) const {
  const auto superseded = [&](const std::string& data_center,
                              TimePoint latest) {
    return std::any_of(
        orders_.begin(), orders_.end(), [&](const ObservedOrder& it) {
          return it.acknowledged && it.order.data_center() == data_center &&
                 it.sent > latest && it.latest < begin;
        });
  };
  std::set<std::string> data_centers;
  for (const ObservedOrder& it : orders_) {
    data_centers.insert(it.order.data_center());
  }
  for (const std::string& name : data_centers) {
    const bool evacuated = IsEvacuated(catalog, name);
    const bool explained =
        (!evacuated && !superseded(name, TimePoint::min())) ||
        std::any_of(orders_.begin(), orders_.end(),
                    [&](const ObservedOrder& it) {
                      return it.order.data_center() == name &&
                             it.order.end() != evacuated &&
                             !superseded(name, it.latest);
                    });
    if (!explained) {
      throw Failure(name + (evacuated ? " is" : " is not") +
                    " evacuated at revision " +
                    std::to_string(catalog.revision()) +
                    ", against the orders that were acknowledged");
    }
  }
}

// expect evacuated d1,d2 within=1s: a read at the leader shows that exactly
// these data centres are evacuated; none if the list is empty.
void ControlWorld::ExpectEvacuated(Arguments step) {
  const std::string expected = step.words.size() > 1 ? step.Word(1) : "";
  std::string found = "no answer";
  const TimePoint end =
      network_.now() + step.NamedTime("within", Duration::zero());
  do {
    Get(Leader());
    RunUntil(std::chrono::milliseconds(100),
             [&] { return last_get_.has_value(); });
    if (last_get_ && last_get_->error_kind().empty()) {
      found = absl::StrJoin(last_get_->catalog().evacuations(), ",",
                            [](std::string* out, const pb::Evacuation& it) {
                              *out += it.data_center();
                            });
    }
  } while (found != expected && network_.now() < end);
  if (found != expected) {
    throw Failure("evacuated: \"" + found + "\"");
  }
}

void ControlWorld::CheckSync(const EntryVm& entry,
                             const pb::SyncReply& reply) const {
  if (reply.has_catalog() &&
      reply.catalog().revision() > reply.committed_revision()) {
    throw Failure(entry.name + " got an uncommitted catalog");
  }
}

// Checks that every answer to a change id equals the first one, and that each
// revision belongs to one change.
void ControlWorld::CheckAnswer(OperatorCall& call,
                               const pb::ApplyReply& reply) {
  const pb::ChangeOutcome& outcome = reply.outcome();
  if (!outcome.accepted() && outcome.error_kind() != "conflict") {
    return;
  }
  const std::string bytes = outcome.SerializeAsString();
  // The outcomes of orders are not stored: a repeated order may change
  // something again or nothing.
  if (call.first_answer.empty() || call.change.has_evacuation()) {
    call.first_answer = bytes;
  } else if (call.first_answer != bytes) {
    throw Failure("change " + outcome.change_id() +
                  " gets another answer: " + outcome.ShortDebugString());
  }
  CheckCatalog(reply.catalog());
  if (!outcome.accepted() ||
      (call.change.has_evacuation() && outcome.summary().empty())) {
    return;
  }
  const auto [it, added] =
      accepted_.try_emplace(outcome.revision(), outcome.change_id());
  if (!added && it->second != outcome.change_id()) {
    throw Failure("revision " + std::to_string(outcome.revision()) +
                  " was given to " + it->second + " and to " +
                  outcome.change_id());
  }
}

// expect voters c1,c2 within=3s: the voters of the leader's committed
// configuration, with their current identities, are exactly these.
void ControlWorld::ExpectVoters(Arguments step) {
  std::string voters;
  const auto hold = [&] {
    const std::string leader = Leader();
    if (leader.empty()) {
      return false;
    }
    const Replica& replica = ReplicaOf(controls_.at(leader));
    const pb::Configuration group =
        replica.ConfigurationAt(replica.commit_index());
    std::set<std::string> names;
    for (const pb::Replica& it : group.replicas()) {
      if (!it.learner() && controls_.at(it.vm()).identity == it.id()) {
        names.insert(it.vm());
      }
    }
    voters = absl::StrJoin(names, ",");
    return voters == step.Word(1);
  };
  if (!RunUntil(step.NamedTime("within", Duration::zero()), hold)) {
    throw Failure("the voters are " + voters);
  }
}

// expect group 4 silent=c2 tolerates=0 within=2s
void ControlWorld::ExpectGroup(Arguments step) {
  std::string seen;
  const auto holds = [&] {
    const std::string leader = Leader();
    if (leader.empty()) {
      return false;
    }
    const pb::ControlStatus status = controls_.at(leader).node->Status();
    seen = std::to_string(status.voters()) +
           " silent=" + absl::StrJoin(status.silent_voters(), ",") +
           " tolerates=" + std::to_string(status.tolerated_losses());
    return seen == step.Word(1) + " silent=" + step.Named("silent", "") +
                       " tolerates=" + step.Named("tolerates", "");
  };
  if (!RunUntil(step.NamedTime("within", Duration::zero()), holds)) {
    throw Failure("the group is " + seen);
  }
}

void ControlWorld::Expect(Arguments step) {
  const std::string& what = step.Word(0);
  if (what == "outcome") {
    ExpectOutcome(step);
  } else if (what == "in-force") {
    ExpectInForce(step);
  } else if (what == "leader") {
    ExpectLeader(step);
  } else if (what == "status") {
    ExpectStatus(step);
  } else if (what == "term") {
    const std::uint64_t term = Control(step.Word(1)).node->Status().term();
    if (term != marked_terms_[step.Word(2)]) {
      throw Failure("the term is " + std::to_string(term) + ", not " +
                    std::to_string(marked_terms_[step.Word(2)]));
    }
  } else if (what == "read") {
    const std::string kind = last_get_ ? last_get_->error_kind() : "no_answer";
    if (kind != step.Named("kind", "")) {
      throw Failure("the read got \"" + kind + "\"");
    }
  } else if (what == "replica") {
    ExpectReplica(step);
  } else if (what == "repaired") {
    if (!RunUntil(step.NamedTime("within", Duration::zero()),
                  [&] { return IsRepaired(); })) {
      throw Failure("some VM is no voter with its present identity");
    }
  } else if (what == "voters") {
    ExpectVoters(step);
  } else if (what == "group") {
    ExpectGroup(step);
  } else if (what == "no-leader") {
    if (!Leader().empty()) {
      throw Failure(Leader() + " leads");
    }
  } else if (what == "evacuated") {
    ExpectEvacuated(step);
  } else if (what == "fleet-level") {
    if (!RunUntil(step.NamedTime("within", Duration::zero()),
                  [&] { return FleetLevel().value() == step.Number(1); })) {
      throw Failure("the fleet's level is " +
                    std::to_string(FleetLevel().value()));
    }
  } else if (what == "down") {
    if (Control(step.Word(1)).node) {
      throw Failure(step.Word(1) + " is up");
    }
  } else if (what == "missing-level") {
    const std::uint64_t level =
        Control(step.Word(1)).node->Status().missing_level();
    if (level != step.Number(2)) {
      throw Failure("the missing level is " + std::to_string(level));
    }
  } else if (what == "one-wins") {
    ExpectOneWins(step);
  } else {
    throw Failure("unknown expectation " + what);
  }
}

// expect outcome ID KIND within=5s contains=WORD
void ControlWorld::ExpectOutcome(Arguments step) {
  const std::string& id = step.Word(1);
  const auto kind = [&]() -> std::string {
    const OperatorCall& call = Call(id);
    if (!call.reply) {
      return "no answer";
    }
    return call.reply->outcome().accepted()
               ? "accepted"
               : call.reply->outcome().error_kind();
  };
  RunUntil(step.NamedTime("within", Duration::zero()),
           [&] { return kind() == step.Word(2); });
  if (kind() != step.Word(2)) {
    throw Failure("the outcome is " + kind());
  }
  const std::string message = Call(id).reply->outcome().message();
  if (message.find(step.Named("contains", "")) == std::string::npos) {
    throw Failure("the reason is \"" + message + "\"");
  }
}

// expect one-wins ID... within=1s: one is accepted, all others conflict and
// get the current catalog.
void ControlWorld::ExpectOneWins(Arguments step) {
  int accepted = 0;
  int conflicts = 0;
  const auto count = [&] {
    accepted = 0;
    conflicts = 0;
    for (std::size_t n = 1; n < step.words.size(); ++n) {
      const OperatorCall& call = Call(step.words[n]);
      if (!call.reply) {
        continue;
      }
      accepted += call.reply->outcome().accepted() ? 1 : 0;
      conflicts +=
          call.reply->outcome().error_kind() == "conflict" &&
                  call.reply->catalog().revision() >= accepted_revision_
              ? 1
              : 0;
    }
    return accepted + conflicts + 1 == static_cast<int>(step.words.size());
  };
  if (!RunUntil(step.NamedTime("within", Duration::zero()), count) ||
      accepted != 1) {
    throw Failure(std::to_string(accepted) + " accepted, " +
                  std::to_string(conflicts) + " conflicts");
  }
}

// expect replica VM revision=N identity=new snapshot=1 within=3s
void ControlWorld::ExpectReplica(Arguments step) {
  ControlVm& vm = Control(step.Word(1));
  const std::uint64_t revision = step.NamedNumber("revision", 0);
  const auto reached = [&] {
    return vm.node && vm.node->Status().revision() >= revision;
  };
  if (!RunUntil(step.NamedTime("within", Duration::zero()), reached)) {
    throw Failure(vm.name + " is at revision " +
                  std::to_string(vm.node ? vm.node->Status().revision() : 0));
  }
  const bool is_new = vm.identity != vm.first_identity;
  if (is_new != (step.Named("identity", "old") == "new")) {
    throw Failure(vm.name + (is_new ? " has a new" : " has its old") +
                  " identity");
  }
  const bool snapshot = ReplicaOf(vm).log().base().index() > 0;
  if (step.NamedNumber("snapshot", snapshot ? 1 : 0) != (snapshot ? 1 : 0)) {
    throw Failure(vm.name + " has no snapshot");
  }
}

// expect in-force REVISION within=3s but=e1
void ControlWorld::ExpectInForce(Arguments step) {
  const std::uint64_t revision = step.Number(1);
  const std::string excluded = step.Named("but", "");
  const TimePoint begin = network_.now();
  if (!RunUntil(step.NamedTime("within", Duration::zero()),
                [&] { return IsInForceEverywhere(revision, excluded); })) {
    std::string behind;
    for (const auto& [name, entry] : entries_) {
      behind += " " + name + "=" + std::to_string(entry.revision);
    }
    throw Failure("not in force everywhere:" + behind);
  }
  const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(
      network_.now() - begin);
  AppendJournal("revision " + std::to_string(revision) +
                " in force everywhere after " + std::to_string(took.count()) +
                "ms");
}

// expect leader within=3s [not=c1] [is=c2]
void ControlWorld::ExpectLeader(Arguments step) {
  const TimePoint begin = network_.now();
  const std::string unwanted = step.Named("not", "");
  const bool found = RunUntil(step.NamedTime("within", Duration::zero()), [&] {
    const std::string leader = Leader();
    return !leader.empty() && leader != unwanted &&
           leader == step.Named("is", leader);
  });
  if (!found) {
    throw Failure("the leader is \"" + Leader() + "\"");
  }
  const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(
      network_.now() - begin);
  AppendJournal("leader found after " + std::to_string(took.count()) + "ms");
}

// expect status at=c1 entries=3 controls=3 voters=3 kind=
void ControlWorld::ExpectStatus(Arguments step) {
  const std::string at = step.Named("at", Leader());
  const std::uint64_t ticket = ++next_ticket_;
  last_status_.reset();
  statuses_[ticket] = [this](const pb::StatusReply& reply) {
    last_status_ = reply;
  };
  Deliver(at, [this, at, ticket] {
    RunOnNode(Control(at), [&](ControlNode& node) {
      node.OnStatus(network_.now(), Ticket{ticket});
    });
  });
  RunUntil(std::chrono::seconds(1), [&] { return last_status_.has_value(); });
  if (!last_status_) {
    throw Failure("no answer");
  }
  const auto& controls = last_status_->controls();
  const auto voters = std::count_if(
      controls.begin(), controls.end(),
      [](const pb::ControlStatus& it) { return it.role() != "learner"; });
  const auto check = [&](std::string_view key, std::uint64_t value) {
    if (step.NamedNumber(key, value) != value) {
      throw Failure(std::string(key) + " is " + std::to_string(value) + ": " +
                    last_status_->ShortDebugString());
    }
  };
  check("entries", static_cast<std::uint64_t>(last_status_->entries_size()));
  check("controls", static_cast<std::uint64_t>(controls.size()));
  check("voters", static_cast<std::uint64_t>(voters));
  if (last_status_->error_kind() != step.Named("kind", "")) {
    throw Failure("kind is \"" + last_status_->error_kind() + "\"");
  }
}

}  // namespace vanillalatch
