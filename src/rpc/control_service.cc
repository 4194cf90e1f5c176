#include "vanillalatch/rpc/control_service.h"

#include <chrono>
#include <utility>

#include "vanillalatch/rpc/control_client.h"

namespace vanillalatch {
namespace {

// How long open calls may take to end when the server stops.
constexpr std::chrono::milliseconds kShutdownGrace{200};

// Puts a call into the mailbox, or refuses it if the mailbox is full.
template <typename Request, typename Response, typename Mailbox>
grpc::ServerUnaryReactor* Enqueue(grpc::CallbackServerContext* context,
                                  const Request* request, Response* response,
                                  Mailbox& mailbox) {
  grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
  const RpcCall<Request, Response> call{request, response, reactor, context};
  if (mailbox.try_push(call) != boost::fibers::channel_op_status::success) {
    reactor->Finish(grpc::Status(grpc::StatusCode::RESOURCE_EXHAUSTED,
                                 "too many open calls"));
  }
  return reactor;
}

class ControlServiceImpl : public pb::Control::CallbackService {
 public:
  ControlServiceImpl(ControlMailbox& mailbox, SyncMailbox& syncs)
      : mailbox_(mailbox), syncs_(syncs) {}

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
    return Enqueue(context, request, reply, syncs_);
  }
  grpc::ServerUnaryReactor* Step(grpc::CallbackServerContext* context,
                                 const pb::ConsensusMessage* request,
                                 pb::StepReply* reply) override {
    return Enqueue(context, request, reply, mailbox_);
  }

 private:
  ControlMailbox& mailbox_;
  SyncMailbox& syncs_;
};

class AdminServiceImpl : public pb::Admin::CallbackService {
 public:
  explicit AdminServiceImpl(AdminMailbox& mailbox) : mailbox_(mailbox) {}

  grpc::ServerUnaryReactor* Explain(grpc::CallbackServerContext* context,
                                    const pb::ExplainRequest* request,
                                    pb::ExplainReply* reply) override {
    return Enqueue(context, request, reply, mailbox_);
  }

 private:
  AdminMailbox& mailbox_;
};

template <typename Service>
class GrpcServer : public RpcServer {
 public:
  template <typename... Mailboxes>
  explicit GrpcServer(Mailboxes&... mailboxes) : service_(mailboxes...) {}
  ~GrpcServer() override { GrpcServer::Stop(); }

  bool Start(SocketAddress listen) {
    grpc::ServerBuilder builder;
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    // Clients send keepalive pings even while no call is open.
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
      server_->Shutdown(std::chrono::system_clock::now() + kShutdownGrace);
    }
  }

 private:
  Service service_;
  std::unique_ptr<grpc::Server> server_;
};

template <typename Service, typename... Mailboxes>
Result<std::unique_ptr<RpcServer>> StartServer(SocketAddress listen,
                                               Mailboxes&... mailboxes) {
  auto server = std::make_unique<GrpcServer<Service>>(mailboxes...);
  if (!server->Start(listen)) {
    return Error(ErrorKind::kInvalidArgument,
                 "can't serve gRPC on " + listen.ToString());
  }
  return std::unique_ptr<RpcServer>(std::move(server));
}

}  // namespace

Result<std::unique_ptr<RpcServer>> StartControlService(SocketAddress listen,
                                                       ControlMailbox& mailbox,
                                                       SyncMailbox& syncs) {
  return StartServer<ControlServiceImpl>(listen, mailbox, syncs);
}

Result<std::unique_ptr<RpcServer>> StartAdminService(SocketAddress listen,
                                                     AdminMailbox& mailbox) {
  return StartServer<AdminServiceImpl>(listen, mailbox);
}

}  // namespace vanillalatch
