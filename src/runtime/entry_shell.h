// Runs an EntryNode: its three sockets, its timer, its link to the control
// VMs and the Admin service.
#ifndef VANILLALATCH_SRC_RUNTIME_ENTRY_SHELL_H_
#define VANILLALATCH_SRC_RUNTIME_ENTRY_SHELL_H_

#include <array>
#include <memory>
#include <vector>

#include "src/runtime/catalog_follower.h"
#include "src/runtime/publisher.h"
#include "vanillalatch/entry/entry_node.h"
#include "vanillalatch/rpc/control_service.h"
#include "vanillalatch/runtime/reactor.h"
#include "vanillalatch/runtime/udp_socket.h"
#include "vanillalatch/runtime/wakeup.h"
#include "vanillalatch/settings/settings.h"

namespace vanillalatch {

class EntryShell {
 public:
  // Errors: those of UdpSocket::Bind(), EntryNode::Create() and
  // StartAdminService().
  static Result<std::unique_ptr<EntryShell>> Create(const Settings& settings);

  void Start(Reactor& reactor);
  // Planned stop; suspends the calling fiber until open requests have ended.
  void Stop();

  // What there is to publish now; takes the hops since the last call.
  EntryView View();

 private:
  static constexpr std::size_t kSockets = 3;  // By SocketRole.

  EntryShell(const Settings& settings, std::vector<UdpSocket> sockets,
             std::unique_ptr<EntryNode> node);

  void ServeSocket(SocketRole role, FdWaiter& waiter);
  void RunTimer();
  void SyncCatalog();
  void ServeAdmin();
  pb::ExplainReply Explain(const std::string& request_id) const;
  // Sends what the node decided.
  void Flush();

  std::vector<UdpSocket> sockets_;
  std::unique_ptr<EntryNode> node_;
  std::string admin_address_;
  std::int64_t unix_epoch_ms_;
  std::string vm_;
  pb::Catalog catalog_;  // In force.
  Outbox out_;
  Wakeup wakeup_;
  CatalogFollower follower_;
  AdminMailbox mailbox_;
  std::unique_ptr<RpcServer> server_;
  std::vector<boost::fibers::fiber> fibers_;
  bool stopped_ = false;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_RUNTIME_ENTRY_SHELL_H_
