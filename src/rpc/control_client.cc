#include "vanillalatch/rpc/control_client.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <atomic>
#include <boost/fiber/future.hpp>
#include <chrono>
#include <utility>

namespace vanillalatch {
namespace {

// A VM that is reachable again is connected within a fifth of a second.
// Retrying this often is cheap: a refused connection costs two small packets.
constexpr int kReconnectMinMs = 50;
constexpr int kReconnectMaxMs = 200;
// One connection attempt: allows for some round trips and for a VM that is
// scheduled late.
constexpr int kConnectTimeoutMs = 250;
// Per receiver; further messages are dropped.
constexpr int kMaxOpenSends = 32;
constexpr std::chrono::milliseconds kSendTimeout{1000};

}  // namespace

std::shared_ptr<grpc::Channel> OpenChannel(const std::string& address) {
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kReconnectMinMs);
  // gRPC also uses this value as the timeout of one connection attempt.
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kConnectTimeoutMs);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kReconnectMaxMs);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, kKeepaliveMs);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, kKeepaliveMs);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
  arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  return grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(),
                                   arguments);
}

struct ControlClient::Peer {
  std::unique_ptr<pb::Control::Stub> stub;
  std::atomic<int> open_sends{0};
};

// Open calls share ownership of their peer, because they may outlive the
// client.
struct ControlClient::State {
  absl::flat_hash_map<std::string, std::shared_ptr<Peer>> peers;
  // The peer that was disconnected last, until a call to another one starts.
  // gRPC joins its threads when the last channel of the process is closed,
  // which blocks the caller for up to a second.
  std::shared_ptr<Peer> retired;
};

ControlClient::ControlClient() : state_(std::make_unique<State>()) {}
ControlClient::~ControlClient() = default;

ControlClient::Peer& ControlClient::FindOrAddPeer(const std::string& address) {
  std::shared_ptr<Peer>& peer = state_->peers[address];
  if (peer == nullptr) {
    peer = std::make_shared<Peer>();
    peer->stub = pb::Control::NewStub(OpenChannel(address));
  }
  return *peer;
}

void ControlClient::Send(const std::string& address,
                         const pb::ConsensusMessage& message) {
  if (FindOrAddPeer(address).open_sends.fetch_add(1) >= kMaxOpenSends) {
    FindOrAddPeer(address).open_sends.fetch_sub(1);
    return;
  }
  struct OpenSend {
    std::shared_ptr<Peer> peer;
    grpc::ClientContext context;
    pb::ConsensusMessage message;
    pb::StepReply reply;
  };
  auto send = std::make_shared<OpenSend>();
  send->peer = state_->peers[address];
  send->message = message;
  send->context.set_deadline(std::chrono::system_clock::now() + kSendTimeout);
  send->peer->stub->async()->Step(
      &send->context, &send->message, &send->reply,
      [send](const grpc::Status&) { send->peer->open_sends.fetch_sub(1); });
}

void ControlClient::Apply(const std::string& address,
                          const pb::ApplyRequest& request,
                          std::function<void(const pb::ApplyReply&)> callback) {
  struct OpenApply {
    std::shared_ptr<Peer> peer;
    grpc::ClientContext context;
    pb::ApplyRequest request;
    pb::ApplyReply reply;
  };
  FindOrAddPeer(address);
  auto call = std::make_shared<OpenApply>();
  call->peer = state_->peers[address];
  call->request = request;
  call->context.set_deadline(std::chrono::system_clock::now() + kSendTimeout);
  call->peer->stub->async()->Apply(
      &call->context, &call->request, &call->reply,
      [call, callback = std::move(callback)](const grpc::Status& status) {
        if (status.ok()) {
          callback(call->reply);
        }
      });
}

std::optional<pb::SyncReply> ControlClient::Sync(const std::string& address,
                                                 const pb::SyncRequest& request,
                                                 Duration timeout) {
  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() + timeout);
  pb::SyncReply reply;
  // The promise has shared ownership because gRPC's thread may still be inside
  // set_value() when the fiber resumes and returns.
  auto answered = std::make_shared<boost::fibers::promise<bool>>();
  boost::fibers::future<bool> result = answered->get_future();
  FindOrAddPeer(address).stub->async()->Sync(
      &context, &request, &reply, [answered](const grpc::Status& status) {
        answered->set_value(status.ok());
      });
  state_->retired.reset();
  if (!result.get()) {
    return std::nullopt;
  }
  return reply;
}

void ControlClient::Disconnect(const std::string& address) {
  const auto it = state_->peers.find(address);
  if (it != state_->peers.end()) {
    state_->retired = std::move(it->second);
    state_->peers.erase(it);
  }
}

void ControlClient::DisconnectOthers(
    const std::vector<std::string>& addresses) {
  absl::erase_if(state_->peers, [&](auto& it) {
    if (std::find(addresses.begin(), addresses.end(), it.first) !=
        addresses.end()) {
      return false;
    }
    state_->retired = std::move(it.second);
    return true;
  });
}

}  // namespace vanillalatch
