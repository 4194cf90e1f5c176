// standin2 CASE FOLDER: runs one case of the review; FOLDER gets record.txt.
// Exit status: 1 a rule was broken, 0 it held, 2 the case couldn't run.
// TROUBLE=0 leaves the disruption out.
#include "standin2_world.h"

using namespace review;

namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

std::string MakeManifest(int version, const Address& records,
                         const Address& plans) {
  const auto route = [](const std::string& name, const Address& at,
                        const std::string& type, const std::string& service,
                        int timeout, int target) {
    return "{\"name\":\"" + name + "\",\"host\":\"" + at.Ip() +
           "\",\"path_prefix\":\"/" + std::to_string(at.port) +
           "/\",\"type\":\"" + type +
           "\",\"timeout_ms\":" + std::to_string(timeout) +
           ",\"target_latency_ms\":" + std::to_string(target) +
           ",\"priority\":2,\"service\":\"" + service +
           "\",\"max_attempts\":2}";
  };
  return "{\"version\":" + std::to_string(version) + ",\"routes\":[" +
         route("r1", records, "unsafe", "records", 3000, 500) + "," +
         route("r2", plans, "download", "plans", 5000, 500) +
         "],\"services\":[{\"name\":\"records\",\"health_check_path\":\"/"
         "health\",\"max_flows\":2000,\"protocol\":\"h1\",\"tls\":false},{"
         "\"name\":\"plans\",\"health_check_path\":\"/"
         "health\",\"max_flows\":2000,\"protocol\":\"h1\",\"tls\":false}],"
         "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

// Sends an order as the operator does. Returns the status of its end.
int SendOrder(Deployment& deployment, const std::string& path,
              const std::string& body, int for_ms) {
  const std::int64_t until = NowMs() + for_ms;
  std::size_t node = 0;
  int backoff = 50;
  while (NowMs() < until) {
    Address to = deployment.cores()[node]->control;
    HttpReply reply = Http(to, "POST", path, body, 1000);
    for (int n = 0; n < 2 && reply.status == 307; ++n) {
      const std::string host =
          reply.location.substr(7, reply.location.find('/', 7) - 7);
      for (auto& it : deployment.cores()) {
        if (it->control.Text() == host) to = it->control;
      }
      reply = Http(to, "POST", path, body, 1000);
    }
    if (reply.status >= 200 && reply.status < 300) return reply.status;
    if (reply.status >= 400 && reply.status < 500 && reply.status != 408 &&
        reply.status != 429) {
      return reply.status;
    }
    node = (node + 1) % deployment.cores().size();
    SleepMs(backoff);
    backoff = std::min(backoff * 2, 800);
  }
  return 0;
}

bool WaitReady(Deployment& deployment, int ms) {
  const std::int64_t until = NowMs() + ms;
  while (NowMs() < until) {
    bool all = true;
    for (auto& it : deployment.fronts()) all = all && it->in_rotation;
    if (all) return true;
    SleepMs(50);
  }
  return false;
}

// A small deployment: 3 zones, 3 core machines, 6 entry machines, 14 endpoints
// of "records" and 4 of "plans" with 3 slots each.
struct Site {
  explicit Site(const std::string& folder)
      : record(folder + "/record.txt"), temp("/tmp/review-XXXXXX") {
    if (mkdtemp(temp.data()) == nullptr) return;
    DeploymentOptions options;
    options.temp = temp;
    deployment = std::make_unique<Deployment>(options);
    world = std::make_unique<World>(*deployment, record, 7);
    records = deployment->At(9, 1, 8443);
    plans = deployment->At(9, 2, 8443);
    int number = 0;
    for (int n = 0; n < 14; ++n) {
      world->AddEndpoint("records", n % 3, ++number, 3);
    }
    for (int n = 0; n < 4; ++n) world->AddEndpoint("plans", n % 3, ++number, 3);
  }
  ~Site() {
    if (world != nullptr) world->Stop();
    if (deployment != nullptr) deployment->EndAll();
    if (getenv("KEEP") == nullptr && system(("rm -rf " + temp).c_str()) != 0) {
      fprintf(stderr, "%s is left over\n", temp.c_str());
    }
  }
  // Starts all processes. True once every entry machine is in rotation.
  bool Start() {
    if (deployment == nullptr || !deployment->StartAll()) return false;
    for (auto& it : world->endpoints()) world->StartEndpoint(*it);
    world->Start();
    const bool ready =
        SendOrder(*deployment, "/v1/configuration/replace",
                  MakeManifest(1, records, plans), 9000) == 200 &&
        WaitReady(*deployment, 15000);
    record.Line(ready ? "ready" : "did not get ready");
    return ready;
  }
  // Ends the world and writes the sums. Returns the exit status.
  int Finish() {
    world->Stop();
    const World::Counts c = world->counts();
    record.Line(
        "flows: %d sent, %d refused, %d never opened, %d requests answered, "
        "%d not answered, %d run, %d run twice",
        c.opened, c.refused, c.gave_up, c.answered, c.failed, c.run,
        c.run_twice);
    record.Line(
        "%d opening packets came to two endpoints; %d open flows were reset by "
        "another endpoint (%d of them through a machine that is not in touch), "
        "%d by the system",
        c.two_endpoints, c.foreign_reset, c.not_in_touch, c.system_reset);
    std::map<std::string, int> findings;
    for (const std::string& it : world->findings) ++findings[it];
    for (const auto& [text, n] : findings) {
      record.Line("BROKEN %s (%d times)", text.c_str(), n);
    }
    printf(
        "%s: %zu findings; %d opening packets came to two endpoints, %d open "
        "flows were reset by another endpoint, %d counted\n",
        findings.empty() ? "held" : "broken", world->findings.size(),
        c.two_endpoints, c.foreign_reset, c.foreign_reset - c.not_in_touch);
    return findings.empty() ? kHeld : kBroken;
  }

  Record record;
  std::string temp;
  std::unique_ptr<Deployment> deployment;
  std::unique_ptr<World> world;
  Address records;
  Address plans;
};

// Requests for "records" that fill its 42 slots `load` times.
void AddLoad(Site& site, double load, std::int64_t from, std::int64_t until) {
  RequestPlan plan;
  plan.kind = "unsafe";
  plan.work_ms = 58;
  plan.request_bytes = 900;
  plan.response_bytes = 2000;
  plan.budget_ms = 3000;
  const double per_s = load * 42 / 0.058 / 3;
  for (int zone = 0; zone < 3; ++zone) {
    site.world->AddLoad({zone, site.records, plan, per_s, from, until, 0});
  }
}

// Planned work: the entry machines are stopped and started in turn, three
// times, while callers press.
int Roll(const std::string& folder, bool trouble) {
  Site site(folder);
  if (!site.Start()) return kCouldNotRun;
  auto& fronts = site.deployment->fronts();
  site.world->planned_work = true;
  const std::int64_t from = NowMs() + 500;
  const std::int64_t until = from + 69000;
  AddLoad(site, 1.0, from, until);
  SleepMs(3000);
  for (int round = 0; round < 3; ++round) {
    const std::int64_t begun = NowMs();
    for (int n = 0; n < 6; ++n) {  // Bursts of 3 s, one after the other.
      AddLoad(site, 0.7, begun + 3000 * n, begun + 3000 * (n + 1));
    }
    std::vector<std::int64_t> stopped(fronts.size(), -1);
    std::size_t next = 0;
    while (NowMs() < begun + 22000) {
      if (trouble && next < fronts.size() &&
          NowMs() >= begun + 1000 + 1300 * static_cast<std::int64_t>(next)) {
        site.record.Line("SIGTERM to %s", fronts[next]->process.name.c_str());
        fronts[next]->process.Signal(SIGTERM);
        stopped[next++] = NowMs();
      }
      for (std::size_t n = 0; n < stopped.size(); ++n) {
        Process& it = fronts[n]->process;
        if (stopped[n] < 0) continue;
        if (!it.Running()) {
          stopped[n] = -1;
          site.deployment->StartFront(n);
          site.record.Line("%s started again", it.name.c_str());
        } else if (NowMs() >= stopped[n] + 6000) {
          it.Signal(SIGKILL);  // grace_s.
        }
      }
      SleepMs(10);
    }
  }
  while (NowMs() < until + 3500) SleepMs(50);
  return site.Finish();
}

// The entry machines freeze for a quarter of a second in turn, while callers
// press.
int Pause(const std::string& folder, bool trouble) {
  constexpr int kPauseMs = 250;
  Site site(folder);
  if (!site.Start()) return kCouldNotRun;
  auto& fronts = site.deployment->fronts();
  const std::int64_t from = NowMs() + 500;
  const std::int64_t until = from + 66000;
  AddLoad(site, 1.0, from, until);
  SleepMs(2500);
  const std::int64_t begun = NowMs();
  for (int n = 0; n < 20; ++n) {  // Bursts of 3 s, one after the other.
    AddLoad(site, 0.7, begun + 3000 * n, begun + 3000 * (n + 1));
  }
  for (int n = 0; n < 24; ++n) {
    while (NowMs() < begun + 1500 + 2400 * n) SleepMs(5);
    if (!trouble) continue;
    Front& front = *fronts[static_cast<std::size_t>(n) % fronts.size()];
    site.record.Line("SIGSTOP to %s", front.process.name.c_str());
    front.disturbed_at = std::int64_t{1} << 40;
    front.process.Signal(SIGSTOP);
    SleepMs(kPauseMs);
    front.process.Signal(SIGCONT);
    front.disturbed_at = NowMs();
    site.record.Line("SIGCONT to %s", front.process.name.c_str());
  }
  while (NowMs() < until + 3500) SleepMs(50);
  return site.Finish();
}

// The operator's path to one core machine: a proxy that delivers at once, or
// holds back what the operator has sent on an open connection. While it is
// cut, new connections get no answer. What was sent on an open connection
// meets the cut as it does with TCP: it is sent again after 0.2 s, 0.4 s, and
// so on, each time twice as late, also after the operator has closed the
// connection, until it arrives.
class Link {
 public:
  Link(const Address& listen, const Address& to, Record& record)
      : listen_(listen), to_(to), record_(record) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in s = ToSockaddr(listen);
    const int one = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    ok_ = bind(fd_, reinterpret_cast<const sockaddr*>(&s), sizeof s) == 0 &&
          listen_on(fd_);
    thread_ = std::thread([this] { Run(); });
  }
  ~Link() {
    stop_ = true;
    thread_.join();
    for (auto& it : connections_) it.join();
    close(fd_);
  }
  bool ok() const { return ok_; }
  const Address& address() const { return listen_; }
  void Cut() { cut_ = true; }
  void Heal() { cut_ = false; }

 private:
  static bool listen_on(int fd) { return listen(fd, 16) == 0; }
  void Run() {
    while (!stop_) {
      pollfd p{fd_, POLLIN, 0};
      if (cut_ || poll(&p, 1, 20) != 1) {
        if (cut_) SleepMs(10);
        continue;
      }
      const int client = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (client >= 0) {
        connections_.emplace_back([this, client] { Serve(client); });
      }
    }
  }
  // True once the bytes have passed the link.
  bool Pass(int to, const char* bytes, std::size_t n) {
    const std::int64_t sent_at = NowMs();
    std::int64_t next = sent_at + 200;
    std::int64_t delay = 200;
    while (cut_) {
      while (!stop_ && NowMs() < next) SleepMs(5);
      if (stop_) return false;
      delay *= 2;
      next += delay;
    }
    // Sent during the cut: arrives with the first repetition after its end.
    if (NowMs() > sent_at + 50) {
      record_.Line("link to %s: delivers %zu bytes that were sent %d ms ago",
                   to_.Text().c_str(), n, static_cast<int>(NowMs() - sent_at));
    }
    return send(to, bytes, n, MSG_NOSIGNAL) == static_cast<ssize_t>(n);
  }
  void Serve(int client) {
    const int server = ConnectTcp(to_, 1000);
    if (server >= 0) {
      fcntl(server, F_SETFL, fcntl(server, F_GETFL) & ~O_NONBLOCK);
      std::thread back([&] {
        char buf[16384];
        for (;;) {
          pollfd p{server, POLLIN, 0};
          if (poll(&p, 1, 50) == 1) {
            const ssize_t n = recv(server, buf, sizeof buf, 0);
            if (n <= 0) break;
            if (!cut_ && send(client, buf, static_cast<std::size_t>(n),
                              MSG_NOSIGNAL) < 0) {
              // The operator has closed the connection.
            }
          }
          if (stop_) break;
        }
        shutdown(client, SHUT_WR);
      });
      char buf[16384];
      while (!stop_) {
        pollfd p{client, POLLIN, 0};
        if (poll(&p, 1, 50) != 1) continue;
        const ssize_t n = recv(client, buf, sizeof buf, 0);
        if (n <= 0) break;
        if (!Pass(server, buf, static_cast<std::size_t>(n))) break;
      }
      shutdown(server, SHUT_WR);
      back.join();
      close(server);
    }
    close(client);
  }

  const Address listen_;
  const Address to_;
  Record& record_;
  int fd_ = -1;
  bool ok_ = false;
  std::atomic<bool> stop_{false};
  std::atomic<bool> cut_{false};
  std::thread thread_;
  std::vector<std::thread> connections_;
};

// An operator with one open connection to each core machine.
class Operator {
 public:
  Operator(Deployment& deployment, std::vector<std::unique_ptr<Link>>& links,
           Record& record)
      : deployment_(deployment),
        links_(links),
        record_(record),
        fds_(links.size(), -1) {}
  ~Operator() {
    for (const int it : fds_)
      if (it >= 0) close(it);
  }

  // Sends an order until it is acknowledged. Returns the machine that did so;
  // -1 if none did in time.
  int Send(const std::string& path, int for_ms) {
    const std::int64_t until = NowMs() + for_ms;
    int backoff = 50;
    while (NowMs() < until) {
      std::size_t node = node_;
      HttpReply reply = Call(node, path);
      for (int n = 0; n < 2 && reply.status == 307; ++n) {
        const std::string host =
            reply.location.substr(7, reply.location.find('/', 7) - 7);
        for (std::size_t i = 0; i < links_.size(); ++i) {
          if (deployment_.cores()[i]->control.Text() == host) node = i;
        }
        reply = Call(node, path);
      }
      if (reply.status >= 200 && reply.status < 300) {
        record_.Line("POST %s acknowledged by core-%zu", path.c_str(),
                     node + 1);
        node_ = node;
        return static_cast<int>(node);
      }
      record_.Line("POST %s: core-%zu: %s", path.c_str(), node + 1,
                   reply.status == 0 ? "no answer within a second"
                                     : std::to_string(reply.status).c_str());
      node_ = (node_ + 1) % links_.size();
      SleepMs(backoff);
      backoff = std::min(backoff * 2, 400);
    }
    return -1;
  }

 private:
  HttpReply Call(std::size_t node, const std::string& path) {
    const std::int64_t until = NowMs() + 1000;
    if (fds_[node] < 0) {
      fds_[node] = ConnectTcp(links_[node]->address(), 1000);
    }
    if (fds_[node] < 0) return {};
    const std::string out = "POST " + path + " HTTP/1.1\r\nHost: " +
                            links_[node]->address().Text() +
                            "\r\nContent-Length: 0\r\n\r\n";
    HttpReply reply;
    if (send(fds_[node], out.data(), out.size(), MSG_NOSIGNAL) > 0) {
      reply = ReadReply(fds_[node], until);
    }
    if (reply.status == 0) {
      close(fds_[node]);  // A second without an answer.
      fds_[node] = -1;
    }
    return reply;
  }

  Deployment& deployment_;
  std::vector<std::unique_ptr<Link>>& links_;
  Record& record_;
  std::vector<int> fds_;
  std::size_t node_ = 0;
};

// An operator ends an evacuation while his path to the leader is cut for 4 s,
// and evacuates the zone again.
int LateOrder(const std::string& folder, bool trouble) {
  constexpr std::int64_t kEvacuationMs = 5000;  // evacuation_ms.
  Site site(folder);
  if (!site.Start()) return kCouldNotRun;
  Deployment& deployment = *site.deployment;
  std::vector<std::unique_ptr<Link>> links;
  for (std::size_t n = 0; n < deployment.cores().size(); ++n) {
    links.push_back(std::make_unique<Link>(
        deployment.At(40, static_cast<int>(n) + 1, deployment.base_port() + 9),
        deployment.cores()[n]->control, site.record));
    if (!links.back()->ok()) return kCouldNotRun;
  }
  const std::int64_t from = NowMs();
  AddLoad(site, 0.25, from, from + 40000);
  const std::string zone = deployment.Zone(0);
  std::atomic<std::int64_t> evacuated_at{-1};
  std::atomic<int> late{0};
  {
    std::lock_guard<std::mutex> lock(site.world->mutex);
    site.world->on_syn = [&](Endpoint& endpoint, const Packet&,
                             const ClientFlow* flow) {
      const std::int64_t at = evacuated_at;
      if (endpoint.zone != zone || at < 0 || NowMs() <= at + kEvacuationMs) {
        return;
      }
      ++late;
      site.world->findings.push_back("EVAC: a request reached " + zone);
      site.record.Line(
          "%s in %s took the opening packet of flow %d, %d ms after the "
          "evacuation was acknowledged",
          endpoint.name.c_str(), zone.c_str(), flow == nullptr ? 0 : flow->id,
          static_cast<int>(NowMs() - at));
    };
  }
  int status = kCouldNotRun;
  {
    Operator boss(deployment, links, site.record);
    SleepMs(2000);
    const int leader = boss.Send("/v1/evacuations/" + zone + "/start", 6000);
    if (leader >= 0) {
      SleepMs(6000);
      std::thread cut;
      if (trouble) {
        site.record.Line("the operator's path to core-%d is cut", leader + 1);
        links[static_cast<std::size_t>(leader)]->Cut();
        cut = std::thread([&] {
          SleepMs(4000);
          links[static_cast<std::size_t>(leader)]->Heal();
          site.record.Line("the operator's path to core-%d is whole again",
                           leader + 1);
        });
      }
      const int ended = boss.Send("/v1/evacuations/" + zone + "/end", 6000);
      if (cut.joinable()) cut.join();
      SleepMs(500);
      if (ended >= 0 &&
          boss.Send("/v1/evacuations/" + zone + "/start", 6000) >= 0) {
        evacuated_at = NowMs();
        SleepMs(15000);
        status = kHeld;
      } else {
        site.record.Line("an order was not acknowledged");
      }
    }
  }
  links.clear();
  const int finished = site.Finish();
  return status == kHeld ? finished : status;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) return kCouldNotRun;
  signal(SIGPIPE, SIG_IGN);
  const std::string name = argv[1];
  const char* trouble = getenv("TROUBLE");
  const bool with_trouble = trouble == nullptr || std::string(trouble) != "0";
  if (name == "roll") return Roll(argv[2], with_trouble);
  if (name == "pause") return Pause(argv[2], with_trouble);
  if (name == "late-order") return LateOrder(argv[2], with_trouble);
  return kCouldNotRun;
}
