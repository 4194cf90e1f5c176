// A stand-in: a simulated backend server for development and load runs. Each
// request occupies a slot for a random service time and is then answered,
// block-wise if the answer is large. A retransmitted message runs only once, a
// reset cancels a running request, and a request that finds no free slot is
// shed. Does no I/O.
//
//   BackendServer server(options);
//   server.OnRequest(now, from, message, out);
//   server.OnTick(now, out);  // Call at NextWake().
#ifndef VANILLALATCH_SRC_STANDIN_BACKEND_SERVER_H_
#define VANILLALATCH_SRC_STANDIN_BACKEND_SERVER_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "vanillalatch/base/outbox.h"
#include "vanillalatch/base/time.h"
#include "vanillalatch/wire/coap.h"

namespace vanillalatch::standin {

// Settings of a simulated backend server. `name` is the name of the endpoint.
struct BackendOptions {
  std::string name;
  std::string service;
  int slots = 3;
  Duration mean_service_time = std::chrono::milliseconds(10);
  std::uint64_t seed = 1;
};

struct BackendCounters {
  std::uint64_t requests = 0;         // Requests that occupied a slot.
  std::uint64_t shed = 0;             // Answered 5.03 because no slot was free.
  std::uint64_t cancelled = 0;        // Cancelled by a reset while in a slot.
  std::uint64_t retransmissions = 0;  // Retransmissions of earlier messages.
  std::uint64_t distinct_bodies = 0;  // Distinct POST bodies that ran.
  std::uint64_t double_runs = 0;  // Runs of a POST body after its first run.
  Duration busy{};                // Total time that slots were occupied.
};

// The simulated server. Service times are exponentially distributed.
class BackendServer {
 public:
  explicit BackendServer(BackendOptions options);

  // Starts the request `message` in a free slot or sheds it. Does not run a
  // retransmission again; resends its answer if that is ready.
  void OnRequest(TimePoint now, SocketAddress from, const CoapMessage& message,
                 Outbox& out);
  // Cancels the request with this message id if it is still in its slot.
  void OnReset(TimePoint now, SocketAddress from, std::uint16_t message_id);
  // Answers the requests whose service time has ended.
  void OnTick(TimePoint now, Outbox& out);
  // When to call OnTick() next; kNever if no slot is occupied.
  TimePoint NextWake() const;

  int busy_slots() const { return busy_slots_; }
  // When the last request arrived, including retransmissions.
  TimePoint last_request() const { return last_request_; }
  const BackendCounters& counters() const { return counters_; }

 private:
  // Identifies a message for the detection of retransmissions.
  struct MessageKey {
    SocketAddress from;
    std::uint16_t message_id;
    friend bool operator<(const MessageKey& a, const MessageKey& b) {
      return std::pair(a.from.Packed(), a.message_id) <
             std::pair(b.from.Packed(), b.message_id);
    }
  };
  // A request and its answer.
  struct Exchange {
    CoapToken token;
    TimePoint begin;
    TimePoint end = kNever;  // When the service time ends.
    bool is_running = true;  // The request is in its slot.
    std::vector<std::uint8_t> answer;
  };

  // Returns true if `message` is a retransmission, and then resends its answer
  // if that is ready.
  bool HandleRetransmission(const MessageKey& key, const CoapMessage& message,
                            Outbox& out);
  // Counts a run of the body of a POST; ignores other methods.
  void CountRun(const CoapMessage& message);
  std::vector<std::uint8_t> BuildAnswer(const CoapMessage& message) const;
  // Builds the answer 5.03 of a request that is shed.
  std::vector<std::uint8_t> BuildShedAnswer(const CoapMessage& message) const;
  void FreeSlot(TimePoint now, Exchange& exchange);
  // Removes exchanges that ended longer than kExchangeLifetime ago.
  void RemoveExpiredExchanges(TimePoint now);

  BackendOptions options_;
  std::mt19937_64 random_;
  std::map<MessageKey, Exchange> exchanges_;
  // Running requests by the end of their service time; also cancelled ones.
  std::multimap<TimePoint, MessageKey> slot_ends_;
  std::map<std::string, int> runs_;  // Number of runs by POST body.
  int busy_slots_ = 0;
  TimePoint last_request_;
  TimePoint next_expiry_check_;
  BackendCounters counters_;
};

}  // namespace vanillalatch::standin

#endif  // VANILLALATCH_SRC_STANDIN_BACKEND_SERVER_H_
