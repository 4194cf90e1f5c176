// The gRPC servers of a VM: the Control service of a control VM and the Admin
// service of an entry VM. Calls arrive on gRPC's threads and are put into a
// mailbox; the thread that owns the node takes them out and answers each one
// with Reply(). A call is refused with RESOURCE_EXHAUSTED while the mailbox
// is full.
//
//   auto server = StartControlService(address, mailbox).value();
//   ControlCall call;
//   while (mailbox.pop(call) == boost::fibers::channel_op_status::success) ...
#ifndef VANILLALATCH_RPC_CONTROL_SERVICE_H_
#define VANILLALATCH_RPC_CONTROL_SERVICE_H_

#include <grpcpp/grpcpp.h>

#include <boost/fiber/buffered_channel.hpp>
#include <memory>
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

  // Answers the call. Must be called exactly once.
  void Reply(const Response& answer) const {
    *response = answer;
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
                                 HistoryCall, StatusCall, SyncCall, StepCall>;
using ControlMailbox = boost::fibers::buffered_channel<ControlCall>;

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

// Starts the Control service on `listen`. The mailbox must outlive the server.
// Error: kInvalidArgument if the server can't listen on the address.
Result<std::unique_ptr<RpcServer>> StartControlService(SocketAddress listen,
                                                       ControlMailbox& mailbox);
// Starts the Admin service on `listen`. The mailbox must outlive the server.
// Error: kInvalidArgument if the server can't listen on the address.
Result<std::unique_ptr<RpcServer>> StartAdminService(SocketAddress listen,
                                                     AdminMailbox& mailbox);

}  // namespace vanillalatch

#endif  // VANILLALATCH_RPC_CONTROL_SERVICE_H_
