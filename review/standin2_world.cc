#include "standin2_world.h"

namespace review {
namespace {

constexpr std::size_t kMaxData = 1200;
constexpr std::size_t kMaxInFlight = 16;
constexpr std::int64_t kFirstResendMs = 200;
constexpr std::int64_t kMaxResendMs = 1600;
constexpr int kMaxResends = 8;
constexpr std::int64_t kCopyTimes[] = {0, 200, 600};
constexpr std::int64_t kOpeningMs = 1400;
constexpr std::int64_t kStabilityMs = 4000;  // stability_window_ms.

void Put(std::string& out, std::size_t at, std::uint32_t value, int bytes) {
  for (int n = 0; n < bytes; ++n) {
    out[at + n] = static_cast<char>(value >> (8 * n));
  }
}
std::uint32_t Get(const char* in, std::size_t at, int bytes) {
  std::uint32_t value = 0;
  for (int n = 0; n < bytes; ++n) {
    value |= std::uint32_t{static_cast<std::uint8_t>(in[at + n])} << (8 * n);
  }
  return value;
}
std::int64_t ResendDelay(int resends) {
  return std::min(kFirstResendMs << std::min(resends, 4), kMaxResendMs);
}

}  // namespace

std::uint32_t Packet::Sum() const {
  std::uint32_t h = 2166136261u;
  const auto add = [&](std::uint32_t v) {
    for (int n = 0; n < 4; ++n) {
      h = (h ^ ((v >> (8 * n)) & 255)) * 16777619u;
    }
  };
  add(0x5eed);
  add(static_cast<std::uint32_t>(flags & ~kBounced));
  add(seq);
  add(ack);
  add(src.ip);
  add(src.port);
  add(dst.ip);
  add(dst.port);
  for (const char c : data) {
    h = (h ^ static_cast<std::uint8_t>(c)) * 16777619u;
  }
  return h == 0 ? 1 : h;
}

std::string Packet::Encode(bool with_sum) const {
  std::string out(32, '\0');
  Put(out, 0, static_cast<std::uint32_t>(data.size()), 2);
  Put(out, 2, echo, 4);
  Put(out, 6, flags, 1);
  Put(out, 8, with_sum ? Sum() : 0, 4);
  Put(out, 12, seq, 4);
  Put(out, 16, ack, 4);
  Put(out, 20, dst.ip, 4);
  Put(out, 24, src.port, 2);
  Put(out, 26, src.ip, 4);
  Put(out, 30, dst.port, 2);
  return out + data;
}

bool Packet::Decode(const char* bytes, std::size_t n, Packet& out) {
  if (n < 32 || Get(bytes, 0, 2) != n - 32) {
    return false;
  }
  out.echo = Get(bytes, 2, 4);
  out.flags = static_cast<std::uint8_t>(bytes[6]);
  out.sum = Get(bytes, 8, 4);
  out.seq = Get(bytes, 12, 4);
  out.ack = Get(bytes, 16, 4);
  out.dst.ip = Get(bytes, 20, 4);
  out.src.port = static_cast<std::uint16_t>(Get(bytes, 24, 2));
  out.src.ip = Get(bytes, 26, 4);
  out.dst.port = static_cast<std::uint16_t>(Get(bytes, 30, 2));
  out.data.assign(bytes + 32, n - 32);
  return true;
}

World::World(Deployment& deployment, Record& record, std::uint64_t seed)
    : deployment_(deployment), record_(record), random_(seed) {
  for (int zone = 0; zone < deployment.options().zones; ++zone) {
    const Address address =
        deployment.At(20 + zone, 1, deployment.packet_port());
    client_addresses_.push_back(address);
    client_fds_.push_back(BindUdp(address));
  }
}

World::~World() { Stop(); }

Endpoint& World::AddEndpoint(const std::string& service, int zone, int number,
                             int slots) {
  auto endpoint = std::make_unique<Endpoint>();
  endpoint->name = "endpoint-" + std::to_string(number);
  endpoint->id = static_cast<std::uint32_t>(random_());
  endpoint->service = service;
  endpoint->zone = deployment_.Zone(zone);
  endpoint->address = deployment_.At(30, number, deployment_.base_port() + 8);
  endpoint->slots = slots;
  endpoints_.push_back(std::move(endpoint));
  return *endpoints_.back();
}

void World::StartEndpoint(Endpoint& endpoint) {
  {
    std::lock_guard<std::mutex> lock(mutex);
    endpoint.fd = BindUdp(endpoint.address);
    endpoint.born = UnixMs();
    endpoint.alive = true;
    endpoint.sequence = 0;
    endpoint.stop_beats = false;
  }
  endpoint.beats = std::thread([this, &endpoint] { Beat(endpoint); });
}

void World::CrashEndpoint(Endpoint& endpoint) {
  endpoint.stop_beats = true;
  {
    std::lock_guard<std::mutex> lock(mutex);
    endpoint.alive = false;
    close(endpoint.fd);
    endpoint.fd = -1;
    endpoint.flows.clear();
    endpoint.jobs.clear();
    endpoint.busy = 0;
  }
  if (endpoint.beats.joinable()) {
    endpoint.beats.join();
  }
}

void World::Start() {
  thread_ = std::thread([this] { Run(); });
  probes_ = std::thread([this] { ProbeReadiness(); });
}

void World::Stop() {
  stop_ = true;
  for (auto& it : endpoints_) it->stop_beats = true;
  if (thread_.joinable()) thread_.join();
  if (probes_.joinable()) probes_.join();
  for (auto& it : endpoints_) {
    if (it->beats.joinable()) it->beats.join();
  }
}

World::Counts World::counts() {
  std::lock_guard<std::mutex> lock(mutex);
  return counts_;
}

void World::AddLoad(const Load& load) {
  std::lock_guard<std::mutex> lock(mutex);
  loads_.push_back(load);
  loads_.back().next = load.from;
}

void World::Open(int zone, const Address& route, const RequestPlan& plan) {
  std::lock_guard<std::mutex> lock(mutex);
  OpenLocked(zone, route, plan);
}

void World::At(std::int64_t at, std::function<void()> run) {
  timers_.emplace(at, std::move(run));
}

// Twice a second; after two misses a machine is out of rotation until it
// answers with 200 again.
void World::ProbeReadiness() {
  std::vector<int> misses(64, 2);
  while (!stop_) {
    const std::int64_t next = NowMs() + 500;
    std::vector<std::thread> calls;
    const std::size_t fronts = deployment_.fronts().size();
    for (std::size_t n = 0; n < fronts; ++n) {
      calls.emplace_back([&, n] {
        Front& it = *deployment_.fronts()[n];
        const bool ok =
            Http(it.ready, "GET", "/v1/readiness", "", 400).status == 200;
        misses[n] = ok ? 0 : misses[n] + 1;
        if (ok || misses[n] >= 2) {
          it.in_rotation = ok;
        }
      });
    }
    for (auto& it : calls) it.join();
    while (!stop_ && NowMs() < next) SleepMs(10);
  }
}

void World::Beat(Endpoint& endpoint) {
  std::size_t node = random_() % deployment_.cores().size();
  std::int64_t next = NowMs();
  bool told_draining = false;
  while (!endpoint.stop_beats) {
    const bool draining = endpoint.draining;
    if (NowMs() < next && draining == told_draining) {
      SleepMs(5);
      continue;
    }
    next = NowMs() + deployment_.options().heartbeat_ms;
    told_draining = draining;
    for (std::size_t n = 0; n < deployment_.cores().size(); ++n) {
      const Address to = deployment_.cores()[node]->control;
      const std::string body =
          "{\"service\":\"" + endpoint.service + "\",\"address\":\"" +
          endpoint.address.Text() + "\",\"zone\":\"" + endpoint.zone +
          "\",\"version\":\"v1\",\"slots\":" + std::to_string(endpoint.slots) +
          ",\"state\":\"" + (draining ? "draining" : "ready") +
          "\",\"warmup_remaining_ms\":0,\"sequence\":" +
          std::to_string(++endpoint.sequence) +
          ",\"born\":" + std::to_string(endpoint.born) + "}";
      const int status =
          Http(to, "POST", "/v1/instances/" + endpoint.IdText() + "/heartbeat",
               body, 1000)
              .status;
      if (status >= 200 && status < 300) {
        ++endpoint.acked;
        if (draining && endpoint.draining_acked_at < 0) {
          endpoint.draining_acked_by = static_cast<std::int64_t>(node);
          endpoint.draining_acked_at = NowMs();
          record_.Line("%s: draining acknowledged by core-%zu",
                       endpoint.name.c_str(), node + 1);
        }
        break;
      }
      node = (node + 1) % deployment_.cores().size();
      if (endpoint.stop_beats) {
        break;
      }
    }
  }
}

int World::SelectFront(const ClientFlow& flow) {
  const std::string zone = deployment_.Zone(flow.zone);
  std::vector<int> ready;
  std::vector<int> of_zone;
  std::vector<int> any;
  for (std::size_t n = 0; n < deployment_.fronts().size(); ++n) {
    const Front& it = *deployment_.fronts()[n];
    if (it.in_rotation) {
      any.push_back(static_cast<int>(n));
    }
    if (it.zone == zone) {
      of_zone.push_back(static_cast<int>(n));
      if (it.in_rotation) {
        ready.push_back(static_cast<int>(n));
      }
    }
  }
  const std::vector<int>& nodes = ready.empty()                       ? any
                                  : ready.size() * 2 < of_zone.size() ? of_zone
                                                                      : ready;
  if (nodes.empty()) {
    return -1;
  }
  std::uint64_t h = (std::uint64_t{flow.src.ip} << 32) ^ flow.dst.ip;
  h ^= (std::uint64_t{flow.src.port} << 16) ^ flow.dst.port;
  h *= 0x9e3779b97f4a7c15ull;
  h ^= h >> 29;
  return nodes[h % nodes.size()];
}

void World::ClientSend(ClientFlow& flow, std::uint8_t flags,
                       const std::string& data, std::uint32_t seq,
                       std::uint32_t ack) {
  const int front = SelectFront(flow);
  if (front < 0) {
    return;
  }
  flow.fronts.insert(front);
  Packet packet;
  packet.echo = flow.echo;
  packet.flags = flags;
  packet.seq = seq;
  packet.ack = ack;
  packet.src = flow.src;
  packet.dst = flow.dst;
  packet.data = data;
  const std::string bytes = packet.Encode(true);
  const sockaddr_in to = ToSockaddr(
      deployment_.fronts()[static_cast<std::size_t>(front)]->packets);
  sendto(client_fds_[static_cast<std::size_t>(flow.zone)], bytes.data(),
         bytes.size(), 0, reinterpret_cast<const sockaddr*>(&to), sizeof to);
}

void World::OpenLocked(int zone, const Address& route,
                       const RequestPlan& plan) {
  auto owned = std::make_unique<ClientFlow>();
  ClientFlow& flow = *owned;
  flow.id = ++last_flow_;
  flow.zone = zone;
  flow.src = client_addresses_[static_cast<std::size_t>(zone)];
  do {
    flow.src.port = ++last_port_ < 10000 ? (last_port_ = 10000) : last_port_;
  } while (flows_.count(flow.src) > 0);
  flow.dst = route;
  flow.plan = plan;
  flow.first_seq = static_cast<std::uint32_t>(random_());
  flow.out.base = flow.first_seq + 1;
  flow.opened_at = NowMs();
  const int id = flow.id;
  by_id_[id] = &flow;
  flows_[flow.src] = std::move(owned);
  ++counts_.opened;
  record_.Line("flow %d sent from %s, %s", flow.id, flow.src.Text().c_str(),
               plan.kind.c_str());
  for (std::uint32_t copy = 0; copy < 3; ++copy) {
    At(flow.opened_at + kCopyTimes[copy], [this, id, copy] {
      const auto it = by_id_.find(id);
      if (it != by_id_.end() &&
          it->second->state == ClientFlow::State::kOpening) {
        it->second->copies = static_cast<int>(copy);
        ClientSend(*it->second, kSyn, "", it->second->first_seq, copy);
      }
    });
  }
  At(flow.opened_at + kOpeningMs, [this, id] {
    const auto it = by_id_.find(id);
    if (it != by_id_.end() &&
        it->second->state == ClientFlow::State::kOpening) {
      ++counts_.gave_up;
      Finish(*it->second, "not opened");
    }
  });
}

bool World::IsInTouch(const ClientFlow& flow) const {
  return std::all_of(flow.fronts.begin(), flow.fronts.end(), [&](int it) {
    return NowMs() - deployment_.fronts()[static_cast<std::size_t>(it)]
                         ->disturbed_at >
           kStabilityMs;
  });
}

void World::Finish(ClientFlow& flow, const std::string& outcome) {
  flow.state = ClientFlow::State::kDone;
  record_.Line("flow %d ended: %s", flow.id, outcome.c_str());
  const int id = flow.id;
  by_id_.erase(id);
  opened_at_.erase(flow.src);
  flows_.erase(flow.src);
}

void World::NextRequest(ClientFlow& flow) {
  ++flow.asked;
  flow.request_id =
      "r" + std::to_string(flow.id) + "." + std::to_string(flow.asked);
  flow.asked_at = NowMs();
  std::string text = "REQ " + flow.request_id + " " + flow.plan.kind + " " +
                     std::to_string(flow.plan.work_ms) + " " +
                     std::to_string(flow.plan.response_bytes) + " ";
  const std::size_t total = std::max<std::size_t>(
      static_cast<std::size_t>(flow.plan.request_bytes), text.size() + 12);
  text += std::to_string(total) + "\n";
  text.resize(total, '.');
  flow.out.bytes += text;
  const int id = flow.id;
  const int asked = flow.asked;
  At(flow.asked_at + flow.plan.budget_ms, [this, id, asked] {
    const auto it = by_id_.find(id);
    if (it != by_id_.end() && it->second->asked == asked &&
        it->second->answered < asked) {
      ++counts_.failed;
      ClientFlow& f = *it->second;
      ClientSend(f, kRst | kAck, "", f.out.base, f.peer_next);
      Finish(f, "not answered in time");
    }
  });
  ClientPump(flow, false);
}

// Sends what the window allows, or an acknowledgement alone.
void World::ClientPump(ClientFlow& flow, bool force_ack) {
  bool sent = false;
  Sender& out = flow.out;
  while (out.sent < out.bytes.size() && out.sent < kMaxInFlight * kMaxData) {
    const std::string piece = out.bytes.substr(out.sent, kMaxData);
    ClientSend(flow, kAck, piece,
               out.base + static_cast<std::uint32_t>(out.sent), flow.peer_next);
    if (out.sent == 0) {
      out.resend_at = NowMs() + ResendDelay(out.resends);
      const int id = flow.id;
      At(out.resend_at, [this, id] {
        const auto it = by_id_.find(id);
        if (it != by_id_.end() && it->second->out.resend_at > 0 &&
            NowMs() >= it->second->out.resend_at &&
            !it->second->out.bytes.empty()) {
          ++it->second->out.resends;
          it->second->out.sent = 0;
          ClientPump(*it->second, false);
        }
      });
    }
    out.sent += piece.size();
    sent = true;
  }
  if (!sent && force_ack) {
    ClientSend(flow, kAck, "", out.base + static_cast<std::uint32_t>(out.sent),
               flow.peer_next);
  }
  if (sent || force_ack) {
    flow.unacked = 0;
  }
}

void World::OnClientPacket(const Address& from, const Packet& packet) {
  const auto found = flows_.find(packet.dst);
  if (found == flows_.end() || !(found->second->dst == packet.src)) {
    return;
  }
  ClientFlow& flow = *found->second;
  const bool of_system = packet.sum == 0;
  if (!of_system && packet.sum != packet.Sum()) {
    findings.push_back("MIXED: a packet with a wrong sum");
    return;
  }
  if ((packet.flags & kRst) != 0) {
    if (flow.state == ClientFlow::State::kOpening) {
      ++counts_.refused;
      Finish(flow, "refused");
      return;
    }
    const std::uint32_t last_ack = flow.peer_next;
    if (of_system &&
        static_cast<std::uint32_t>(packet.seq - last_ack + 76800) > 153600) {
      return;  // Not within reach of the last acknowledgement.
    }
    const auto own = opened_at_.find(flow.src);
    const bool known = own != opened_at_.end();
    const bool is_foreign =
        of_system || !known || !(own->second->address == from);
    if (is_foreign && known) {
      ++(of_system ? counts_.system_reset : counts_.foreign_reset);
      std::string by = from.Text();
      for (auto& it : endpoints_) {
        if (it->address == from) by = it->name;
      }
      record_.Line("flow %d (%s, request %s, %s) open at %s was reset by %s",
                   flow.id, flow.src.Text().c_str(), flow.request_id.c_str(),
                   flow.answered < flow.asked ? "not answered" : "answered",
                   own->second->name.c_str(), by.c_str());
      if (planned_work || IsInTouch(flow)) {
        findings.push_back(
            "FLOW: an open flow reset by another end than its endpoint");
      } else {
        ++counts_.not_in_touch;
        record_.Line("flow %d went through a machine that is not in touch",
                     flow.id);
      }
    }
    if (flow.answered < flow.asked) {
      ++counts_.failed;
    }
    Finish(flow, "reset");
    return;
  }
  if (of_system) {
    findings.push_back("MIXED: a packet without a sum");
    return;
  }
  flow.echo = packet.echo;  // The last one received on the flow.
  if ((packet.flags & kSyn) != 0) {
    if (flow.state == ClientFlow::State::kOpening) {
      flow.state = ClientFlow::State::kOpen;
      flow.open_since = NowMs();
      flow.peer_next = packet.seq + 1;
      NextRequest(flow);
      return;
    }
    // A SYN+ACK on an open flow gets the flow's present acknowledgement.
    ClientPump(flow, true);
    return;
  }
  if (flow.state == ClientFlow::State::kOpening) {
    return;
  }
  Sender& out = flow.out;
  const std::uint32_t acked = packet.ack - out.base;
  if ((packet.flags & kAck) != 0 && acked > 0 && acked <= out.bytes.size()) {
    out.bytes.erase(0, acked);
    out.base += acked;
    out.sent = out.sent > acked ? out.sent - acked : 0;
    out.resends = 0;
    out.resend_at = 0;
    ClientPump(flow, false);
  }
  if (!packet.data.empty()) {
    if (packet.seq == flow.peer_next) {
      flow.peer_next += static_cast<std::uint32_t>(packet.data.size());
      flow.in += packet.data;
      ++flow.unacked;
    } else {
      ClientPump(flow, true);
    }
  }
  const std::size_t line = flow.in.find('\n');
  if (line != std::string::npos) {
    char id[64] = "";
    char who[64] = "";
    unsigned long total = 0;
    if (sscanf(flow.in.c_str(), "RES %63s %63s %lu", id, who, &total) == 3 &&
        flow.in.size() >= total) {
      flow.in.erase(0, total);
      if (flow.request_id != id) {
        ++counts_.foreign_answer;
        findings.push_back("MIXED: the answer of another request");
      }
      ++flow.answered;
      ++counts_.answered;
      record_.Line("%s answered by %s", id, who);
      ClientPump(flow, true);
      if (flow.asked < flow.plan.requests) {
        const int flow_id = flow.id;
        At(NowMs() + flow.plan.pause_ms, [this, flow_id] {
          const auto it = by_id_.find(flow_id);
          if (it != by_id_.end()) NextRequest(*it->second);
        });
      } else {
        ClientSend(flow, kFin | kAck, "", flow.out.base, flow.peer_next);
        Finish(flow, "answered");
      }
      return;
    }
  }
  if (flow.unacked >= 2) {
    ClientPump(flow, true);
  }
  if ((packet.flags & kFin) != 0) {
    ClientSend(flow, kFin | kAck, "", flow.out.base, flow.peer_next + 1);
    if (flow.answered < flow.asked) ++counts_.failed;
    Finish(flow, "closed by the endpoint");
  }
}

void World::EndpointSend(Endpoint& endpoint, EndpointFlow& flow,
                         std::uint8_t flags, const std::string& data,
                         std::uint32_t seq) {
  Packet packet;
  packet.echo = flow.echo;
  packet.flags = flags;
  packet.seq = seq;
  packet.ack = flow.peer_next;
  packet.src = flow.route;
  packet.dst = flow.client;
  packet.data = data;
  const std::string bytes = packet.Encode(true);
  Address to = flow.client;
  to.port = static_cast<std::uint16_t>(deployment_.packet_port());
  const sockaddr_in s = ToSockaddr(to);
  sendto(endpoint.fd, bytes.data(), bytes.size(), 0,
         reinterpret_cast<const sockaddr*>(&s), sizeof s);
}

// An endpoint that does not hold a packet's flow resets it.
void World::EndpointReset(Endpoint& endpoint, const Packet& packet) {
  EndpointFlow flow;
  flow.client = packet.src;
  flow.route = packet.dst;
  flow.echo = packet.echo;
  flow.peer_next = packet.seq + static_cast<std::uint32_t>(packet.data.size());
  EndpointSend(endpoint, flow, kRst | kAck, "", packet.ack);
}

void World::OnEndpointPacket(Endpoint& endpoint, const Packet& packet) {
  if (packet.sum != packet.Sum()) {
    findings.push_back("UNASKED: a packet that its sender didn't write so");
    return;
  }
  const auto key = std::pair(packet.src, packet.dst);
  auto it = endpoint.flows.find(key);
  if ((packet.flags & kSyn) != 0) {
    const auto client = flows_.find(packet.src);
    if (on_syn) {
      on_syn(endpoint, packet,
             client == flows_.end() ? nullptr : client->second.get());
    }
    if (it != endpoint.flows.end() && !it->second.open &&
        it->second.peer_next == packet.seq + 1) {
      it->second.echo = packet.echo;
      EndpointSend(endpoint, it->second, kSyn | kAck, "", it->second.seq);
      return;
    }
    if (it != endpoint.flows.end() && it->second.open &&
        it->second.peer_next - packet.seq < 1u << 20) {
      return;  // A late copy.
    }
    if (endpoint.flows.size() >= 2000) {
      return;
    }
    auto& at = syn_at_[{packet.src, packet.seq}];
    at.insert(&endpoint);
    if (at.size() == 2) {
      ++counts_.two_endpoints;
      const auto own = opened_at_.find(packet.src);
      record_.Line("the opening packet of %s (copy %u) came to %s too%s%s",
                   packet.src.Text().c_str(), packet.ack, endpoint.name.c_str(),
                   own == opened_at_.end() ? "" : ", while it is open at ",
                   own == opened_at_.end() ? "" : own->second->name.c_str());
    }
    EndpointFlow flow;
    flow.client = packet.src;
    flow.route = packet.dst;
    flow.seq = static_cast<std::uint32_t>(random_());
    flow.peer_next = packet.seq + 1;
    flow.echo = packet.echo;
    flow.out.base = flow.seq + 1;
    flow.syn_at = NowMs();
    EndpointFlow& stored = endpoint.flows[key] = std::move(flow);
    EndpointSend(endpoint, stored, kSyn | kAck, "", stored.seq);
    return;
  }
  if (it == endpoint.flows.end()) {
    if ((packet.flags & kRst) != 0) {
      return;
    }
    if (endpoint.ended.count(key) > 0 && (packet.flags & kFin) != 0) {
      return;
    }
    EndpointReset(endpoint, packet);
    return;
  }
  EndpointFlow& flow = it->second;
  if (!flow.open) {
    if ((packet.flags & kRst) != 0) {
      return;
    }
    if (packet.ack != flow.seq + 1) {
      // The caller acknowledges another endpoint's SYN+ACK: this endpoint does
      // not hold the flow.
      EndpointReset(endpoint, packet);
      endpoint.flows.erase(it);
      return;
    }
    flow.open = true;
    opened_at_[packet.src] = &endpoint;
  }
  if ((packet.flags & kRst) != 0) {
    endpoint.flows.erase(it);
    return;
  }
  flow.echo = packet.echo;
  Sender& out = flow.out;
  const std::uint32_t acked = packet.ack - out.base;
  if (acked > 0 && acked <= out.bytes.size()) {
    out.bytes.erase(0, acked);
    out.base += acked;
    out.sent = out.sent > acked ? out.sent - acked : 0;
    out.resends = 0;
    out.resend_at = 0;
    EndpointPump(endpoint, flow, false);
  }
  if (!packet.data.empty()) {
    if (packet.seq == flow.peer_next) {
      flow.peer_next += static_cast<std::uint32_t>(packet.data.size());
      flow.in += packet.data;
      ++flow.unacked;
    } else {
      EndpointPump(endpoint, flow, true);
    }
  }
  std::size_t line = flow.in.find('\n');
  if (line != std::string::npos) {
    char id[64] = "";
    char kind[32] = "";
    double work = 0;
    int response = 0;
    unsigned long total = 0;
    if (sscanf(flow.in.c_str(), "REQ %63s %31s %lf %d %lu", id, kind, &work,
               &response, &total) == 5 &&
        flow.in.size() >= total) {
      flow.in.erase(0, total);
      EndpointPump(endpoint, flow, true);
      endpoint.jobs.push_back({key, id, work, response});
      StartJobs(endpoint);
    }
  }
  if (flow.unacked >= 2) {
    EndpointPump(endpoint, flow, true);
  }
  if ((packet.flags & kFin) != 0) {
    ++flow.peer_next;
    EndpointSend(endpoint, flow, kFin | kAck, "", flow.out.base);
    endpoint.ended.insert(key);
    endpoint.flows.erase(key);
  }
}

void World::StartJobs(Endpoint& endpoint) {
  while (endpoint.busy < endpoint.slots && !endpoint.jobs.empty()) {
    const Job job = endpoint.jobs.front();
    endpoint.jobs.pop_front();
    ++endpoint.busy;
    ++endpoint.runs;
    ++counts_.run;
    if (++runs_[job.request] == 2) {
      ++counts_.run_twice;
      record_.Line("%s run again, at %s", job.request.c_str(),
                   endpoint.name.c_str());
    }
    record_.Line("%s run at %s", job.request.c_str(), endpoint.name.c_str());
    std::uniform_real_distribution<double> spread(0.6, 1.4);
    const auto ms = static_cast<std::int64_t>(job.work_ms * spread(random_) *
                                              endpoint.slowness);
    Endpoint* const at = &endpoint;
    const std::int64_t born = endpoint.born;
    At(NowMs() + ms, [this, at, job, born] {
      if (at->alive && at->born == born) FinishJob(*at, job);
    });
  }
}

void World::FinishJob(Endpoint& endpoint, const Job& job) {
  --endpoint.busy;
  const auto it = endpoint.flows.find(job.flow);
  if (it != endpoint.flows.end()) {
    std::string text = "RES " + job.request + " " + endpoint.name + " ";
    const std::size_t total = std::max<std::size_t>(
        static_cast<std::size_t>(job.response_bytes), text.size() + 12);
    text += std::to_string(total) + "\n";
    text.resize(total, '.');
    it->second.out.bytes += text;
    EndpointPump(endpoint, it->second, false);
  }
  StartJobs(endpoint);
}

void World::EndpointPump(Endpoint& endpoint, EndpointFlow& flow,
                         bool force_ack) {
  bool sent = false;
  Sender& out = flow.out;
  while (out.sent < out.bytes.size() && out.sent < kMaxInFlight * kMaxData) {
    const std::string piece = out.bytes.substr(out.sent, kMaxData);
    EndpointSend(endpoint, flow, kAck, piece,
                 out.base + static_cast<std::uint32_t>(out.sent));
    if (out.sent == 0) {
      out.resend_at = NowMs() + ResendDelay(out.resends);
      Endpoint* const at = &endpoint;
      const auto key = std::pair(flow.client, flow.route);
      At(out.resend_at, [this, at, key] {
        const auto it = at->flows.find(key);
        if (!at->alive || it == at->flows.end() ||
            it->second.out.resend_at == 0 ||
            NowMs() < it->second.out.resend_at ||
            it->second.out.bytes.empty()) {
          return;
        }
        if (++it->second.out.resends > kMaxResends) {
          at->flows.erase(it);
          return;
        }
        it->second.out.sent = 0;
        EndpointPump(*at, it->second, false);
      });
    }
    out.sent += piece.size();
    sent = true;
  }
  if (!sent && force_ack) {
    EndpointSend(endpoint, flow, kAck, "",
                 out.base + static_cast<std::uint32_t>(out.sent));
  }
  if (sent || force_ack) {
    flow.unacked = 0;
  }
}

void World::Run() {
  std::vector<char> buf(65536);
  while (!stop_) {
    std::vector<pollfd> fds;
    std::vector<Endpoint*> at;
    int wait = 5;
    {
      std::lock_guard<std::mutex> lock(mutex);
      for (const int it : client_fds_) fds.push_back({it, POLLIN, 0});
      for (auto& it : endpoints_) {
        if (it->fd >= 0) {
          fds.push_back({it->fd, POLLIN, 0});
          at.push_back(it.get());
        }
      }
      if (!timers_.empty()) {
        wait = static_cast<int>(
            std::clamp<std::int64_t>(timers_.begin()->first - NowMs(), 0, 5));
      }
      for (const Load& it : loads_) {
        if (NowMs() < it.until) wait = std::min(wait, 1);
      }
    }
    poll(fds.data(), fds.size(), wait);
    std::lock_guard<std::mutex> lock(mutex);
    for (std::size_t n = 0; n < fds.size(); ++n) {
      if ((fds[n].revents & POLLIN) == 0) continue;
      for (int i = 0; i < 64; ++i) {
        sockaddr_in from{};
        socklen_t size = sizeof from;
        const ssize_t got = recvfrom(fds[n].fd, buf.data(), buf.size(), 0,
                                     reinterpret_cast<sockaddr*>(&from), &size);
        if (got < 0) break;
        const Address sender{ntohl(from.sin_addr.s_addr), ntohs(from.sin_port)};
        Packet packet;
        if (n < client_fds_.size()) {
          if (Packet::Decode(buf.data(), static_cast<std::size_t>(got),
                             packet)) {
            OnClientPacket(sender, packet);
          }
          continue;
        }
        Endpoint& endpoint = *at[n - client_fds_.size()];
        if (got < 8 || !endpoint.alive) continue;
        std::uint64_t id = 0;
        for (int b = 0; b < 8; ++b) {
          id = id << 8 |
               static_cast<std::uint8_t>(buf[static_cast<std::size_t>(b)]);
        }
        if ((id == 0 || id == endpoint.id) &&
            Packet::Decode(buf.data() + 8, static_cast<std::size_t>(got) - 8,
                           packet)) {
          OnEndpointPacket(endpoint, packet);
        }
      }
    }
    const std::int64_t now = NowMs();
    while (!timers_.empty() && timers_.begin()->first <= now) {
      const auto run = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      run();
    }
    for (Load& it : loads_) {
      while (it.next <= now && it.next < it.until) {
        OpenLocked(it.zone, it.route, it.plan);
        std::exponential_distribution<double> gap(it.per_s / 1000);
        it.next += std::max<std::int64_t>(
            1, static_cast<std::int64_t>(gap(random_) + 0.5));
      }
    }
  }
}

}  // namespace review
