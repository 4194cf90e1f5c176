// The commands of `vanillalatch ctl` that change the catalog. A change starts
// from the current catalog and carries a random id, so that it is applied once
// even if it is sent again. The control VMs refuse it if another change was
// accepted since the revision it started from.
#ifndef VANILLALATCH_SRC_CLI_CATALOG_CHANGE_H_
#define VANILLALATCH_SRC_CLI_CATALOG_CHANGE_H_

#include <string>

#include "src/cli/command_line.h"
#include "src/cli/ctl_options.h"
#include "src/cli/operator_client.h"

namespace vanillalatch {

// Runs `ctl apply FILE`: replaces the services of the catalog with those of a
// file. Returns the exit code. Throws Error; kConflict if the catalog is not at
// the expected revision, kDeadlineExceeded if --wait timed out.
int RunApply(const CtlOptions& options, OperatorClient& client,
             Console console);

// Runs `ctl drain VM` (`draining` is true) or `ctl undrain VM`. Does nothing if
// the VM is in that state already. Returns the exit code. Throws Error;
// kNotFound if the VM to drain is no entry VM that the control VMs report.
int RunSetDraining(const CtlOptions& options, bool draining,
                   OperatorClient& client, Console console);

// Runs `ctl evacuate DATACENTER` (with --end: ends the evacuation). Warns if a
// service that entry VMs report has no endpoint in another data centre. Returns
// the exit code. Throws Error; kNotFound or kInvalidArgument if the control VMs
// know no data centre of this name, kDeadlineExceeded if --wait timed out.
int RunEvacuate(const CtlOptions& options, OperatorClient& client,
                Console console);

// Returns a new change id: 32 random hexadecimal digits.
std::string GenerateChangeId();

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_CLI_CATALOG_CHANGE_H_
