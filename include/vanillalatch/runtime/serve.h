// Runs the roles that the settings name until SIGTERM or SIGINT.
//
//   return RunServe(settings, "/etc/vanillalatch/vm.json", &OpenDoors);
#ifndef VANILLALATCH_RUNTIME_SERVE_H_
#define VANILLALATCH_RUNTIME_SERVE_H_

#include <functional>
#include <memory>
#include <string>

#include "vanillalatch/base/result.h"
#include "vanillalatch/packetflow/flow_node.h"
#include "vanillalatch/runtime/control_gate.h"
#include "vanillalatch/runtime/reactor.h"
#include "vanillalatch/settings/settings.h"

namespace vanillalatch {

// What speaks the protocols of the machines that the program runs on.
class Doors {
 public:
  virtual ~Doors() = default;
  // Starts fibers on this thread.
  virtual void Start(Reactor& reactor) = 0;
  // Planned stop; suspends the calling fiber.
  virtual void Stop() = 0;
  // The flows that this VM carries, for its metrics; nullptr: none.
  virtual FlowNode* flows() = 0;
};

// `control`: nullptr unless this VM is a control VM of a fleet.
using OpenDoorsFunction = std::function<Result<std::unique_ptr<Doors>>(
    const Settings& settings, ControlGate* control)>;

// Returns the exit code: 0 after a planned stop. SIGHUP reads the settings
// file again and takes over what may change while running (the log level).
// Throws Error for what keeps a role from starting.
int RunServe(const Settings& settings, const std::string& settings_path,
             const OpenDoorsFunction& open_doors);

}  // namespace vanillalatch

#endif  // VANILLALATCH_RUNTIME_SERVE_H_
