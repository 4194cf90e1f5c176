// Stand-ins: simulated callers for development and load runs. Requests arrive
// at random at a fixed mean rate, whether or not earlier ones were answered (an
// open workload). Each datagram goes to an entry VM that is sampled at random
// and is resent with exponential back-off. Large answers are fetched block by
// block. Every answer is checked to be complete and to belong to its request.
// Does no I/O.
//
//   Callers callers(options, now, unix_ms);
//   callers.OnTick(now, out);   // Call at NextWake(), until IsDone().
//   callers.OnAnswer(now, flow, message, out);
#ifndef VANILLALATCH_SRC_STANDIN_CALLERS_H_
#define VANILLALATCH_SRC_STANDIN_CALLERS_H_

#include <array>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "src/standin/load_plan.h"
#include "vanillalatch/base/outbox.h"
#include "vanillalatch/base/time.h"
#include "vanillalatch/wire/coap.h"

namespace vanillalatch::standin {

// Settings of a group of simulated callers.
struct CallerOptions {
  // Caller sockets of the entry VMs.
  std::vector<SocketAddress> entry_addresses;
  std::vector<RequestKind> kinds;
  double rate = 100;  // Mean number of requests per second.
  Duration duration = std::chrono::seconds(5);
  std::size_t flows = 32;  // Number of caller sockets.
  std::uint64_t seed = 1;  // Of the random generator.
};

// How a request ended.
enum class CallOutcome : std::uint8_t {
  kAnswered,        // The answer is complete and belongs to the request.
  kRefused,         // 5.03 or 4.xx: the request was not run.
  kBroken,          // 5.02, or the content is incomplete or wrong.
  kMisrouted,       // The answer belongs to another service or request.
  kUnknownOutcome,  // Another 5.xx, such as 5.04: the request may have run.
  kUnanswered,      // No final answer before the caller gave up.
};
inline constexpr std::size_t kCallOutcomes = 6;

// Counters of the requests of one kind.
struct KindCounters {
  std::uint64_t sent = 0;
  std::array<std::uint64_t, kCallOutcomes> outcomes{};
  // Latencies of the answered requests, from the intended send time.
  std::vector<Duration> latencies;
  std::uint64_t within_target = 0;  // Answered within the latency target.
  std::uint64_t resends = 0;
};

// Datagrams to send, each with the index of the caller socket to send it from.
struct CallerOutbox {
  struct Item {
    std::size_t flow;
    SocketAddress to;
    std::vector<std::uint8_t> bytes;
  };
  std::vector<Item> items;
};

// A group of simulated callers that share one arrival process.
class Callers {
 public:
  // `unix_ms` is the same time as `now`, in milliseconds since 1970.
  Callers(CallerOptions options, TimePoint now, std::int64_t unix_ms);

  // Starts the requests that are due, resends the unanswered ones whose timer
  // has expired, and gives up those that waited too long.
  void OnTick(TimePoint now, CallerOutbox& out);
  // Processes an answer that arrived at the caller socket `flow`.
  void OnAnswer(TimePoint now, std::size_t flow, const CoapMessage& message,
                CallerOutbox& out);
  // When to call OnTick() next.
  TimePoint NextWake() const;
  // True if the last request was sent and every request has ended.
  bool IsDone() const;

  // Counters in the order of CallerOptions::kinds.
  const std::vector<KindCounters>& counters() const { return counters_; }
  const CallerOptions& options() const { return options_; }

 private:
  // An unanswered request. A block-wise transfer is one call whose datagram and
  // token change with each block.
  struct Call {
    std::size_t kind = 0;
    std::size_t flow = 0;
    std::string key;     // Random; the answer must contain it.
    TimePoint intended;  // Scheduled send time.
    TimePoint give_up;
    // When the datagram is resent or the call is given up.
    TimePoint next_timer;
    Duration resend_after{};
    int sends = 0;                   // Of the current datagram.
    std::size_t last_entry = 0;      // Of the entry VM that got the last send.
    std::uint32_t block = 0;         // Number of the requested block.
    std::string content;             // Blocks received so far.
    std::vector<std::uint8_t> etag;  // ETag of the last received block.
    std::vector<std::uint8_t> datagram;
  };
  using Token = std::uint64_t;

  // Starts a call of a random kind from a random caller socket.
  void StartCall(TimePoint intended, CallerOutbox& out, TimePoint now);
  // Builds the request datagram of `call` and resets its timers.
  void BuildRequest(TimePoint now, Token token, Call& call);
  // Sends the datagram of `call` and sets the timer for the next resend.
  void Send(TimePoint now, Token token, Call& call, CallerOutbox& out);
  // Samples the index of an entry VM: any of them for the first send of a
  // datagram, one other than the last for a resend.
  std::size_t SampleEntry(const Call& call);
  // Counts the outcome and removes the call.
  void EndCall(TimePoint now, Token token, CallOutcome outcome);
  // Returns the outcome that `message`, a final answer, means for `call`.
  CallOutcome ClassifyAnswer(const Call& call,
                             const CoapMessage& message) const;
  // Processes one block of an answer, then requests the next block or ends the
  // call.
  void HandleBlock(TimePoint now, Token token, const CoapMessage& message,
                   CallerOutbox& out);
  // True if `message` contains the requested block, with the same ETag as the
  // block before it.
  bool IsNextBlock(const Call& call, const CoapMessage& message) const;

  CallerOptions options_;
  std::mt19937_64 random_;
  TimePoint end_;  // No request starts after this time.
  TimePoint next_arrival_;
  std::int64_t unix_ms_at_zero_;            // Unix time at TimePoint{}.
  std::vector<std::uint16_t> message_ids_;  // Last message id of each flow.
  std::map<Token, Call> calls_;
  std::multimap<TimePoint, Token> timers_;  // Also those of ended calls.
  std::vector<KindCounters> counters_;      // By kind.
};

}  // namespace vanillalatch::standin

#endif  // VANILLALATCH_SRC_STANDIN_CALLERS_H_
