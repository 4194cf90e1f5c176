// Stand-ins for the cases about flows: endpoints, clients and routers.
#include "flows3.h"

#include <algorithm>

namespace review3 {
namespace {

constexpr std::int64_t kBusyWorkMs = 60;
constexpr std::int64_t kIdleWorkMs = 50;
// A client keeps a flow open for some requests, with pauses between them.
constexpr int kRequests = 2;
constexpr std::int64_t kPauseMs = 1100;
constexpr std::uint32_t kRequestBytes = 30;
constexpr std::uint32_t kResponseBytes = 1000;
constexpr std::int64_t kOpeningLimitMs = 1400;
constexpr std::int64_t kFlowEveryMs = 58;  // On each route.

// A flow as an endpoint holds it.
struct Held {
  std::uint32_t seq = 0;  // Its own first sequence number.
  std::uint32_t caller_seq = 0;
  std::uint32_t echo = 0;
  std::uint32_t dst = 0;
  std::uint16_t dport = 0;
  std::uint32_t src = 0;
  bool open = false, working = false;
  std::uint32_t requests = 0, responses = 0;
  std::int64_t done_ms = 0;
};

struct Endpoint {
  std::string id, ip, zone, service;
  int slots = 2;
  std::int64_t work_ms = kBusyWorkMs;
  int fd = -1;
  std::map<std::uint16_t, Held> held;
  std::vector<std::uint16_t> queue;
  int working = 0;
};

// A flow as the client knows it.
struct Flow {
  int route = 0;
  std::int64_t sent_ms = 0, next_copy_ms = 0, next_request_ms = 0;
  std::uint32_t copies = 0, seq = 0, echo = 0;
  bool open = false, ended = false, answered = false;
  std::uint32_t endpoint_seq = 0;  // Of the SYN+ACK that it acknowledged.
  std::uint32_t requests = 0, responses = 0;
  std::int64_t next_send_ms = 0;
  int request_tries = 0;
  // What the endpoints saw.
  std::vector<int> opened_at;  // Endpoints that took its opening packet.
  int holder = -1;             // The endpoint at which it is open.
  std::int64_t open_ms = -1;
};

std::mutex mutex;  // Guards flows and the endpoints.
std::map<std::uint16_t, Flow> flows;
std::vector<Endpoint> endpoints;
int broken = 0, ordinary_resets = 0;
std::mutex rotation_mutex;
std::vector<int> rotation;  // Entry machines that the routers use.

// The router's hash.
int FrontOf(std::uint16_t port) {
  const std::lock_guard<std::mutex> lock(rotation_mutex);
  return rotation[(port * 7919U) % rotation.size()];
}

}  // namespace

void RunFlowCase(const FlowCase& options,
                 const std::function<void(FlowWorld&)>& planned) {
  const bool trouble = Trouble();
  const int kRoutes = options.routes;
  const int all_fronts = options.fronts + options.spares;
  FlowWorld world;
  Site& site = world.site;
  std::vector<Machine>& controls = world.controls;
  std::vector<Machine>& fronts = world.fronts;
  controls.resize(3);
  fronts.resize(static_cast<std::size_t>(all_fronts));
  const std::vector<std::string> seeds = {site.Address(1), site.Address(2),
                                          site.Address(3)};
  for (int n = 0; n < 3 + all_fronts; ++n) {
    Machine& it = n < 3 ? controls[n] : fronts[n - 3];
    it.is_control = n < 3;
    it.name =
        (n < 3 ? "core-" : "front-") + std::to_string(n < 3 ? n + 1 : n - 2);
    it.zone = site.zones[n % 3];
    it.ip = site.Address(n + 1);
    it.seeds = seeds;
  }
  std::vector<Machine*>& operators = world.operators;
  operators = {&controls[0], &controls[1], &controls[2]};
  for (Machine* it : operators) {
    site.Start(*it, true);
  }
  for (int n = 0; n < options.fronts; ++n) {
    site.Start(fronts[n], false);
    rotation.push_back(n);
  }
  std::vector<std::string>& services = world.services;
  for (int n = 0; n < kRoutes; ++n) {
    for (const bool idle : {false, true}) {
      if (idle && !options.has_idle_services) {
        continue;
      }
      const std::string service =
          (idle ? "idle-" : "busy-") + std::to_string(n + 1);
      services.push_back(service);
      (idle ? world.idle_routes : world.busy_routes)
          .push_back(
              {"r-" + std::to_string(n + 1), "198.18.0.1", service, 8000 + n});
      for (int k = 0; k < (idle ? 1 : 2); ++k) {
        Endpoint it;
        char id[32];
        std::snprintf(
            id, sizeof id, "i-%08x",
            static_cast<unsigned>(0x51a30000 + endpoints.size() * 77));
        it.id = id;
        it.ip = site.Address(20 + static_cast<int>(endpoints.size()));
        it.service = service;
        it.zone = site.zones[endpoints.size() % 3];
        it.slots = idle ? 20 : 1;
        it.work_ms = idle ? kIdleWorkMs : kBusyWorkMs;
        it.fd = Udp(it.ip, site.ports.endpoint);
        endpoints.push_back(it);
      }
    }
  }
  if (!Replace(site, operators, world.Manifest(7, world.busy_routes), 10000)) {
    Finish(kCouldNotRun, "the first manifest was not acknowledged");
  }

  std::atomic<bool> stop = false;
  std::vector<std::thread> threads;
  const std::int64_t born = UnixMs();
  for (std::size_t n = 0; n < endpoints.size(); ++n) {
    threads.emplace_back([&, n] {
      const Endpoint& it = endpoints[n];
      std::size_t to = n;
      for (std::uint64_t sequence = 1; !stop; ++sequence) {
        const std::string body =
            "{\"service\":\"" + it.service + "\",\"address\":\"" + it.ip + ":" +
            std::to_string(site.ports.endpoint) + "\",\"zone\":\"" + it.zone +
            "\",\"version\":\"v1\",\"slots\":" + std::to_string(it.slots) +
            ",\"state\":\"ready\",\"warmup_remaining_ms\":0,\"sequence\":" +
            std::to_string(sequence) + ",\"born\":" + std::to_string(born) +
            "}";
        for (int tries = 0; tries < 3; ++tries) {
          if (Http(controls[to % 3].ip, site.ports.control, "POST",
                   "/v1/instances/" + it.id + "/heartbeat", body, 1000)
                  .status == 200) {
            break;
          }
          ++to;
        }
        SleepMs(site.heartbeat_ms);
      }
    });
  }

  // The endpoints.
  const auto to_caller = [&](const Endpoint& it, std::uint16_t port,
                             const Held& held, std::uint8_t flags,
                             std::uint32_t seq, std::uint16_t len) {
    Packet out;
    out.echo = held.echo;
    out.flags = flags;
    out.src = held.dst;
    out.sport = held.dport;
    out.dst = held.src;
    out.dport = port;
    out.seq = seq;
    out.ack = held.caller_seq + 1 + held.requests * kRequestBytes;
    out.len = len;
    SendTo(it.fd, IpText(held.src), site.ports.datagram, Bytes(out));
  };
  const auto take = [&](std::size_t n, const Packet& in) {
    Endpoint& it = endpoints[n];
    Flow& flow = flows[in.sport];
    if ((in.flags & kSyn) != 0) {
      const auto [entry, added] = it.held.try_emplace(in.sport);
      Held& held = entry->second;
      if (added) {
        held.seq = 0x10000000U + static_cast<std::uint32_t>(n) * 0x1000000U +
                   in.sport * 16U;
        flow.opened_at.push_back(static_cast<int>(n));
        Record(
            "%s (%s) takes the opening packet of flow %u, %lld ms after it "
            "was first sent",
            it.id.c_str(), it.service.c_str(), in.sport,
            static_cast<long long>(NowMs() - flow.sent_ms));
      }
      held.caller_seq = in.seq;
      held.echo = in.echo;
      held.dst = in.dst;
      held.dport = in.dport;
      held.src = in.src;
      to_caller(it, in.sport, held, kSyn | kAck, held.seq, 0);
      return;
    }
    const auto entry = it.held.find(in.sport);
    const bool holds =
        entry != it.held.end() && in.ack - (entry->second.seq + 1) <=
                                      entry->second.responses * kResponseBytes;
    if (!holds) {
      // A flow that it does not hold: an RST to the client.
      if ((in.flags & kRst) != 0 || (in.flags & kFin) != 0) {
        return;
      }
      Held other;
      other.echo = in.echo;
      other.dst = in.dst;
      other.dport = in.dport;
      other.src = in.src;
      to_caller(it, in.sport, other, kRst, in.ack, 0);
      const bool open_elsewhere =
          flow.holder >= 0 && flow.holder != static_cast<int>(n);
      Record(
          "%s (%s) gets a packet of flow %u, which it does not hold, and "
          "sends a reset; the flow %s",
          it.id.c_str(), it.service.c_str(), in.sport,
          open_elsewhere ? ("is open at " + endpoints[flow.holder].id + " (" +
                            endpoints[flow.holder].service + ")")
                               .c_str()
                         : "is open at no other endpoint");
      return;
    }
    Held& held = entry->second;
    held.echo = in.echo;
    if (!held.open) {
      held.open = true;
      flow.holder = static_cast<int>(n);
      flow.open_ms = NowMs();
    }
    if (in.len > 0) {
      if (in.seq == held.caller_seq + 1 + held.requests * kRequestBytes) {
        ++held.requests;
        it.queue.push_back(in.sport);
      }
      to_caller(it, in.sport, held, kAck,
                held.seq + 1 + held.responses * kResponseBytes, 0);
    }
    if ((in.flags & kFin) != 0) {
      to_caller(it, in.sport, held, kAck,
                held.seq + 1 + held.responses * kResponseBytes, 0);
      it.held.erase(entry);
    }
  };
  const auto work = [&](Endpoint& it) {
    const std::int64_t now = NowMs();
    for (auto& [port, held] : it.held) {
      if (held.working && now >= held.done_ms) {
        held.working = false;
        --it.working;
        to_caller(it, port, held, kAck,
                  held.seq + 1 + held.responses * kResponseBytes,
                  static_cast<std::uint16_t>(kResponseBytes));
        ++held.responses;
      }
    }
    while (!it.queue.empty() && it.working < it.slots) {
      const auto held = it.held.find(it.queue.front());
      it.queue.erase(it.queue.begin());
      if (held != it.held.end()) {
        held->second.working = true;
        held->second.done_ms = now + it.work_ms;
        ++it.working;
      }
    }
  };
  threads.emplace_back([&] {
    std::vector<pollfd> polls;
    for (const Endpoint& it : endpoints) {
      polls.push_back({it.fd, POLLIN, 0});
    }
    std::uint8_t buf[2048];
    while (!stop) {
      poll(polls.data(), polls.size(), 5);
      const std::lock_guard<std::mutex> lock(mutex);
      for (std::size_t n = 0; n < endpoints.size(); ++n) {
        ssize_t size;
        while ((size = recv(endpoints[n].fd, buf, sizeof buf, 0)) > 0) {
          if (size < static_cast<ssize_t>(8 + kHead)) {
            continue;
          }
          const std::uint64_t meant =
              (std::uint64_t{ntohl(Get<std::uint32_t>(buf))} << 32) |
              ntohl(Get<std::uint32_t>(buf + 4));
          if (meant == 0 ||
              meant == std::strtoull(&endpoints[n].id[2], nullptr, 16)) {
            take(n, Parse(buf + 8));
          }
        }
        work(endpoints[n]);
      }
    }
  });

  // The client. Its packets carry the last echo that it received on the flow.
  const std::string client_ip = site.Address(58);
  const int client = Udp(client_ip, site.ports.datagram);
  const auto send_out = [&](std::uint16_t port, const Flow& flow,
                            std::uint8_t flags, std::uint32_t seq,
                            std::uint32_t ack, std::uint16_t len) {
    Packet out;
    out.echo = flow.echo;
    out.flags = flags;
    out.src = IpNumber(client_ip);
    out.sport = port;
    out.dst = IpNumber("198.18.0.1");
    out.dport = static_cast<std::uint16_t>(8000 + flow.route);
    out.seq = seq;
    out.ack = ack;
    out.len = len;
    SendTo(client, fronts[FrontOf(port)].ip, site.ports.datagram, Bytes(out));
  };
  // Sends the next request, or the last one again.
  const auto send_request = [&](std::uint16_t port, Flow& flow,
                                bool again = false) {
    flow.requests += again ? 0 : 1;
    flow.request_tries = again ? flow.request_tries + 1 : 0;
    flow.next_request_ms = NowMs() + (200 << std::min(flow.request_tries, 3));
    flow.next_send_ms = 0;
    send_out(port, flow, kAck,
             flow.seq + 1 + (flow.requests - 1) * kRequestBytes,
             flow.endpoint_seq + 1 + flow.responses * kResponseBytes,
             static_cast<std::uint16_t>(kRequestBytes));
  };
  const auto receive = [&](const Packet& in) {
    const auto found = flows.find(in.dport);
    if (found == flows.end() || found->second.ended) {
      return;
    }
    Flow& flow = found->second;
    const std::int64_t now = NowMs();
    if ((in.flags & kRst) != 0) {
      const bool from_system = in.echo == 0;
      const bool near = in.seq - (flow.endpoint_seq + 1) + 76800U <= 153600U;
      if (flow.open && !near) {
        return;
      }
      flow.ended = true;
      if (flow.holder >= 0 && flow.open) {
        ++broken;
        Record(
            "BROKEN: flow %u, sent at %.3f to %s on r-%d, is open at %s (%s) "
            "for %lld ms and gets a reset from %s",
            in.dport, static_cast<double>(flow.sent_ms) / 1000,
            fronts[FrontOf(in.dport)].name.c_str(), flow.route + 1,
            endpoints[flow.holder].id.c_str(),
            endpoints[flow.holder].service.c_str(),
            static_cast<long long>(now - flow.open_ms),
            from_system ? "the system" : "another endpoint");
      } else {
        ++ordinary_resets;
      }
      return;
    }
    flow.echo = in.echo;
    if ((in.flags & kSyn) != 0) {
      if (!flow.open) {
        flow.open = true;
        flow.endpoint_seq = in.seq;
        send_request(in.dport, flow);
      }
      return;
    }
    if (!flow.open || in.seq - flow.endpoint_seq > 0x100000U) {
      return;
    }
    flow.next_request_ms = 0;  // The endpoint has acknowledged the request.
    if (in.len > 0 &&
        in.seq == flow.endpoint_seq + 1 + flow.responses * kResponseBytes) {
      ++flow.responses;
      const bool last = flow.responses == kRequests;
      send_out(in.dport, flow,
               static_cast<std::uint8_t>(last ? kAck | kFin : kAck),
               flow.seq + 1 + flow.requests * kRequestBytes,
               flow.endpoint_seq + 1 + flow.responses * kResponseBytes, 0);
      flow.answered = flow.ended = last;
      flow.next_send_ms = last ? 0 : now + kPauseMs;
    }
  };
  const auto repeat = [&](std::uint16_t port, Flow& flow) {
    const std::int64_t now = NowMs();
    if (flow.ended) {
      return;
    }
    if (!flow.open) {
      if (now >= flow.sent_ms + kOpeningLimitMs) {
        flow.ended = true;
      } else if (flow.copies < 2 && now >= flow.next_copy_ms) {
        ++flow.copies;
        flow.next_copy_ms = flow.sent_ms + 600;
        send_out(port, flow, kSyn, flow.seq, flow.copies, 0);
      }
      return;
    }
    if (flow.next_send_ms != 0 && now >= flow.next_send_ms) {
      send_request(port, flow);
    } else if (flow.next_request_ms != 0 && now >= flow.next_request_ms) {
      send_request(port, flow, true);
    }
    if (now > flow.sent_ms + 8000) {
      flow.ended = true;  // Its time budget.
    }
  };

  const std::int64_t ready_limit = NowMs() + 20000;
  for (int n = 0; n < options.fronts; ++n) {
    while (
        Http(fronts[n].ip, site.ports.ready, "GET", "/v1/readiness", "", 1000)
            .status != 200) {
      if (NowMs() > ready_limit) {
        Finish(kCouldNotRun, "an entry machine is not ready");
      }
      SleepMs(100);
    }
  }
  Record("all entry machines are ready");
  // Routers ask each entry machine twice a second, and leave out one that has
  // missed twice until it answers again.
  threads.emplace_back([&] {
    std::vector<int> misses(fronts.size(), 0);
    while (!stop) {
      std::vector<int> ready;
      for (int n = 0; n < all_fronts; ++n) {
        const bool ok = Http(fronts[n].ip, site.ports.ready, "GET",
                             "/v1/readiness", "", 300)
                            .status == 200;
        misses[n] = ok ? 0 : misses[n] + 1;
        const bool was_in = std::count(rotation.begin(), rotation.end(), n) > 0;
        if (ok || (was_in && misses[n] < 2)) {
          ready.push_back(n);
        }
      }
      if (!ready.empty() && ready != rotation) {
        Record("%zu entry machines are in rotation", ready.size());
        const std::lock_guard<std::mutex> lock(rotation_mutex);
        rotation = ready;
      }
      SleepMs(500);
    }
  });
  SleepMs(6000);  // All are in touch: stability_window_ms is 4,000.

  threads.emplace_back([&] {
    std::uint8_t buf[2048];
    pollfd state{client, POLLIN, 0};
    std::uint16_t port = 2000;
    std::int64_t next_ms = NowMs();
    const std::int64_t last_ms = next_ms + options.load_ms;
    while (!stop) {
      poll(&state, 1, 2);
      const std::lock_guard<std::mutex> lock(mutex);
      ssize_t size;
      while ((size = recv(client, buf, sizeof buf, 0)) > 0) {
        if (size >= static_cast<ssize_t>(kHead)) {
          receive(Parse(buf));
        }
      }
      for (auto& [it, flow] : flows) {
        repeat(it, flow);
      }
      if (NowMs() >= next_ms && next_ms < last_ms) {
        next_ms += kFlowEveryMs;
        for (int route = 0; route < kRoutes; ++route) {
          Flow& flow = flows[port];
          flow.route = route;
          flow.sent_ms = NowMs();
          flow.next_copy_ms = flow.sent_ms + 200;
          flow.seq = 77000U + port * 16U;
          send_out(port, flow, kSyn, flow.seq, 0, 0);
          ++port;
        }
      }
    }
  });
  // New flows wait for a slot on most routes.
  const std::int64_t wait_limit = NowMs() + 9000;
  for (;;) {
    SleepMs(20);
    const std::lock_guard<std::mutex> lock(mutex);
    int slow_routes = 0;
    for (int route = 0; route < kRoutes; ++route) {
      int waiting = 0;
      for (const auto& [port, it] : flows) {
        waiting += it.route == route && !it.open && !it.ended &&
                   it.sent_ms < NowMs() - 300;
      }
      slow_routes += waiting >= 2 ? 1 : 0;
    }
    if (slow_routes * 2 > kRoutes) {
      Record("on %d routes, flows wait for a slot for more than 0.3 s",
             slow_routes);
      break;
    }
    if (NowMs() > wait_limit) {
      Finish(kCouldNotRun, "no flows wait");
    }
  }
  if (trouble) {
    planned(world);
  } else {
    SleepMs(options.quiet_ms);
  }
  SleepMs(7000);
  stop = true;
  for (std::thread& it : threads) {
    it.join();
  }
  int answered = 0, twice = 0;
  for (const auto& [port, it] : flows) {
    answered += it.answered ? 1 : 0;
    twice += it.opened_at.size() > 1 ? 1 : 0;
  }
  Record(
      "%zu flows, %d answered, %d taken by two endpoints, %d resets of flows "
      "that were not open, %d open flows reset by others than their endpoint",
      flows.size(), answered, twice, ordinary_resets, broken);
  if (answered < 100) {
    Finish(kCouldNotRun, "too few flows were answered");
  }
  Finish(broken > 0 ? kBroken : kHeld,
         std::to_string(broken) +
             " open flows got a reset that their endpoint did not send");
}

}  // namespace review3
