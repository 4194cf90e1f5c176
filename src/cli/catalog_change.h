// Changes of the catalog as operators make them: from the current catalog,
// with a change id, refused if somebody else was first.
#ifndef VANILLALATCH_SRC_CLI_CATALOG_CHANGE_H_
#define VANILLALATCH_SRC_CLI_CATALOG_CHANGE_H_

#include <string>

#include "src/cli/command_line.h"
#include "src/cli/ctl_options.h"
#include "src/cli/operator_client.h"

namespace vanillalatch {

// `ctl apply FILE`. Throws Error; kConflict if the catalog changed meanwhile.
int ApplyFile(const CtlOptions& options, OperatorClient& client,
              Console console);

// `ctl drain VM` and `ctl undrain VM`. Throws Error; kNotFound for a VM that
// is not known or not drained.
int SetDraining(const CtlOptions& options, bool draining,
                OperatorClient& client, Console console);

// A new change id: 32 random hexadecimal digits.
std::string NewChangeId();

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_CLI_CATALOG_CHANGE_H_
