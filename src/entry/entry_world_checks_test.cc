// The checks of EntryWorld: violated invariants, and the expect steps.
#include <algorithm>
#include <tuple>
#include <utility>

#include "src/entry/entry_world_text.h"

namespace vanillalatch::internal {

void EntryWorld::Violation(const std::string& text) {
  Log("VIOLATION: " + text);
  violation_ = violation_.empty() ? text : violation_;
}

void EntryWorld::Check(bool ok, const std::string& text) const {
  if (!ok) {
    throw scenario::Failure(text);
  }
}

void EntryWorld::Expect(const scenario::Step& step) {
  const std::string& what = step.Word(0);
  if (what == "answer") {
    ExpectAnswer(step, FindRequest(step.Word(1)));
  } else if (what == "none") {
    Check(FindRequest(step.Word(1)).answers == 0, "the request was answered");
  } else if (what == "runs") {
    const Request& request = FindRequest(step.Word(1));
    Check(request.runs == step.Number(2),
          "the request ran " + std::to_string(request.runs) + " times");
  } else if (what == "same") {
    Check(FindRequest(step.Word(1)).served_by ==
              FindRequest(step.Word(2)).served_by,
          "the requests were served by different backend servers");
  } else if (what == "requests") {
    const std::uint64_t n = backends_.at(step.Word(1)).requests;
    Check(n == step.Number(2), "requests received: " + std::to_string(n));
  } else if (what == "resets") {
    const std::uint64_t n = backends_.at(step.Word(1)).resets;
    Check(n == step.Number(2), "resets received: " + std::to_string(n));
  } else if (what == "stopped") {
    Check(vms_[VmIndex(step.Word(1))].node == nullptr,
          "the VM has not stopped");
  } else if (what == "answers") {
    const int n = FindRequest(step.Word(1)).answers;
    Check(n == static_cast<int>(step.Number(2)),
          "the request was answered " + std::to_string(n) + " times");
  } else if (what == "dropped") {
    std::uint64_t n = 0;
    for (const Vm& it : vms_) {
      n += it.node == nullptr ? 0 : it.node->counters().dropped_answers;
    }
    Check(n == step.Number(1), std::to_string(n) + " answers were dropped");
  } else if (what == "quiet") {
    ExpectQuiet();
  } else if (what == "broken") {
    ExpectBroken(step.Number(1));
  } else if (what == "answered") {
    ExpectFlows({});
  } else if (what == "all") {
    ExpectFlows(step);
  } else {
    throw scenario::Failure("no such expectation: " + what);
  }
}

// expect answer NAME CODE [text=...] [within=T] [max-age=yes]
void EntryWorld::ExpectAnswer(const scenario::Step& step,
                              const Request& request) {
  Check(request.answers > 0, "no answer");
  const std::string code = std::to_string(request.code >> 5) + "." +
                           (request.code % 32 < 10 ? "0" : "") +
                           std::to_string(request.code % 32);
  Check(code == step.Word(2), "answer is " + code + " " + request.body);
  const std::string text = step.Named("text", "");
  Check(request.body.starts_with(text), "answer says " + request.body);
  const Duration within = step.NamedTime("within", std::chrono::hours(1));
  Check(request.answered - request.sent <= within,
        "answered only at" + FormatSeconds(request.answered));
  Check(step.Named("max-age", "no") == "no" || request.max_age > 0,
        "no Max-Age");
}

// Checks that no VM has an open request or a slot in use.
void EntryWorld::ExpectQuiet() {
  for (const Vm& vm : vms_) {
    if (vm.node == nullptr) {
      continue;
    }
    Check(vm.node->open_requests() == 0,
          vm.name + " has " + std::to_string(vm.node->open_requests()) +
              " open requests");
    const pb::SyncRequest report = vm.node->Report(now_);
    for (const pb::ServiceReport& service : report.services()) {
      for (const pb::EndpointReport& it : service.endpoints()) {
        Check(it.busy() == 0, vm.name + " counts " + std::to_string(it.busy()) +
                                  " slots of " + it.name());
      }
    }
  }
}

// expect all [code=CLASS] [broken=N]: checks every request.
void EntryWorld::ExpectFlows(const scenario::Step& step) {
  for (const auto& [name, request] : requests_) {
    Check(request.answers > 0, name + " has no answer");
    const std::string wanted = step.Named("code", "");
    Check(wanted.empty() || std::to_string(request.code >> 5) == wanted,
          name + " was answered " + std::to_string(request.code >> 5) + "." +
              std::to_string(request.code % 32) + " " + request.body);
  }
  if (step.named.contains("broken")) {
    ExpectBroken(step.NamedNumber("broken", 0));
  }
}

// Checks that at most `limit` flows had requests on more than one backend
// server.
void EntryWorld::ExpectBroken(std::uint64_t limit) const {
  std::map<SocketAddress, std::set<std::string>> flows;
  for (const auto& [name, request] : requests_) {
    flows[request.caller].insert(request.served_by.begin(),
                                 request.served_by.end());
  }
  std::string broken;
  std::uint64_t count = 0;
  for (const auto& [caller, served_by] : flows) {
    if (served_by.size() > 1) {
      ++count;
      broken += " " + caller.ToString();
    }
  }
  Check(count <= limit, std::to_string(count) + " of " +
                            std::to_string(flows.size()) +
                            " flows were broken:" + broken);
}

}  // namespace vanillalatch::internal
