// Callers' stand-in: open arrivals, each datagram to an entry VM drawn from
// the seed, resends with back-off, block-wise transfers, and a check that each
// answer belongs to its request and is whole. Without I/O.
//
//   Callers callers(options, now, unix_ms);
//   callers.OnTick(now, out);   // at NextWake(), until Done(now)
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

struct CallerOptions {
  std::vector<SocketAddress> entries;  // Caller sockets of entry VMs.
  std::vector<RequestKind> kinds;
  double rate = 100;  // Requests a second.
  Duration duration = std::chrono::seconds(5);
  std::size_t flows = 32;  // Sockets.
  std::uint64_t seed = 1;
};

// How a request ended.
enum class CallOutcome : std::uint8_t {
  kAnswered,        // Whole, and its own answer.
  kRefused,         // 5.03 or 4.xx: not run.
  kBroken,          // Incomplete or wrong content.
  kMisrouted,       // Another service's or another request's answer.
  kUnknownOutcome,  // 5.04: it may have run.
  kUnanswered,      // Nothing final came.
};
inline constexpr std::size_t kCallOutcomes = 6;

struct KindCounters {
  std::uint64_t sent = 0;
  std::array<std::uint64_t, kCallOutcomes> outcomes{};
  // Of answered requests, from the intended send time.
  std::vector<Duration> latencies;
  std::uint64_t within = 0;  // Answered within the target.
  std::uint64_t resends = 0;
};

// Datagrams that callers want sent, by flow.
struct CallerOutbox {
  struct Item {
    std::size_t flow;
    SocketAddress to;
    std::vector<std::uint8_t> bytes;
  };
  std::vector<Item> items;
};

class Callers {
 public:
  // `unix_ms` is the time of `now`, milliseconds since 1970.
  Callers(CallerOptions options, TimePoint now, std::int64_t unix_ms);

  void OnTick(TimePoint now, CallerOutbox& out);
  void OnAnswer(TimePoint now, std::size_t flow, const CoapMessage& message,
                CallerOutbox& out);
  TimePoint NextWake() const;
  // Everything was sent and ended.
  bool Done() const;

  const std::vector<KindCounters>& counters() const { return counters_; }
  const CallerOptions& options() const { return options_; }

 private:
  struct Call {
    std::size_t kind = 0;
    std::size_t flow = 0;
    std::string key;
    TimePoint intended;
    TimePoint give_up;
    TimePoint wake;
    Duration resend_after{};
    int sends = 0;
    std::size_t entry = 0;  // That got the last datagram.
    std::uint32_t block = 0;
    std::string content;            // Blocks that came.
    std::vector<std::uint8_t> tag;  // ETag of the first block.
    std::vector<std::uint8_t> datagram;
  };
  using Token = std::uint64_t;

  void Begin(TimePoint intended, CallerOutbox& out, TimePoint now);
  void Build(TimePoint now, Token token, Call& call);
  void Send(TimePoint now, Token token, Call& call, CallerOutbox& out);
  // Any entry VM for the first datagram, another one for each resend.
  std::size_t DrawEntry(const Call& call);
  void End(TimePoint now, Token token, CallOutcome outcome);
  CallOutcome Judge(const Call& call, const CoapMessage& message) const;
  // Takes one block; asks for the next one, or ends the call.
  void TakeBlock(TimePoint now, Token token, const CoapMessage& message,
                 CallerOutbox& out);
  bool IsNextBlock(const Call& call, const CoapMessage& message) const;

  CallerOptions options_;
  std::mt19937_64 random_;
  TimePoint end_;
  TimePoint next_arrival_;
  std::int64_t unix_ms_at_zero_;
  std::vector<std::uint16_t> message_ids_;  // By flow.
  std::map<Token, Call> calls_;
  std::multimap<TimePoint, Token> wakes_;
  std::vector<KindCounters> counters_;
};

}  // namespace vanillalatch::standin

#endif  // VANILLALATCH_SRC_STANDIN_CALLERS_H_
