// Runs the roles that the settings name (entry VM, control VM, platform
// adapter) until SIGTERM or SIGINT.
//
//   return RunServe(settings, "/etc/vanillalatch/vm.json", &CreateAdapter);
#ifndef VANILLALATCH_RUNTIME_SERVE_H_
#define VANILLALATCH_RUNTIME_SERVE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "vanillalatch/base/result.h"
#include "vanillalatch/packetflow/flow_node.h"
#include "vanillalatch/runtime/control_api.h"
#include "vanillalatch/runtime/flow_shell.h"
#include "vanillalatch/runtime/reactor.h"
#include "vanillalatch/settings/settings.h"

namespace vanillalatch {

// Implements the protocols of the platform that the program runs on: its HTTP
// calls and its packet format.
class PlatformAdapter {
 public:
  virtual ~PlatformAdapter() = default;
  // Starts the adapter's fibers on this thread.
  virtual void Start(Reactor& reactor) = 0;
  // Performs a planned stop. Suspends the calling fiber until it is complete.
  virtual void Stop() = 0;
  // The shell that forwards this VM's flows, from which metrics are published;
  // nullptr if the VM forwards none.
  virtual FlowShellCore* flows() = 0;
  // The values of accepted messages that the adapter did not know, since the
  // start.
  virtual std::uint64_t unknown_values() const = 0;
};

// Creates the platform adapter. `control` is nullptr unless this VM is a
// control VM of a fleet.
using CreatePlatformAdapterFunction =
    std::function<Result<std::unique_ptr<PlatformAdapter>>(
        const Settings& settings, ControlApi* control)>;

// Never returns: after a planned stop, it ends the process with exit code 0.
// SIGHUP reads the
// settings file at `settings_path` again and applies the log settings, which
// are the only ones that may change while running. Throws Error if a role can't
// start.
int RunServe(const Settings& settings, const std::string& settings_path,
             const CreatePlatformAdapterFunction& create_platform_adapter);

}  // namespace vanillalatch

#endif  // VANILLALATCH_RUNTIME_SERVE_H_
