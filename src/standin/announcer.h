// Announces a backend server to the entry VMs of its data centre: registers,
// renews the lease, leaves. Without I/O.
//
//   Announcer announcer(options);
//   announcer.OnTick(now, load_percent, out);  // at NextWake()
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

struct AnnouncerOptions {
  std::string name;
  std::string service;
  std::string data_center;
  int slots = 3;
  std::uint64_t epoch = 0;  // Grows with each start.
  std::chrono::seconds lease{9};
  std::vector<SocketAddress> entries;  // Backend sockets of entry VMs.
  std::uint64_t seed = 1;
};

class Announcer {
 public:
  explicit Announcer(AnnouncerOptions options);

  // Sends what is due, each time to an entry VM drawn from the seed.
  void OnTick(TimePoint now, int load_percent, Outbox& out);
  // Takes an answer of an entry VM; false if it is not for the announcer.
  bool OnAnswer(TimePoint now, const CoapMessage& message);
  // Leaves from now on.
  void BeginLeave(TimePoint now);

  bool registered() const { return !location_.empty(); }
  // The leaving was confirmed, or nobody answers.
  bool gone() const { return gone_; }
  TimePoint NextWake() const { return gone_ ? kNever : next_send_; }

 private:
  void BuildRegister(int load_percent, std::vector<std::uint8_t>& buf);
  void BuildLeave(std::vector<std::uint8_t>& buf);

  AnnouncerOptions options_;
  std::mt19937_64 random_;
  std::uint16_t message_id_ = 0;
  CoapToken token_;       // Of the request that is open.
  std::string location_;  // Id of the registration; empty: not registered.
  TimePoint next_send_;
  bool leaving_ = false;
  bool gone_ = false;
  int leave_sends_ = 0;
};

}  // namespace vanillalatch::standin

#endif  // VANILLALATCH_SRC_STANDIN_ANNOUNCER_H_
