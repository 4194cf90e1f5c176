// What a door of a control VM can ask of it. Every function may be called by
// any thread; replies come on the control VM's own thread.
//
//   gate.Get([](const pb::GetReply& reply) { ... });
#ifndef VANILLALATCH_RUNTIME_CONTROL_GATE_H_
#define VANILLALATCH_RUNTIME_CONTROL_GATE_H_

#include <functional>

#include "control.pb.h"
#include "vanillalatch/registry/registry.h"

namespace vanillalatch {

class ControlGate {
 public:
  template <typename Reply>
  using Then = std::function<void(const Reply&)>;

  virtual ~ControlGate() = default;

  // Registers an endpoint or renews its lease; with `leaving`, it gets no new
  // work from then on. Errors: those of Registry::Register().
  virtual void Register(Registration registration, bool leaving,
                        Then<Result<EndpointId>> then) = 0;
  // The endpoint of this name that was registered last ends. Error: kNotFound.
  virtual void EndRegistration(std::string name,
                               Then<Result<EndpointId>> then) = 0;
  virtual void Apply(pb::Change change, Then<pb::ApplyReply> then) = 0;
  virtual void Get(Then<pb::GetReply> then) = 0;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_RUNTIME_CONTROL_GATE_H_
