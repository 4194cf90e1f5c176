// The World for scenarios of entry VMs: several EntryNodes on a simulated
// network with virtual time, fake backend servers that count the requests that
// they run, and fake callers that resend.
//
// Each event is checked for these invariants: no request that is not idempotent
// runs twice, no endpoint receives another service's request, each answer
// belongs to its request, and no request that was answered as "not run" has
// run.
#ifndef VANILLALATCH_SRC_ENTRY_ENTRY_WORLD_H_
#define VANILLALATCH_SRC_ENTRY_ENTRY_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "catalog.pb.h"
#include "vanillalatch/entry/entry_node.h"
#include "vanillalatch/scenario/scenario.h"
#include "vanillalatch/wire/coap.h"

namespace vanillalatch::internal {

enum class BackendMode {
  kNormal,
  kSeparate,  // Empty acknowledgement, then a confirmable answer.
  kShed,      // 5.03 without running.
  kSilent,    // Neither runs nor answers.
  kDieAfter,  // Runs one request, then stops without an answer.
  kDouble,    // Answers twice.
  kReset,     // Rejects each message.
};

class EntryWorld {
 public:
  explicit EntryWorld(std::uint64_t seed);

  void Do(const scenario::Step& step);
  std::string Journal() const { return journal_; }

 private:
  using Bytes = std::vector<std::uint8_t>;

  struct Event {
    TimePoint at;
    std::uint64_t order;  // Of events that are due at the same time.
    std::function<void()> run;
    bool operator>(const Event& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  struct Vm {
    std::string name;
    std::unique_ptr<EntryNode> node;  // nullptr: not running.
    std::uint64_t incarnation = 1;
    bool frozen = false;
    bool stopping = false;
    std::vector<std::function<void()>> deferred;  // Arrived while frozen.
  };

  struct Backend {
    std::string name;
    std::string service;
    SocketAddress address;
    std::uint32_t slots = 2;
    std::uint64_t epoch = 1;
    Duration delay = std::chrono::milliseconds(5);
    BackendMode mode = BackendMode::kNormal;
    bool running = true;
    std::uint32_t blocks = 1;  // Of its answers.
    std::string tag = "t1";    // ETag of its blockwise answers.
    std::string location;  // Id of its registration; "left" after a leave step.
    std::uint16_t next_message_id = 1;
    std::set<std::uint16_t> cancelled;
    // Message ids, to ignore duplicates.
    std::map<std::uint16_t, bool> received_ids;
    std::uint64_t requests = 0;
    std::uint64_t resets = 0;
  };

  struct Request {
    std::string name;
    SocketAddress caller;
    CoapToken token;
    std::uint16_t message_id = 0;
    bool confirmable = true;
    bool idempotent = true;
    bool cancelled = false;
    int resends = 0;
    Bytes datagram;
    // From the first answer; code 0 until it arrives.
    CoapCode code = 0;
    std::string body;
    std::uint64_t max_age = 0;
    TimePoint sent;
    TimePoint answered;
    int answers = 0;
    std::uint64_t runs = 0;
    std::set<std::string> served_by;  // Backend servers that ran it.
  };

  // entry_world_test.cc
  void CreateVms(const scenario::Step& step);
  void AddService(const scenario::Step& step);
  void Evacuate(const scenario::Step& step);
  void ApplyCatalog();
  void StartVm(std::size_t n, Duration wait);
  void ChangeVm(const scenario::Step& step);
  void Recover(const scenario::Step& step);
  void Network(const scenario::Step& step);
  void Expect(const scenario::Step& step);
  void ExpectAnswer(const scenario::Step& step, const Request& request);
  void ExpectQuiet();
  void ExpectBroken(std::uint64_t limit) const;
  void ExpectFlows(const scenario::Step& step);
  std::size_t VmIndex(const std::string& text) const;
  void RunFor(Duration time);
  void RunNext();
  void ScheduleAfter(Duration delay, std::function<void()> run);
  void TransmitAll(std::size_t n, Outbox& out);
  void Deliver(std::size_t n, SocketRole role, SocketAddress from,
               const Bytes& bytes);
  void Transmit(SocketAddress from, SocketAddress to, const Bytes& bytes);
  void Arrive(SocketAddress from, SocketAddress to, const Bytes& bytes);
  void Log(const std::string& line);
  void Violation(const std::string& text);
  void Check(bool ok, const std::string& text) const;

  // entry_world_backends_test.cc and entry_world_callers_test.cc
  void AddBackend(const scenario::Step& step);
  void ChangeBackend(const scenario::Step& step);
  void RegisterBackend(Backend& backend);
  void OnBackendDatagram(Backend& backend, SocketAddress from,
                         const Bytes& bytes);
  void ServeRequest(Backend& backend, SocketAddress from,
                    const CoapMessage& message);
  void AnswerRequest(Backend& backend, SocketAddress from, const Bytes& answer);
  void Send(const scenario::Step& step);
  void SendMany(const scenario::Step& step);
  void SendRequest(Request& request, std::size_t vm);
  void ScheduleResend(const std::string& name, Duration timeout);
  void OnCallerDatagram(SocketAddress caller, SocketAddress from,
                        const Bytes& bytes);
  Request& FindRequest(const std::string& name);
  std::size_t RandomRunningVm();

  std::mt19937_64 random_;
  std::uint64_t seed_;
  TimePoint now_;
  std::uint64_t order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;

  std::vector<Vm> vms_;
  std::map<std::string, Backend> backends_;
  std::map<std::string, Request> requests_;
  std::map<std::string, SocketAddress> callers_;
  std::map<SocketAddress, std::uint16_t> message_ids_;
  std::uint64_t next_token_ = 1;
  pb::Catalog catalog_;

  Duration lifetime_ = std::chrono::seconds(247);
  std::size_t max_records_ = 100'000;  // Of each VM.
  int loss_permille_ = 0;
  int duplicate_permille_ = 0;
  Duration delay_ = std::chrono::microseconds(200);
  Duration jitter_ = std::chrono::microseconds(100);
  // Sender and receiver VM.
  std::set<std::pair<std::size_t, std::size_t>> blocked_links_;

  CoapParser parser_;
  std::string journal_;
  std::string violation_;
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_ENTRY_ENTRY_WORLD_H_
