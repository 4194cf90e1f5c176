#include "vanillalatch/rpc/control_service.h"

#include <chrono>
#include <utility>

#include "vanillalatch/rpc/control_client.h"

namespace vanillalatch {
namespace {

constexpr std::chrono::milliseconds kStopGrace{200};

// Puts a call into the mailbox, or refuses it when the mailbox is full.
template <typename Request, typename Response, typename Mailbox>
grpc::ServerUnaryReactor* Enqueue(grpc::CallbackServerContext* context,
                                  const Request* request, Response* response,
                                  Mailbox& mailbox) {
  grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
  const RpcCall<Request, Response> call{request, response, reactor};
  if (mailbox.try_push(call) != boost::fibers::channel_op_status::success) {
    reactor->Finish(grpc::Status(grpc::StatusCode::RESOURCE_EXHAUSTED,
                                 "too many open calls"));
  }
  return reactor;
}

class ControlRpc : public pb::Control::CallbackService {
 public:
  explicit ControlRpc(ControlMailbox& mailbox) : mailbox_(mailbox) {}

  grpc::ServerUnaryReactor* Apply(grpc::CallbackServerContext* context,
                                  const pb::ApplyRequest* request,
                                  pb::ApplyReply* reply) override {
    return Enqueue(context, request, reply, mailbox_);
  }
  grpc::ServerUnaryReactor* Get(grpc::CallbackServerContext* context,
                                const pb::GetRequest* request,
                                pb::GetReply* reply) override {
    return Enqueue(context, request, reply, mailbox_);
  }
  grpc::ServerUnaryReactor* History(grpc::CallbackServerContext* context,
                                    const pb::HistoryRequest* request,
                                    pb::HistoryReply* reply) override {
    return Enqueue(context, request, reply, mailbox_);
  }
  grpc::ServerUnaryReactor* Status(grpc::CallbackServerContext* context,
                                   const pb::StatusRequest* request,
                                   pb::StatusReply* reply) override {
    return Enqueue(context, request, reply, mailbox_);
  }
  grpc::ServerUnaryReactor* Sync(grpc::CallbackServerContext* context,
                                 const pb::SyncRequest* request,
                                 pb::SyncReply* reply) override {
    return Enqueue(context, request, reply, mailbox_);
  }
  grpc::ServerUnaryReactor* Step(grpc::CallbackServerContext* context,
                                 const pb::ConsensusMessage* request,
                                 pb::StepReply* reply) override {
    return Enqueue(context, request, reply, mailbox_);
  }

 private:
  ControlMailbox& mailbox_;
};

class AdminRpc : public pb::Admin::CallbackService {
 public:
  explicit AdminRpc(AdminMailbox& mailbox) : mailbox_(mailbox) {}

  grpc::ServerUnaryReactor* Explain(grpc::CallbackServerContext* context,
                                    const pb::ExplainRequest* request,
                                    pb::ExplainReply* reply) override {
    return Enqueue(context, request, reply, mailbox_);
  }

 private:
  AdminMailbox& mailbox_;
};

template <typename Service>
class RunningServer : public RpcServer {
 public:
  template <typename Mailbox>
  explicit RunningServer(Mailbox& mailbox) : service_(mailbox) {}
  ~RunningServer() override { RunningServer::Stop(); }

  bool Start(SocketAddress listen) {
    grpc::ServerBuilder builder;
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    // Clients send keepalive pings with no call open.
    builder.AddChannelArgument(
        GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
        kKeepaliveMs / 2);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PING_STRIKES, 0);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, kKeepaliveMs);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, kKeepaliveMs);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
    int port = 0;
    builder.AddListeningPort(listen.ToString(),
                             grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(&service_);
    server_ = builder.BuildAndStart();
    return server_ != nullptr && port != 0;
  }

  void Stop() override {
    if (server_ != nullptr) {
      server_->Shutdown(std::chrono::system_clock::now() + kStopGrace);
    }
  }

 private:
  Service service_;
  std::unique_ptr<grpc::Server> server_;
};

template <typename Service, typename Mailbox>
Result<std::unique_ptr<RpcServer>> StartServer(SocketAddress listen,
                                               Mailbox& mailbox) {
  auto server = std::make_unique<RunningServer<Service>>(mailbox);
  if (!server->Start(listen)) {
    return Error(ErrorKind::kInvalidArgument,
                 "can't serve gRPC on " + listen.ToString());
  }
  return std::unique_ptr<RpcServer>(std::move(server));
}

}  // namespace

Result<std::unique_ptr<RpcServer>> StartControlService(
    SocketAddress listen, ControlMailbox& mailbox) {
  return StartServer<ControlRpc>(listen, mailbox);
}

Result<std::unique_ptr<RpcServer>> StartAdminService(SocketAddress listen,
                                                     AdminMailbox& mailbox) {
  return StartServer<AdminRpc>(listen, mailbox);
}

}  // namespace vanillalatch
