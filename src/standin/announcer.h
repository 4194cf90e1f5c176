// Keeps the registration of a stand-in backend server up to date at the entry
// VMs of its data centre: registers it, renews its lease and removes it when
// the server leaves. Does no I/O: it reads the datagrams it is given and puts
// the datagrams to send into an outbox.
//
//   Announcer announcer(options);
//   announcer.OnTick(now, load_percent, out);  // Call at NextWake().
//   announcer.OnAnswer(now, message);
//   announcer.BeginLeave(now);
#ifndef VANILLALATCH_SRC_STANDIN_ANNOUNCER_H_
#define VANILLALATCH_SRC_STANDIN_ANNOUNCER_H_

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "vanillalatch/base/outbox.h"
#include "vanillalatch/base/time.h"
#include "vanillalatch/wire/coap.h"

namespace vanillalatch::standin {

// Settings of an announcer. `name` is the name of the endpoint.
struct AnnouncerOptions {
  std::string name;
  std::string service;
  std::string data_center;
  int slots = 3;
  std::uint64_t epoch = 0;  // Larger at each start of the server.
  std::chrono::seconds lease{9};
  // Backend sockets of the entry VMs.
  std::vector<SocketAddress> entry_addresses;
  std::uint64_t seed = 1;  // Of the random generator.
};

// Sends the registration requests of one backend server.
class Announcer {
 public:
  explicit Announcer(AnnouncerOptions options);

  // Puts the request that is due into `out`: a registration with the current
  // load, or a removal after BeginLeave(). Each request goes to an entry VM
  // that is sampled at random.
  void OnTick(TimePoint now, int load_percent, Outbox& out);
  // Processes an answer of an entry VM. Returns false if the answer does not
  // belong to the last request of this announcer.
  bool OnAnswer(TimePoint now, const CoapMessage& message);
  // Stops renewing the lease; from now on OnTick() sends removal requests.
  void BeginLeave(TimePoint now);

  bool registered() const { return !location_.empty(); }
  // True if no more requests are sent after BeginLeave(): an entry VM confirmed
  // the removal, no entry VM confirmed it after 10 attempts, or the server was
  // not registered.
  bool has_left() const { return has_left_; }
  // When to call OnTick() next.
  TimePoint NextWake() const { return has_left_ ? kNever : next_send_; }

 private:
  void BuildRegisterRequest(int load_percent, std::vector<std::uint8_t>& buf);
  void BuildLeaveRequest(std::vector<std::uint8_t>& buf);

  AnnouncerOptions options_;
  std::mt19937_64 random_;
  std::uint16_t message_id_ = 0;
  CoapToken token_;       // Token of the last request.
  std::string location_;  // Id of the registration; empty if not registered.
  TimePoint next_send_;
  bool leaving_ = false;
  bool has_left_ = false;
  int leave_sends_ = 0;
};

}  // namespace vanillalatch::standin

#endif  // VANILLALATCH_SRC_STANDIN_ANNOUNCER_H_
