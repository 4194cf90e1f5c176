// Runs an EntryNode and does all of its I/O: the sockets for callers, backend
// servers and peers, the timer, the connection to the control VMs and the Admin
// service. The node decides, without I/O, what happens to each request.
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
  // Binds the sockets, creates the node and starts the Admin service. Errors:
  // those of UdpSocket::Bind(), EntryNode::Create() and StartAdminService().
  static Result<std::unique_ptr<EntryShell>> Create(const Settings& settings);

  // Starts the fibers of the shell on this thread.
  void Start(Reactor& reactor);
  // Performs a planned stop. Suspends the calling fiber until the open requests
  // have ended and the announcement to the other VMs has had time to arrive.
  void Stop();

  // Returns the data to publish, including the hops recorded since the last
  // call. The pointers in it are valid as long as the shell.
  EntryTelemetry TakeTelemetry();

 private:
  static constexpr std::size_t kSockets = 3;  // One per SocketRole.

  EntryShell(const Settings& settings, std::vector<UdpSocket> sockets,
             std::unique_ptr<EntryNode> node);

  void ServeSocket(SocketRole role, FdWaiter& waiter);
  void RunTimer();
  // Receives newer catalogs until the stop.
  void SyncCatalog();
  // Answers Explain calls.
  void ServeAdmin();
  // Returns the hops of a request that this VM has recorded; none if the id is
  // malformed.
  pb::ExplainReply Explain(const std::string& request_id) const;
  // Sends the datagrams that the node put into the outbox.
  void Flush();

  std::vector<UdpSocket> sockets_;  // Indexed by SocketRole.
  std::unique_ptr<EntryNode> node_;
  std::string admin_address_;
  std::int64_t unix_epoch_ms_;
  std::string vm_;
  pb::Catalog catalog_;  // The catalog in force.
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
