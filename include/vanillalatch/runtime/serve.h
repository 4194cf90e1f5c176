// Runs the roles that the settings name until SIGTERM or SIGINT.
//
//   return RunServe(settings, "/etc/vanillalatch/vm.json");
#ifndef VANILLALATCH_RUNTIME_SERVE_H_
#define VANILLALATCH_RUNTIME_SERVE_H_

#include <string>

#include "vanillalatch/settings/settings.h"

namespace vanillalatch {

// Returns the exit code: 0 after a planned stop. SIGHUP reads the settings
// file again and takes over what may change while running (the log level).
// Throws Error for what keeps a role from starting.
int RunServe(const Settings& settings, const std::string& settings_path);

}  // namespace vanillalatch

#endif  // VANILLALATCH_RUNTIME_SERVE_H_
