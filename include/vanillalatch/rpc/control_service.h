// The gRPC servers of a VM: the Control service of a control VM and the Admin
// service of an entry VM. Calls arrive on gRPC's threads and are put into a
// mailbox; the thread that owns the node takes them out and answers each one
// with Reply(). A call is refused with RESOURCE_EXHAUSTED while the mailbox
// is full. Sync calls of entry VMs have a mailbox of their own, so that calls
// of operators and of other control VMs never wait behind them.
//
//   auto server = StartControlService(address, mailbox, syncs).value();
//   ControlCall call;
//   while (mailbox.pop(call) == boost::fibers::channel_op_status::success) ...
#ifndef VANILLALATCH_RPC_CONTROL_SERVICE_H_
#define VANILLALATCH_RPC_CONTROL_SERVICE_H_

#include <grpcpp/grpcpp.h>

#include <boost/fiber/buffered_channel.hpp>
#include <memory>
#include <utility>
#include <variant>

#include "control.grpc.pb.h"
#include "vanillalatch/base/address.h"
#include "vanillalatch/base/result.h"

namespace vanillalatch {

// An open call. The request stays valid until Reply().
template <typename Request, typename Response>
struct RpcCall {
  const Request* request = nullptr;
  Response* response = nullptr;
  grpc::ServerUnaryReactor* reactor = nullptr;
  const grpc::CallbackServerContext* context = nullptr;

  // True if the caller no longer waits, for example after its deadline.
  bool IsCancelled() const { return context->IsCancelled(); }

  // Answers the call. Must be called exactly once.
  void Reply(Response answer) const {
    *response = std::move(answer);
    reactor->Finish(grpc::Status::OK);
  }
};

using ApplyCall = RpcCall<pb::ApplyRequest, pb::ApplyReply>;
using GetCall = RpcCall<pb::GetRequest, pb::GetReply>;
using HistoryCall = RpcCall<pb::HistoryRequest, pb::HistoryReply>;
using StatusCall = RpcCall<pb::StatusRequest, pb::StatusReply>;
using SyncCall = RpcCall<pb::SyncRequest, pb::SyncReply>;
using StepCall = RpcCall<pb::ConsensusMessage, pb::StepReply>;

using ControlCall = std::variant<std::monostate, ApplyCall, GetCall,
                                 HistoryCall, StatusCall, StepCall>;
using ControlMailbox = boost::fibers::buffered_channel<ControlCall>;
using SyncMailbox = boost::fibers::buffered_channel<SyncCall>;

using ExplainCall = RpcCall<pb::ExplainRequest, pb::ExplainReply>;
using AdminMailbox = boost::fibers::buffered_channel<ExplainCall>;

// A running gRPC server. The destructor stops it.
class RpcServer {
 public:
  virtual ~RpcServer() = default;
  // Refuses new calls, cancels the calls that are still open after 0.2 s, and
  // blocks the thread until every open call has been answered.
  virtual void Stop() = 0;
};

// Starts the Control service on `listen`. The mailboxes must outlive the
// server. Error: kInvalidArgument if the server can't listen on the address.
Result<std::unique_ptr<RpcServer>> StartControlService(SocketAddress listen,
                                                       ControlMailbox& mailbox,
                                                       SyncMailbox& syncs);
// Starts the Admin service on `listen`. The mailbox must outlive the server.
// Error: kInvalidArgument if the server can't listen on the address.
Result<std::unique_ptr<RpcServer>> StartAdminService(SocketAddress listen,
                                                     AdminMailbox& mailbox);

}  // namespace vanillalatch

#endif  // VANILLALATCH_RPC_CONTROL_SERVICE_H_
