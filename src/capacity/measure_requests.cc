#include <array>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "src/capacity/measurement.h"
#include "vanillalatch/base/hash.h"
#include "vanillalatch/entry/entry_node.h"
#include "vanillalatch/placement/rendezvous.h"
#include "vanillalatch/wire/coap.h"

namespace vanillalatch {
namespace {

constexpr Duration kStep = std::chrono::milliseconds(10);
constexpr Duration kSettleTime = std::chrono::seconds(12);
constexpr std::uint32_t kSlots = 64;
constexpr std::uint32_t kPeerIp = 0x0a000001;
constexpr std::uint32_t kBackendIp = 0x0a010001;
constexpr std::uint32_t kCallerIp = 0x0a020001;

pb::Catalog SampleCatalog() {
  pb::Catalog catalog;
  catalog.set_revision(1);
  pb::Service& service = *catalog.add_services();
  service.set_id(1);
  service.set_name("records");
  pb::ClassTarget& target = *service.add_classes();
  target.set_id(1);
  target.set_name("all");
  target.set_latency_ms(1000);
  target.set_success_permille(990);
  target.set_share_percent(100);
  return catalog;
}

// Entry VMs of one data centre in virtual time, with backend servers that
// answer immediately. Measures the processor time that each VM spends on
// datagrams.
class DataCenter {
 public:
  DataCenter(std::size_t vms, std::size_t endpoints)
      : parser_(CoapParser::Create().value()),
        endpoints_(endpoints),
        cpu_(vms),
        peer_bytes_(vms) {
    for (std::size_t n = 0; n < vms; ++n) {
      EntryOptions options;
      options.membership.name = "entry-" + std::to_string(n);
      options.membership.data_center = "one";
      options.membership.peer = PeerOf(n);
      options.membership.seeds = {PeerOf(0)};
      vms_.push_back(EntryNode::Create(options, now_, n + 1).value());
      vms_[n]->OnCatalog(now_, SampleCatalog(), out_);
      DeliverSent(n);
    }
    Run(kSettleTime);
  }

  void Run(Duration time) {
    for (const TimePoint end = now_ + time; now_ < end; now_ += kStep) {
      RenewDueLeases();
      for (std::size_t n = 0; n < vms_.size(); ++n) {
        vms_[n]->OnTick(now_, out_);
        DeliverSent(n);
      }
    }
  }

  // Sends one request to the VM `ingress`. It is answered before this function
  // returns.
  void Request(std::size_t ingress, CoapCode method, std::uint32_t caller) {
    std::vector<std::uint8_t> buf;
    const std::uint16_t id = ++message_id_;
    CoapBuilder(buf, CoapType::kConfirmable, method, id,
                CoapToken::FromInteger(id))
        .Option(kOptionUriHost, "records")
        .Option(kOptionUriPath, "item");
    Deliver(ingress, {SocketRole::kCaller, {kCallerIp + caller, 40000}, buf});
    if (++since_tick_ == 10) {
      since_tick_ = 0;
      Run(kStep);
    }
  }

  // Returns the VM that dispatches the only service.
  std::size_t Dispatcher() const {
    std::vector<Member> members;
    for (std::size_t n = 0; n < vms_.size(); ++n) {
      Member it;
      it.name = "entry-" + std::to_string(n);
      it.id = NodeId(StableHash(it.name));
      members.push_back(it);
    }
    const std::optional<NodeId> id = DispatcherOf(ServiceId(1), members, 0);
    for (std::size_t n = 0; n < members.size(); ++n) {
      if (id == members[n].id) {
        return n;
      }
    }
    throw Error(ErrorKind::kInternal, "no dispatcher");
  }

  double cpu(std::size_t n) const { return cpu_[n]; }
  double peer_bytes(std::size_t n) const { return peer_bytes_[n]; }
  std::uint64_t answer_count() const { return answer_count_; }
  std::size_t ReportBytes(std::size_t n) const {
    return vms_[n]->Report(now_).ByteSizeLong();
  }

 private:
  static SocketAddress PeerOf(std::size_t n) {
    return {kPeerIp + static_cast<std::uint32_t>(n), 7001};
  }

  void RenewDueLeases() {
    constexpr auto kPeriod = std::chrono::seconds(3) / kStep;
    const auto step = now_.time_since_epoch() / kStep;
    for (std::size_t n = 0; n < endpoints_; ++n) {
      if ((step + static_cast<std::int64_t>(n)) % kPeriod == 0) {
        RenewLease(n);
      }
    }
  }

  // Sends the registration of backend server `n`, which also renews its lease.
  void RenewLease(std::size_t n) {
    std::vector<std::uint8_t> buf;
    const std::uint16_t id = ++message_id_;
    CoapBuilder(buf, CoapType::kNonConfirmable, kCoapPost, id,
                CoapToken::FromInteger(id))
        .Option(kOptionUriPath, "rd")
        .Option(kOptionUriQuery, "ep=endpoint-" + std::to_string(n))
        .Option(kOptionUriQuery, "d=records")
        .Option(kOptionUriQuery, "lt=10")
        .Option(kOptionUriQuery, "slots=" + std::to_string(kSlots))
        .Option(kOptionUriQuery, "epoch=1")
        .Option(kOptionUriQuery, "dc=one")
        .Option(kOptionUriQuery, "load=0");
    Deliver(n % vms_.size(),
            {SocketRole::kBackend,
             {kBackendIp + static_cast<std::uint32_t>(n), 5683},
             buf});
  }

  void Deliver(std::size_t to, const Datagram& datagram) {
    const double before = ThreadCpuSeconds();
    vms_[to]->OnDatagram(now_, datagram, out_);
    cpu_[to] += ThreadCpuSeconds() - before;
    DeliverSent(to);
  }

  // Delivers the datagrams that VM `from` sent, and those sent in reaction.
  void DeliverSent(std::size_t from) {
    const Outbox sent = std::exchange(out_, Outbox());
    for (const Outbox::Item& it : sent.items()) {
      const ByteSpan bytes = sent.Bytes(it);
      if (it.socket == SocketRole::kPeer) {
        peer_bytes_[from] += static_cast<double>(bytes.size());
        const std::size_t to = it.to.ip - kPeerIp;
        if (to < vms_.size()) {
          Deliver(to, {SocketRole::kPeer, PeerOf(from), bytes});
        }
      } else if (it.socket == SocketRole::kBackend) {
        AnswerRequest(from, it.to, bytes);
      } else {
        ++answer_count_;
      }
    }
  }

  // Answers a request that VM `from` sent to a backend server.
  void AnswerRequest(std::size_t from, SocketAddress endpoint, ByteSpan bytes) {
    const CoapMessage* request = parser_.Parse(bytes);
    if (request == nullptr || !request->IsRequest()) {
      return;
    }
    std::vector<std::uint8_t> buf;
    CoapBuilder(buf,
                request->type == CoapType::kConfirmable
                    ? CoapType::kAck
                    : CoapType::kNonConfirmable,
                kCoapContent, request->message_id, request->token)
        .Payload(bytes.first(8));
    Deliver(from, {SocketRole::kBackend, endpoint, buf});
  }

  CoapParser parser_;
  std::size_t endpoints_;
  std::vector<std::unique_ptr<EntryNode>> vms_;
  std::vector<double> cpu_;         // Processor seconds by VM.
  std::vector<double> peer_bytes_;  // Bytes sent to other entry VMs, by VM.
  std::uint64_t answer_count_ = 0;
  Outbox out_;
  TimePoint now_{std::chrono::seconds(1)};
  std::uint16_t message_id_ = 0;
  int since_tick_ = 0;
};

// Cost of a number of requests.
struct RequestCost {
  double ingress_us;
  double dispatcher_us;
  double peer_bytes;
};

RequestCost MeasureRequestCost(std::size_t count, CoapCode method) {
  DataCenter dc(3, 4);
  const std::size_t dispatcher = dc.Dispatcher();
  const std::size_t ingress = (dispatcher + 1) % 3;
  const double ingress_cpu = dc.cpu(ingress);
  const double dispatcher_cpu = dc.cpu(dispatcher);
  const double peer = dc.peer_bytes(ingress) + dc.peer_bytes(dispatcher);
  const std::uint64_t answers_before = dc.answer_count();
  for (std::size_t n = 0; n < count; ++n) {
    dc.Request(ingress, method, static_cast<std::uint32_t>(n % 1000));
  }
  if (dc.answer_count() - answers_before < count) {
    throw Error(ErrorKind::kInternal, "a request was not answered");
  }
  return {(dc.cpu(ingress) - ingress_cpu) * 1e6,
          (dc.cpu(dispatcher) - dispatcher_cpu) * 1e6,
          dc.peer_bytes(ingress) + dc.peer_bytes(dispatcher) - peer};
}

std::vector<Measurement> MeasureMethod(const std::string& name,
                                       CoapCode method) {
  Measurement ingress{"ingress_" + name + "_cpu",
                      "Processor time at the ingress, " + name,
                      "requests",
                      "us",
                      {}};
  Measurement dispatcher{"dispatcher_" + name + "_cpu",
                         "Processor time at the dispatcher, " + name,
                         "requests",
                         "us",
                         {}};
  Measurement bytes{"handover_" + name + "_bytes",
                    "Bytes between entry VMs, " + name,
                    "requests",
                    "B",
                    {}};
  for (const std::size_t n : {2'500, 5'000, 10'000, 20'000}) {
    const RequestCost cost = MeasureRequestCost(n, method);
    const auto size = static_cast<double>(n);
    ingress.points.push_back({size, cost.ingress_us});
    dispatcher.points.push_back({size, cost.dispatcher_us});
    bytes.points.push_back({size, cost.peer_bytes});
  }
  return {ingress, dispatcher, bytes};
}

std::vector<Measurement> MeasureReport() {
  Measurement by_endpoints{"report_bytes_by_endpoints",
                           "Report of a dispatcher to a control VM",
                           "endpoints",
                           "B",
                           {}};
  for (const std::size_t n : {4, 15, 30, 60}) {
    const DataCenter dc(3, n);
    by_endpoints.points.push_back(
        {static_cast<double>(n),
         static_cast<double>(dc.ReportBytes(dc.Dispatcher()))});
  }
  Measurement by_members{"report_bytes_by_members",
                         "Report of an entry VM to a control VM",
                         "entry VMs",
                         "B",
                         {}};
  for (const std::size_t n : {3, 7, 15, 30, 55}) {
    const DataCenter dc(n, 4);
    const std::size_t other = (dc.Dispatcher() + 1) % n;
    by_members.points.push_back(
        {static_cast<double>(n), static_cast<double>(dc.ReportBytes(other))});
  }
  return {by_endpoints, by_members};
}

}  // namespace

std::vector<Measurement> MeasureRequests() {
  std::vector<Measurement> all = MeasureMethod("get", kCoapGet);
  for (Measurement& it : MeasureMethod("post", kCoapPost)) {
    all.push_back(std::move(it));
  }
  for (Measurement& it : MeasureReport()) {
    all.push_back(std::move(it));
  }
  return all;
}

}  // namespace vanillalatch
