// Counts what a dispatcher receives and sends for each flow, including the IP
// and UDP headers. Guards against reports that grow until the link of the
// dispatcher's VM can't carry a service: at 2 Mbit/s, 150 bytes per request
// were too many.
#include <catch2/catch.hpp>
#include <iomanip>
#include <map>
#include <sstream>
#include <string>

#include "peer.pb.h"
#include "src/packetflow/flow_world.h"

namespace vanillalatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kHeaderBytes = 28;  // IPv4 and UDP.
// An opening packet without a payload.
constexpr std::size_t kOpeningBytes = 32;
constexpr std::size_t kVms = 10;
constexpr std::uint64_t kLinkBytesPerSecond = 250'000;

struct Traffic {
  double datagrams = 0;
  double bytes = 0;
  std::map<std::string, double> bytes_by_kind;
};

// Adds one datagram. The kind `datagram` stands for the headers and for the
// fields that belong to no item.
void Count(ByteSpan bytes, Traffic& traffic) {
  pb::PeerDatagram datagram;
  REQUIRE(
      datagram.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())));
  if (!datagram.has_flow()) {
    return;
  }
  const auto whole = static_cast<double>(bytes.size() + kHeaderBytes);
  traffic.datagrams += 1;
  traffic.bytes += whole;
  double rest = whole;
  const auto count = [&](const std::string& kind, const auto& item) {
    // Tag and length of an item take 2 bytes up to a size of 127.
    const auto n = static_cast<double>(item.ByteSizeLong() + 2);
    traffic.bytes_by_kind[kind] += n;
    rest -= n;
  };
  for (const auto& it : datagram.flow().openings()) {
    count("opening", it);
  }
  for (const auto& it : datagram.flow().taken()) {
    count("taken", it);
  }
  for (const auto& it : datagram.flow().seen()) {
    count(it.requests()   ? "seen request"
          : it.answered() ? "seen answer"
                          : "seen handshake",
          it);
  }
  for (const auto& it : datagram.flow().ends()) {
    count("end", it);
  }
  traffic.bytes_by_kind["datagram"] += rest;
}

Traffic Difference(Traffic a, const Traffic& b, double count) {
  a.datagrams = (a.datagrams - b.datagrams) / count;
  a.bytes = (a.bytes - b.bytes) / count;
  for (auto& [kind, it] : a.bytes_by_kind) {
    const auto before = b.bytes_by_kind.find(kind);
    it = (it - (before == b.bytes_by_kind.end() ? 0 : before->second)) / count;
  }
  return a;
}

std::string Format(const std::string& title, const Traffic& traffic) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(1) << title << ": "
      << traffic.datagrams << " datagrams, " << traffic.bytes << " bytes (";
  std::string separator;
  for (const auto& [kind, it] : traffic.bytes_by_kind) {
    out << separator << kind << " " << it;
    separator = ", ";
  }
  out << ")\n";
  return out.str();
}

// What a dispatcher exchanges with ten ingresses about flows of `requests`
// requests each, one flow every `interval`.
struct Exchange {
  Traffic in;
  Traffic out;
};

Exchange Measure(std::size_t requests, int flows, Duration interval) {
  FlowWorld world(1);
  world.set_link_rate(kLinkBytesPerSecond);
  world.AddVms(kVms);
  world.set_opening_bytes(kOpeningBytes);
  for (int n = 0; n < 16; ++n) {
    world.AddEndpoint("a" + std::to_string(n), "records", "north");
  }
  world.SetRoutes(1, {"records"}, 250);
  world.Publish();
  world.Run(seconds(6));
  const std::size_t dispatcher = world.DispatcherIndex("records");
  Exchange result;
  world.set_tap([&](int from, int to, ByteSpan bytes) {
    if (to == static_cast<int>(dispatcher)) {
      Count(bytes, result.in);
    } else if (from == static_cast<int>(dispatcher)) {
      Count(bytes, result.out);
    }
  });
  for (int n = 0; n < flows; ++n) {
    const auto vm =
        (dispatcher + 1 + static_cast<std::size_t>(n) % (kVms - 1)) % kVms;
    world.OpenLong("records", vm, requests, milliseconds(20));
    world.Run(interval);
  }
  world.Run(seconds(3));
  for (const auto& [id, it] : world.flows()) {
    CHECK(it.answered);
  }
  // The node's own counters, which operators see, agree.
  const PeerTraffic& counted = world.Vm(dispatcher).counters().received;
  std::map<std::string, double>& kinds = result.in.bytes_by_kind;
  CHECK(static_cast<double>(counted.openings) == kinds["opening"]);
  CHECK(static_cast<double>(counted.ends) == kinds["end"]);
  CHECK(static_cast<double>(counted.seen) ==
        kinds["seen handshake"] + kinds["seen request"] + kinds["seen answer"]);
  return result;
}

TEST_CASE("bytes that a dispatcher exchanges for a flow and a later request") {
  struct Row {
    std::string name;
    Duration interval;
    double max_flow_bytes;
    double max_request_bytes;
  };
  const Row row =
      GENERATE(Row{"alone", milliseconds(300), 305, 124},
               Row{"100 flows a second", milliseconds(10), 305, 97});
  constexpr int kFlows = 100;
  constexpr std::size_t kRequests = 11;
  const Exchange one = Measure(1, kFlows, row.interval);
  const Exchange many = Measure(kRequests, kFlows, row.interval);
  const Traffic flow = Difference(one.in, {}, kFlows);
  const Traffic request =
      Difference(many.in, one.in, kFlows * (kRequests - 1.0));
  WARN(row.name << "\n"
                << Format("  flow, in", flow)
                << Format("  flow, out", Difference(one.out, {}, kFlows))
                << Format("  later request, in", request)
                << Format("  later request, out",
                          Difference(many.out, one.out,
                                     kFlows * (kRequests - 1.0))));
  CHECK(flow.bytes <= row.max_flow_bytes);
  CHECK(request.bytes <= row.max_request_bytes);
}

}  // namespace
}  // namespace vanillalatch
