// Callers, endpoints and routers in one thread; heartbeats in threads of their
// own. See PROTOCOL.md of the users' kit for what they speak.
#ifndef REVIEW_STANDIN2_WORLD_H_
#define REVIEW_STANDIN2_WORLD_H_

#include "standin2.h"

namespace review {

enum Flag : std::uint8_t {
  kRst = 1,
  kBounced = 2,
  kFin = 16,
  kSyn = 32,
  kAck = 64
};

struct Packet {
  std::uint32_t echo = 0;
  std::uint8_t flags = 0;
  std::uint32_t sum = 0;
  std::uint32_t seq = 0;
  std::uint32_t ack = 0;
  Address src;
  Address dst;
  std::string data;

  std::string Encode(bool with_sum) const;
  static bool Decode(const char* bytes, std::size_t n, Packet& out);
  std::uint32_t Sum() const;
};

struct RequestPlan {
  std::string kind = "safe";
  double work_ms = 50;
  int request_bytes = 100;
  int response_bytes = 1000;
  int requests = 1;      // On one flow.
  int pause_ms = 0;      // Between them.
  int budget_ms = 1500;  // Of each.
};

struct Endpoint;

// One byte stream in one direction, and what is in flight of it.
struct Sender {
  std::uint32_t base = 0;  // Sequence number of `bytes`[0].
  std::string bytes;       // Not acknowledged yet.
  std::size_t sent = 0;    // Of `bytes`.
  bool fin = false;        // After `bytes`.
  bool fin_sent = false;
  std::int64_t resend_at = 0;
  int resends = 0;
};

struct ClientFlow {
  int id = 0;
  int zone = 0;
  Address src;
  Address dst;
  RequestPlan plan;
  enum class State { kOpening, kOpen, kClosing, kDone } state = State::kOpening;
  std::uint32_t first_seq = 0;
  std::uint32_t peer_next = 0;  // Next byte expected.
  std::uint32_t echo = 0;
  Sender out;
  std::string in;
  int copies = 0;
  std::int64_t opened_at = 0;  // First SYN.
  std::int64_t open_since = 0;
  int answered = 0;
  int asked = 0;
  std::string request_id;
  std::int64_t asked_at = 0;
  int unacked = 0;
  std::set<int> fronts;  // Through which its packets went.
};

struct EndpointFlow {
  Address client;  // Address and port of the caller.
  Address route;
  bool open = false;
  std::uint32_t seq = 0;  // Own first.
  std::uint32_t peer_next = 0;
  std::uint32_t echo = 0;
  Sender out;
  std::string in;
  bool fin_received = false;
  int unacked = 0;
  bool fin_after_answer = false;
  std::int64_t syn_at = 0;
};

struct Job {
  std::pair<Address, Address> flow;
  std::string request;
  double work_ms = 0;
  int response_bytes = 0;
};

struct Endpoint {
  std::string name;
  std::uint64_t id = 0;
  std::string service;
  std::string zone;
  Address address;
  int slots = 2;
  int queue = 12;
  std::int64_t born = 0;
  std::atomic<bool> draining{false};
  std::atomic<bool> stop_beats{false};
  std::atomic<std::int64_t> draining_acked_at{-1};  // NowMs().
  std::atomic<std::int64_t> draining_acked_by{
      -1};  // Index of the core machine.
  std::atomic<int> acked{0};
  bool alive = false;
  int fd = -1;
  int busy = 0;
  double slowness = 1;
  std::deque<Job> jobs;
  std::map<std::pair<Address, Address>, EndpointFlow> flows;
  std::set<std::pair<Address, Address>> ended;
  std::uint64_t sequence = 0;
  std::thread beats;
  std::uint64_t runs = 0;
  std::string IdText() const {
    char buf[32];
    snprintf(buf, sizeof buf, "i-%08llx", static_cast<unsigned long long>(id));
    return buf;
  }
};

class World {
 public:
  World(Deployment& deployment, Record& record, std::uint64_t seed);
  ~World();

  Endpoint& AddEndpoint(const std::string& service, int zone, int number,
                        int slots);
  // Starts or ends the heartbeats and the socket of an endpoint.
  void StartEndpoint(Endpoint& endpoint);
  void CrashEndpoint(Endpoint& endpoint);

  void Start();
  void Stop();

  // Opens a flow now. Thread-safe.
  void Open(int zone, const Address& route, const RequestPlan& plan);
  // Arrivals of flows: `per_s` in each zone.
  struct Load {
    int zone = 0;
    Address route;
    RequestPlan plan;
    double per_s = 0;
    std::int64_t from = 0;
    std::int64_t until = 0;
    std::int64_t next = 0;
  };
  void AddLoad(const Load& load);

  struct Counts {
    int opened = 0, refused = 0, answered = 0, failed = 0, gave_up = 0;
    int run = 0, run_twice = 0;
    int two_endpoints = 0;  // Flows of which two endpoints got the SYN.
    int foreign_reset = 0;  // Open flows reset by another endpoint.
    int system_reset = 0;   // Open flows reset by the system.
    int not_in_touch = 0;   // Of foreign_reset: not counted by the rule.
    int foreign_answer = 0;
    int late_drain = 0;
  };
  Counts counts();
  // Called under the lock for each opening packet that an endpoint takes.
  std::function<void(Endpoint&, const Packet&, const ClientFlow*)> on_syn;
  std::mutex mutex;
  std::vector<std::unique_ptr<Endpoint>>& endpoints() { return endpoints_; }
  std::vector<std::string> findings;
  // Under unplanned disruption, FLOW counts only if the machines that took the
  // flow's packets are in touch; under planned work it always counts.
  bool planned_work = false;

 private:
  void Run();
  void ProbeReadiness();
  void Beat(Endpoint& endpoint);
  int SelectFront(const ClientFlow& flow);
  void ClientSend(ClientFlow& flow, std::uint8_t flags, const std::string& data,
                  std::uint32_t seq, std::uint32_t ack);
  void ClientPump(ClientFlow& flow, bool force_ack);
  void NextRequest(ClientFlow& flow);
  void OnClientPacket(const Address& from, const Packet& packet);
  void OnEndpointPacket(Endpoint& endpoint, const Packet& packet);
  void EndpointSend(Endpoint& endpoint, EndpointFlow& flow, std::uint8_t flags,
                    const std::string& data, std::uint32_t seq);
  void EndpointReset(Endpoint& endpoint, const Packet& packet);
  void EndpointPump(Endpoint& endpoint, EndpointFlow& flow, bool force_ack);
  void StartJobs(Endpoint& endpoint);
  void FinishJob(Endpoint& endpoint, const Job& job);
  void Finish(ClientFlow& flow, const std::string& outcome);
  void At(std::int64_t at, std::function<void()> run);
  bool IsInTouch(const ClientFlow& flow) const;
  void OpenLocked(int zone, const Address& route, const RequestPlan& plan);

  Deployment& deployment_;
  Record& record_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Endpoint>> endpoints_;
  std::vector<int> client_fds_;  // By zone.
  std::vector<Address> client_addresses_;
  std::map<Address, std::unique_ptr<ClientFlow>> flows_;  // By caller.
  std::map<int, ClientFlow*> by_id_;
  std::multimap<std::int64_t, std::function<void()>> timers_;
  std::vector<Load> loads_;
  std::atomic<bool> stop_{false};
  std::thread thread_;
  std::thread probes_;
  int last_flow_ = 0;
  std::uint16_t last_port_ = 10000;
  Counts counts_;
  std::map<std::string, int> runs_;  // By request.
  std::map<std::pair<Address, std::uint32_t>, std::set<Endpoint*>> syn_at_;
  std::map<Address, Endpoint*> opened_at_;  // By caller: flow's endpoint.
};

}  // namespace review

#endif  // REVIEW_STANDIN2_WORLD_H_
