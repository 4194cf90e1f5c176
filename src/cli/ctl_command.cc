// `vanillalatch ctl`: shows the state of the running system and changes its
// catalog, by calls to control VMs.
#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "src/cli/catalog_change.h"
#include "src/cli/command_line.h"
#include "src/cli/ctl_options.h"
#include "src/cli/json_output.h"
#include "src/cli/operator_client.h"
#include "src/cli/status_text.h"
#include "src/cli/text_table.h"
#include "vanillalatch/base/hash.h"
#include "vanillalatch/catalog/catalog_file.h"
#include "vanillalatch/telemetry/trace.h"

namespace vanillalatch {
namespace {

int RunGet(const CtlOptions& options, OperatorClient& client, Console console) {
  const pb::Catalog catalog = client.Get().catalog();
  if (options.json) {
    PrintJson(catalog, console.out);
    return 0;
  }
  console.out << FormatCatalog(catalog);
  for (const std::string& it : catalog.draining_vms()) {
    console.out << "// Drained: " << it << "\n";
  }
  return 0;
}

int RunStatus(const CtlOptions& options, OperatorClient& client,
              Console console) {
  const pb::StatusReply status = client.Status();
  if (options.json) {
    PrintJson(status, console.out);
  } else {
    PrintStatus(status, console.out);
  }
  return 0;
}

int RunHistory(const CtlOptions& options, OperatorClient& client,
               Console console) {
  const pb::HistoryReply history = client.History(options.limit);
  if (options.json) {
    PrintJson(history, console.out);
  } else {
    PrintHistory(history, console.out);
  }
  return 0;
}

// Returns the names of entry VMs, keyed by the id that hops have instead of a
// name: the hash of the name.
std::map<std::string, std::string> VmNamesById(const pb::StatusReply& status) {
  std::map<std::string, std::string> names;
  for (const pb::EntryStatus& it : status.entries()) {
    const std::string& vm = it.last_sync().vm();
    names.emplace(FormatRequestId(RequestId(StableHash(vm))), vm);
  }
  return names;
}

// Returns the hops of a request on all entry VMs, ordered by time. Prints the
// VMs that do not answer to the error stream.
pb::ExplainReply CollectHops(const std::string& request_id,
                             OperatorClient& client, Console console) {
  std::vector<pb::Hop> hops;
  const pb::StatusReply status = client.Status();
  for (const pb::EntryStatus& it : status.entries()) {
    try {
      const pb::ExplainReply reply =
          client.Explain(it.last_sync().admin_address(), request_id);
      hops.insert(hops.end(), reply.hops().begin(), reply.hops().end());
    } catch (const Error& e) {
      console.err << it.last_sync().vm() << " can't be asked: " << e.what()
                  << "\n";
    }
  }
  const std::map<std::string, std::string> names = VmNamesById(status);
  std::stable_sort(hops.begin(), hops.end(), [](const auto& a, const auto& b) {
    return a.unix_us() < b.unix_us();
  });
  pb::ExplainReply merged;
  for (pb::Hop& it : hops) {
    if (const auto name = names.find(it.subject()); name != names.end()) {
      it.set_subject(name->second);
    }
    *merged.add_hops() = std::move(it);
  }
  return merged;
}

void PrintHops(const pb::ExplainReply& reply, Console console) {
  const std::int64_t begin = reply.hops(0).unix_us();
  console.out << "first seen " << FormatUtcTime(begin / 1000) << "\n";
  TextTable table({"AFTER", "VM", "EVENT", "SUBJECT"});
  for (const pb::Hop& it : reply.hops()) {
    table.Add({std::to_string(it.unix_us() - begin) + " us", it.vm(),
               it.event(), it.subject()});
  }
  table.Print(console.out);
}

int RunExplain(const CtlOptions& options, OperatorClient& client,
               Console console) {
  const RequestId request = ParseRequestId(options.arguments.front()).value();
  const pb::ExplainReply reply =
      CollectHops(FormatRequestId(request), client, console);
  if (reply.hops().empty()) {
    throw Error(ErrorKind::kNotFound,
                "no entry VM that answered has hops of "
                "request " +
                    FormatRequestId(request));
  }
  if (options.json) {
    PrintJson(reply, console.out);
  } else {
    PrintHops(reply, console);
  }
  return 0;
}

int RunCommand(const CtlOptions& options, OperatorClient& client,
               Console console) {
  const std::string& command = options.command;
  if (command == "apply") {
    return RunApply(options, client, console);
  }
  if (command == "get") {
    return RunGet(options, client, console);
  }
  if (command == "status") {
    return RunStatus(options, client, console);
  }
  if (command == "history") {
    return RunHistory(options, client, console);
  }
  if (command == "explain") {
    return RunExplain(options, client, console);
  }
  if (command == "evacuate") {
    return RunEvacuate(options, client, console);
  }
  return RunSetDraining(options, command == "drain", client, console);
}

void PrintJsonError(const Error& e, Console console) {
  pb::ChangeOutcome outcome;
  outcome.set_error_kind(std::string(AnswerFor(e.kind()).name));
  outcome.set_message(e.what());
  PrintJson(outcome, console.out);
}

}  // namespace

int RunCtl(const std::vector<std::string>& arguments, Console console) {
  const CtlOptions options = ParseCtlOptions(arguments);
  if (options.help) {
    PrintCtlHelp(console.out);
    return 0;
  }
  try {
    const auto client =
        OperatorClient::Create(options.control, options.timeout).value();
    return RunCommand(options, *client, console);
  } catch (const Error& e) {
    if (options.json) {
      PrintJsonError(e, console);
    }
    throw;
  }
}

}  // namespace vanillalatch
