// The packets of flows, as PROTOCOL.md states them.
#ifndef VANILLALATCH_REVIEW_FLOWS3_H_
#define VANILLALATCH_REVIEW_FLOWS3_H_

#include <functional>

#include "standin3.h"

namespace review3 {

// The layout of PROTOCOL.md.
inline constexpr std::size_t kHead = 32;
enum Flag { kRst = 1, kFin = 16, kSyn = 32, kAck = 64 };

struct Packet {
  std::uint16_t len = 0, sport = 0, dport = 0;
  std::uint32_t echo = 0, seq = 0, ack = 0, dst = 0, src = 0;
  std::uint8_t flags = 0;
};

template <typename T>
T Get(const std::uint8_t* at) {
  T value;
  std::memcpy(&value, at, sizeof value);  // Little-endian, as the machine.
  return value;
}
template <typename T>
void Put(std::uint8_t* at, T value) {
  std::memcpy(at, &value, sizeof value);
}

inline Packet Parse(const std::uint8_t* p) {
  Packet it;
  it.len = Get<std::uint16_t>(p);
  it.echo = Get<std::uint32_t>(p + 2);
  it.flags = p[6];
  it.seq = Get<std::uint32_t>(p + 12);
  it.ack = Get<std::uint32_t>(p + 16);
  it.dst = Get<std::uint32_t>(p + 20);
  it.sport = Get<std::uint16_t>(p + 24);
  it.src = Get<std::uint32_t>(p + 26);
  it.dport = Get<std::uint16_t>(p + 30);
  return it;
}

inline std::vector<std::uint8_t> Bytes(const Packet& it,
                                       std::size_t prefix = 0) {
  std::vector<std::uint8_t> out(prefix + kHead + it.len);
  std::uint8_t* p = out.data() + prefix;
  Put(p, it.len);
  Put(p + 2, it.echo);
  p[6] = it.flags;
  Put(p + 8, std::uint32_t{0x5eed5eed});  // The sum; its key is not disclosed.
  Put(p + 12, it.seq);
  Put(p + 16, it.ack);
  Put(p + 20, it.dst);
  Put(p + 24, it.sport);
  Put(p + 26, it.src);
  Put(p + 30, it.dport);
  return out;
}

inline int Udp(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
  int size = 4 << 20;
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
    Finish(kCouldNotRun, "an address is in use");
  }
  return fd;
}

inline void SendTo(int fd, const std::string& ip, int port,
                   const std::vector<std::uint8_t>& bytes) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
  sendto(fd, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&at),
         sizeof at);
}

inline std::string IpText(std::uint32_t ip) {
  in_addr at{htonl(ip)};
  return inet_ntoa(at);
}

inline std::uint32_t IpNumber(const std::string& text) {
  in_addr at{};
  inet_pton(AF_INET, text.c_str(), &at);
  return ntohl(at.s_addr);
}

// A deployment under load: every route leads to a service whose endpoints are
// all busy, so that new flows wait for a slot. Clients keep a flow open for two
// requests. Resets of open flows that their endpoint did not send are counted.
struct FlowCase {
  int fronts = 0;  // Entry machines from the start.
  int spares = 0;  // Further ones that the planned work may start.
  int routes = 0;
  bool has_idle_services = false;  // One for each route.
  std::int64_t load_ms = 0;        // How long new flows are opened.
  std::int64_t quiet_ms = 0;  // Instead of the planned work, with TROUBLE=0.
};

struct FlowWorld {
  Site site{{"z1", "z2", "z3"}, 770};
  std::vector<Machine> controls, fronts;  // The spares are the last.
  std::vector<Machine*> operators;
  std::vector<Route> busy_routes, idle_routes;
  std::vector<std::string> services;
  std::string Manifest(std::uint64_t version,
                       const std::vector<Route>& routes) const {
    return ManifestText(version, routes, services, 5000, 2500);
  }
};

// Runs the case; `planned` is the planned work, and runs while flows wait,
// unless TROUBLE=0. Exits with the result.
[[noreturn]] void RunFlowCase(const FlowCase& options,
                              const std::function<void(FlowWorld&)>& planned);

}  // namespace review3

#endif  // VANILLALATCH_REVIEW_FLOWS3_H_
