// A backend server's stand-in: slots, service times, block-wise answers, at
// most one run of a message, cancellation and shedding. Without I/O.
//
//   BackendServer server(options);
//   server.OnRequest(now, from, message, out);
//   server.OnTick(now, out);  // at NextWake()
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

struct BackendOptions {
  std::string name;
  std::string service;
  int slots = 3;
  Duration mean_service_time = std::chrono::milliseconds(10);
  std::uint64_t seed = 1;
};

struct BackendCounters {
  std::uint64_t requests = 0;     // Taken into a slot.
  std::uint64_t shed = 0;         // Answered 5.03: no slot was free.
  std::uint64_t cancelled = 0;    // By a reset, while in a slot.
  std::uint64_t repeated = 0;     // Messages that had come before.
  std::uint64_t bodies = 0;       // Distinct bodies of POST that ran.
  std::uint64_t double_runs = 0;  // Runs of a body that had run before.
  Duration busy{};                // Sum of the slot time in use.
};

class BackendServer {
 public:
  explicit BackendServer(BackendOptions options);

  void OnRequest(TimePoint now, SocketAddress from, const CoapMessage& message,
                 Outbox& out);
  // Gives up a request that is still in its slot.
  void OnReset(TimePoint now, SocketAddress from, std::uint16_t message_id);
  void OnTick(TimePoint now, Outbox& out);
  TimePoint NextWake() const;

  int busy_slots() const { return busy_slots_; }
  TimePoint last_request() const { return last_request_; }
  const BackendCounters& counters() const { return counters_; }

 private:
  struct MessageKey {
    SocketAddress from;
    std::uint16_t message_id;
    friend bool operator<(const MessageKey& a, const MessageKey& b) {
      return std::pair(a.from.Packed(), a.message_id) <
             std::pair(b.from.Packed(), b.message_id);
    }
  };
  struct Exchange {
    CoapToken token;
    TimePoint begin;
    TimePoint end = kNever;  // Of its time in the slot.
    bool open = true;
    std::vector<std::uint8_t> answer;
  };

  // True if the message came before; resends the answer if there is one.
  bool IsRepeated(const MessageKey& key, const CoapMessage& message,
                  Outbox& out);
  void CountRun(const CoapMessage& message);
  std::vector<std::uint8_t> BuildAnswer(const CoapMessage& message) const;
  std::vector<std::uint8_t> BuildShed(const CoapMessage& message) const;
  void FreeSlot(TimePoint now, Exchange& exchange);
  void Forget(TimePoint now);

  BackendOptions options_;
  std::mt19937_64 random_;
  std::map<MessageKey, Exchange> exchanges_;
  std::multimap<TimePoint, MessageKey> ends_;
  std::map<std::string, int> runs_;  // By body.
  int busy_slots_ = 0;
  TimePoint last_request_;
  TimePoint next_forget_;
  BackendCounters counters_;
};

}  // namespace vanillalatch::standin

#endif  // VANILLALATCH_SRC_STANDIN_BACKEND_SERVER_H_
