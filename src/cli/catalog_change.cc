#include "src/cli/catalog_change.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <map>
#include <random>
#include <thread>

#include "src/cli/json_output.h"
#include "src/cli/text_table.h"
#include "vanillalatch/base/error.h"
#include "vanillalatch/catalog/catalog_file.h"
#include "vanillalatch/catalog/state_machine.h"
#include "vanillalatch/jsonc/document.h"

namespace vanillalatch {
namespace {

using Clock = std::chrono::steady_clock;

// Pause between two status calls of --wait.
constexpr std::chrono::milliseconds kWaitPollInterval{200};
// A drain or undrain does not depend on other changes. After a conflict it is
// retried on the new catalog; it is sent at most this many times.
constexpr int kMaxDrainAttempts = 5;

std::int64_t UnixMsNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Returns the kind with the given stable name, or kInternal for other names.
ErrorKind ErrorKindFromName(const std::string& name) {
  for (const ErrorAnswer& it : ErrorAnswers()) {
    if (it.name == name) {
      return it.kind;
    }
  }
  return ErrorKind::kInternal;
}

// Returns a change that leaves the catalog as it is; the caller then modifies
// it.
pb::Change MakeUnmodifiedChange(const pb::Catalog& current,
                                const CtlOptions& options) {
  pb::Change change;
  change.set_change_id(options.change_id.empty() ? GenerateChangeId()
                                                 : options.change_id);
  change.set_base_revision(options.from_revision.value_or(current.revision()));
  change.set_author(options.author);
  change.set_unix_ms(UnixMsNow());
  *change.mutable_services() = current.services();
  *change.mutable_draining_vms() = current.draining_vms();
  return change;
}

// Sends a change and returns its outcome. Throws the error of a refused change.
pb::ChangeOutcome SendChange(const pb::Change& change, OperatorClient& client) {
  pb::ApplyRequest request;
  *request.mutable_change() = change;
  pb::ChangeOutcome outcome;
  try {
    outcome = client.Apply(request).outcome();
  } catch (const Error& e) {
    if (e.kind() != ErrorKind::kNoQuorum) {
      throw;
    }
    if (change.has_evacuation()) {
      throw Error(e.kind(), std::string(e.what()) +
                                "; the order may or may not have been "
                                "accepted: repeat it");
    }
    // The change may be accepted although no answer arrived. Sent again with
    // the same id, it is not applied twice and the outcome is returned.
    throw Error(e.kind(),
                std::string(e.what()) +
                    "; the change may or may not have been accepted: repeat "
                    "it with --change-id " +
                    change.change_id() + " --from-revision " +
                    std::to_string(change.base_revision()));
  }
  if (!outcome.accepted()) {
    throw Error(ErrorKindFromName(outcome.error_kind()), outcome.message());
  }
  return outcome;
}

void PrintDifference(const std::vector<std::string>& lines, Console console) {
  for (const std::string& it : lines) {
    console.out << it << "\n";
  }
}

bool HasRevision(const pb::EntryStatus& entry, std::uint64_t revision) {
  return entry.last_sync().revision() >= revision;
}

bool IsInForceEverywhere(const pb::StatusReply& status,
                         std::uint64_t revision) {
  const auto& entries = status.entries();
  return !entries.empty() &&
         std::all_of(entries.begin(), entries.end(),
                     [&](const auto& it) { return HasRevision(it, revision); });
}

// Prints one row per data centre, with the names of the entry VMs on which
// `revision` is not yet in force.
void PrintRevisionByDataCenter(const pb::StatusReply& status,
                               std::uint64_t revision, std::ostream& out) {
  struct Count {
    int current = 0;
    int all = 0;
    std::string lagging;
  };
  std::map<std::string, Count> by_data_center;
  for (const pb::EntryStatus& it : status.entries()) {
    Count& count = by_data_center[it.last_sync().data_center()];
    ++count.all;
    if (HasRevision(it, revision)) {
      ++count.current;
    } else {
      count.lagging += (count.lagging.empty() ? "" : ", ") +
                       it.last_sync().vm() + " (revision " +
                       std::to_string(it.last_sync().revision()) + ", heard " +
                       FormatDuration(std::chrono::milliseconds(it.age_ms())) +
                       " ago)";
    }
  }
  TextTable table({"DATA CENTRE", "IN FORCE ON", "LAGGING"});
  for (const auto& [name, count] : by_data_center) {
    table.Add({name,
               std::to_string(count.current) + " of " +
                   std::to_string(count.all) + " entry VMs",
               count.lagging.empty() ? "none" : count.lagging});
  }
  table.Print(out);
}

// Polls until `revision` is in force on every entry VM. Throws
// kDeadlineExceeded if that takes longer than --wait-timeout.
void WaitUntilInForce(std::uint64_t revision, const CtlOptions& options,
                      OperatorClient& client, Console console) {
  const Clock::time_point deadline =
      Clock::now() +
      std::chrono::duration_cast<Clock::duration>(options.wait_timeout);
  pb::StatusReply status = client.Status();
  while (!IsInForceEverywhere(status, revision) && Clock::now() < deadline) {
    std::this_thread::sleep_for(kWaitPollInterval);
    status = client.Status();
  }
  if (!options.json) {
    PrintRevisionByDataCenter(status, revision, console.out);
  }
  if (!IsInForceEverywhere(status, revision)) {
    throw Error(
        ErrorKind::kDeadlineExceeded,
        "revision " + std::to_string(revision) +
            " is accepted, but not yet in force on every entry VM" +
            (status.entries().empty() ? ": no entry VM has reported yet" : ""));
  }
}

void PrintOutcome(const pb::ChangeOutcome& outcome, const CtlOptions& options,
                  Console console) {
  if (options.json) {
    PrintJson(outcome, console.out);
  } else {
    console.out << "accepted as revision " << outcome.revision() << "\n";
  }
}

// Throws kNotFound unless the control VMs report an entry VM with this name.
void CheckVmExists(const std::string& vm, const pb::StatusReply& status) {
  std::string names;
  for (const pb::EntryStatus& it : status.entries()) {
    if (it.last_sync().vm() == vm) {
      return;
    }
    names += (names.empty() ? "" : ", ") + it.last_sync().vm();
  }
  throw Error(ErrorKind::kNotFound,
              "no entry VM \"" + vm + "\"; entry VMs: " + names);
}

// Adds `vm` to the draining VMs of a change or removes it. Returns false if
// there is nothing to change.
bool UpdateDrainingVms(const std::string& vm, bool draining,
                       pb::Change& change) {
  auto& vms = *change.mutable_draining_vms();
  const auto it = std::find(vms.begin(), vms.end(), vm);
  if ((it != vms.end()) == draining) {
    return false;
  }
  if (draining) {
    change.add_draining_vms(vm);
  } else {
    vms.erase(it);
  }
  return true;
}

// Warns of each service whose endpoints are all in the data centre or in others
// that are evacuated: its new work is refused. Endpoints are known from the
// reports of the VMs that dispatch the service, in their own data centre.
void WarnOfLastDataCenter(const std::string& data_center,
                          const pb::StatusReply& status, Console console) {
  std::map<std::uint32_t, int> remaining;  // Endpoints elsewhere, by service.
  for (const pb::EntryStatus& entry : status.entries()) {
    const std::string& home = entry.last_sync().data_center();
    const bool evacuated =
        home == data_center || IsEvacuated(status.catalog(), home);
    for (const pb::ServiceReport& it : entry.last_sync().services()) {
      remaining[it.service_id()] += evacuated ? 0 : it.endpoints_size();
    }
  }
  for (const pb::Service& it : status.catalog().services()) {
    const auto found = remaining.find(it.id());
    if (found != remaining.end() && found->second == 0) {
      console.err << "warning: service " << it.name()
                  << " has no endpoint in another data centre; its new work "
                     "is refused\n";
    }
  }
}

// Warns if no data centre with entry VMs is left to serve.
void WarnOfNoDataCenter(const std::string& data_center,
                        const pb::StatusReply& status, Console console) {
  const bool left = std::any_of(
      status.entries().begin(), status.entries().end(),
      [&](const pb::EntryStatus& it) {
        const std::string& home = it.last_sync().data_center();
        return home != data_center && !IsEvacuated(status.catalog(), home);
      });
  if (!left) {
    console.err << "warning: every data centre with entry VMs is evacuated "
                   "then; new work may be refused\n";
  }
}

}  // namespace

std::string GenerateChangeId() {
  std::random_device source;
  std::string id;
  constexpr int kWords = 4;
  for (int i = 0; i < kWords; ++i) {
    std::array<char, 9> buf{};
    std::snprintf(buf.data(), buf.size(), "%08x", source());
    id += buf.data();
  }
  return id;
}

int RunApply(const CtlOptions& options, OperatorClient& client,
             Console console) {
  const std::string& path = options.arguments.front();
  const pb::Change file =
      ParseCatalogFile(path, ReadWholeFile(path).value()).value();
  const pb::Catalog current = client.Get().catalog();
  pb::Change change = MakeUnmodifiedChange(current, options);
  *change.mutable_services() = file.services();
  const std::vector<std::string> difference =
      DescribeDifference(current, change);
  if (!options.json) {
    PrintDifference(difference, console);
  }
  // A repeated change is sent even if the catalog has its content already, as
  // only the control VMs have its outcome.
  const bool is_repeated = !options.change_id.empty();
  if (difference.empty() && !is_repeated) {
    console.err << "nothing to change\n";
  }
  if (options.dry_run) {
    return 0;
  }
  std::uint64_t revision = current.revision();
  if (!difference.empty() || is_repeated) {
    const pb::ChangeOutcome outcome = SendChange(change, client);
    PrintOutcome(outcome, options, console);
    revision = outcome.revision();
  }
  if (options.wait) {
    WaitUntilInForce(revision, options, client, console);
  }
  return 0;
}

int RunSetDraining(const CtlOptions& options, bool draining,
                   OperatorClient& client, Console console) {
  const std::string& vm = options.arguments.front();
  if (draining) {
    CheckVmExists(vm, client.Status());
  }
  for (int i = 1;; ++i) {
    pb::Change change = MakeUnmodifiedChange(client.Get().catalog(), options);
    if (!UpdateDrainingVms(vm, draining, change)) {
      console.err << vm
                  << (draining ? " is drained already" : " is not drained")
                  << "\n";
      return 0;
    }
    try {
      PrintOutcome(SendChange(change, client), options, console);
      return 0;
    } catch (const Error& e) {
      if (e.kind() != ErrorKind::kConflict || i == kMaxDrainAttempts) {
        throw;
      }
    }
  }
}

int RunEvacuate(const CtlOptions& options, OperatorClient& client,
                Console console) {
  const std::string& data_center = options.arguments.front();
  if (!options.end) {
    const pb::StatusReply status = client.Status();
    WarnOfLastDataCenter(data_center, status, console);
    WarnOfNoDataCenter(data_center, status, console);
  }
  pb::Change change;
  change.set_change_id(GenerateChangeId());
  change.set_author(options.author);
  change.set_unix_ms(UnixMsNow());
  change.mutable_evacuation()->set_data_center(data_center);
  change.mutable_evacuation()->set_end(options.end);
  const pb::ChangeOutcome outcome = SendChange(change, client);
  if (!options.json && outcome.summary().empty()) {
    console.err << data_center
                << (options.end ? " is not evacuated" : " is evacuated already")
                << "\n";
  }
  PrintOutcome(outcome, options, console);
  if (options.wait) {
    WaitUntilInForce(outcome.revision(), options, client, console);
  }
  return 0;
}

}  // namespace vanillalatch
