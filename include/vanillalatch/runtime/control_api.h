// The calls that a platform adapter (serve.h) may make to the control VM in the
// same process. Every function is thread-safe and returns immediately; the
// callback runs later on another thread of the process. If too many calls wait,
// the call is dropped and logged, and the callback never runs.
//
//   control.Get([](const pb::GetReply& reply) { ... });
#ifndef VANILLALATCH_RUNTIME_CONTROL_API_H_
#define VANILLALATCH_RUNTIME_CONTROL_API_H_

#include <functional>

#include "control.pb.h"
#include "vanillalatch/registry/registry.h"

namespace vanillalatch {

class ControlApi {
 public:
  template <typename Reply>
  using Callback = std::function<void(const Reply&)>;

  virtual ~ControlApi() = default;

  // Registers an endpoint or renews its lease. With `leaving`, the endpoint
  // receives no new work from then on; the id may be EndpointId{} if it has
  // left already. Errors: those of Registry::Register(), after which the call
  // has no effect, and kNoQuorum if this control VM receives nothing from any
  // other VM.
  virtual void Register(Registration registration, bool leaving,
                        Callback<Result<EndpointId>> callback) = 0;
  // Ends the latest registration under this name: the endpoint receives no new
  // work from then on. Error: kNotFound if no endpoint has this name.
  virtual void EndRegistration(std::string name,
                               Callback<Result<EndpointId>> callback) = 0;
  // Proposes a change of the catalog; the reply tells whether it was accepted,
  // and otherwise contains the kind of the error. `is_abandoned` is true once
  // the sender no longer waits for the answer; it is called on another thread.
  // An evacuation order whose sender has abandoned it changes nothing.
  virtual void Apply(pb::Change change, Callback<pb::ApplyReply> callback,
                     std::function<bool()> is_abandoned) = 0;
  // Reads the current catalog. On failure, the reply contains the kind of the
  // error and no catalog.
  virtual void Get(Callback<pb::GetReply> callback) = 0;
  // True if another control VM has stated a higher feature level than that of
  // this build, so that it may know calls that this one does not.
  virtual bool HasNewerPeer() const = 0;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_RUNTIME_CONTROL_API_H_
