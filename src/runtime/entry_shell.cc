#include "src/runtime/entry_shell.h"

#include <random>
#include <utility>

#include "vanillalatch/base/hop.h"
#include "vanillalatch/telemetry/trace.h"
#include "vanillalatch/wire/coap.h"

namespace vanillalatch {
namespace {

// A datagram that the receive buffer cuts off is too large to be parsed, so no
// answer is delivered without its end.
static_assert(UdpSocket::kDatagramBufferBytes - UdpSocket::kHeadroomBytes >
              kMaxDatagramBytes);

constexpr std::size_t kMailboxCapacity = 64;  // A power of two.
// Short compared with the 2 s after which callers retransmit.
constexpr Duration kCatalogPollInterval = std::chrono::milliseconds(10);
constexpr Duration kStopPollInterval = std::chrono::milliseconds(20);
// After the last open request, time for the announcement that this VM leaves to
// reach every member.
constexpr Duration kLeaveAnnouncementTime = std::chrono::milliseconds(100);

EntryOptions MakeEntryOptions(const Settings& settings,
                              std::int64_t unix_epoch_ms) {
  EntryOptions options;
  options.membership.name = settings.vm;
  options.membership.data_center = settings.data_center;
  options.membership.peer = settings.entry->peer;
  options.membership.seeds = settings.entry->seeds;
  options.membership.incarnation = static_cast<std::uint64_t>(UnixNowMs());
  options.unix_epoch_ms = unix_epoch_ms;
  options.backend_timeout = settings.entry->backend_timeout;
  options.drain_limit = settings.entry->drain_limit;
  return options;
}

}  // namespace

Result<std::unique_ptr<EntryShell>> EntryShell::Create(
    const Settings& settings) {
  std::vector<UdpSocket> sockets;
  for (const SocketAddress& it :
       {settings.entry->listen, settings.entry->backend,
        settings.entry->peer}) {
    Result<UdpSocket> socket = UdpSocket::Bind(it);
    if (!socket.ok()) {
      return socket.error();
    }
    sockets.push_back(std::move(*socket));
  }
  const std::int64_t unix_epoch_ms = UnixEpochMs();
  Result<std::unique_ptr<EntryNode>> node = EntryNode::Create(
      MakeEntryOptions(settings, unix_epoch_ms), Now(), std::random_device()());
  if (!node.ok()) {
    return node.error();
  }
  std::unique_ptr<EntryShell> shell(
      new EntryShell(settings, std::move(sockets), std::move(*node)));
  Result<std::unique_ptr<RpcServer>> server =
      StartAdminService(settings.entry->admin, shell->mailbox_);
  if (!server.ok()) {
    return server.error();
  }
  shell->server_ = std::move(*server);
  return shell;
}

EntryShell::EntryShell(const Settings& settings, std::vector<UdpSocket> sockets,
                       std::unique_ptr<EntryNode> node)
    : sockets_(std::move(sockets)),
      node_(std::move(node)),
      admin_address_(settings.entry->admin.ToString()),
      unix_epoch_ms_(UnixEpochMs()),
      vm_(settings.vm),
      follower_(settings.vm, settings.entry->control),
      mailbox_(kMailboxCapacity) {}

void EntryShell::Start(Reactor& reactor) {
  for (const SocketRole it :
       {SocketRole::kCaller, SocketRole::kBackend, SocketRole::kPeer}) {
    FdWaiter& waiter =
        reactor.Watch(sockets_[static_cast<std::size_t>(it)].fd());
    fibers_.emplace_back([this, it, &waiter] { ServeSocket(it, waiter); });
  }
  fibers_.emplace_back([this] { RunTimer(); });
  fibers_.emplace_back([this] { SyncCatalog(); });
  fibers_.emplace_back([this] { ServeAdmin(); });
  for (boost::fibers::fiber& it : fibers_) {
    it.detach();
  }
}

void EntryShell::Stop() {
  node_->BeginStop(Now(), out_);
  Flush();
  while (!node_->Stopped(Now())) {
    boost::this_fiber::sleep_for(kStopPollInterval);
  }
  boost::this_fiber::sleep_for(kLeaveAnnouncementTime);
  stopped_ = true;
  follower_.Stop();
  server_->Stop();
}

EntryTelemetry EntryShell::TakeTelemetry() {
  const TimePoint now = Now();
  EntryTelemetry telemetry;
  telemetry.counters = &node_->counters();
  telemetry.catalog = &catalog_;
  telemetry.report = node_->Report(now);
  telemetry.catalog_age = now - follower_.last_quorum_contact();
  telemetry.hops = node_->TakeHops();
  telemetry.unix_epoch_ms = unix_epoch_ms_;
  return telemetry;
}

void EntryShell::ServeSocket(SocketRole role, FdWaiter& waiter) {
  UdpSocket& socket = sockets_[static_cast<std::size_t>(role)];
  // Without a catalog, the node could not tell whether a service exists, so
  // callers' datagrams stay in the socket until there is one.
  while (role == SocketRole::kCaller && !stopped_ &&
         node_->revision() == Revision{}) {
    boost::this_fiber::sleep_for(kCatalogPollInterval);
  }
  ServeBatches(waiter, stopped_, [&] {
    const TimePoint now = Now();
    const std::size_t n =
        socket.Receive([&](SocketAddress from, ByteSpan bytes) {
          node_->OnDatagram(now, {role, from, bytes}, out_);
        });
    Flush();
    return n;
  });
}

void EntryShell::RunTimer() {
  while (!stopped_) {
    wakeup_.SleepUntil(node_->NextWake());
    node_->OnTick(Now(), out_);
    Flush();
  }
}

void EntryShell::SyncCatalog() {
  follower_.Run(
      [this] {
        pb::SyncRequest request = node_->Report(Now());
        request.set_admin_address(admin_address_);
        return request;
      },
      [this](const CatalogNews& news) {
        if (news.catalog == nullptr) {
          return;
        }
        const pb::Catalog& catalog = *news.catalog;
        node_->OnCatalog(Now(), catalog, out_);
        Flush();
        if (node_->revision().value() == catalog.revision()) {
          catalog_ = catalog;
        }
      });
}

void EntryShell::ServeAdmin() {
  ExplainCall call;
  while (mailbox_.pop(call) == boost::fibers::channel_op_status::success) {
    call.Reply(Explain(call.request->request_id()));
  }
}

pb::ExplainReply EntryShell::Explain(const std::string& request_id) const {
  pb::ExplainReply reply;
  const Result<RequestId> id = ParseRequestId(request_id);
  if (!id.ok()) {
    return reply;
  }
  for (const Hop& it : node_->HopsOf(*id)) {
    pb::Hop& hop = *reply.add_hops();
    hop.set_vm(vm_);
    hop.set_unix_us(unix_epoch_ms_ * 1000 +
                    std::chrono::duration_cast<std::chrono::microseconds>(
                        it.at.time_since_epoch())
                        .count());
    hop.set_event(std::string(HopEventName(it.event)));
    hop.set_subject(FormatHopSubject(it));
  }
  return reply;
}

void EntryShell::Flush() {
  for (const Outbox::Item& it : out_.items()) {
    sockets_[static_cast<std::size_t>(it.socket)].Queue(it.to, out_.Bytes(it));
  }
  for (UdpSocket& it : sockets_) {
    it.Flush();
  }
  out_.Clear();
  wakeup_.BringForward(node_->NextWake());
}

}  // namespace vanillalatch
