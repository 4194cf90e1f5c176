// A gRPC client for calls to control VMs. Send() returns immediately; Sync()
// suspends the calling fiber until the call ends. Neither blocks the thread.
//
//   ControlClient client;
//   client.Send("10.0.0.2:7000", message);
//   std::optional<pb::SyncReply> reply =
//       client.Sync("10.0.0.2:7000", request, std::chrono::seconds(2));
#ifndef VANILLALATCH_RPC_CONTROL_CLIENT_H_
#define VANILLALATCH_RPC_CONTROL_CLIENT_H_

#include <grpcpp/grpcpp.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "control.grpc.pb.h"
#include "vanillalatch/base/time.h"

namespace vanillalatch {

// The interval of keepalive pings on a connection between VMs, and how long a
// ping may stay unanswered before the connection counts as lost. A connection
// that has become silent is thus detected within the time of two elections.
inline constexpr int kKeepaliveMs = 1000;

// Creates a channel that reconnects within 0.2 s after its peer is reachable
// again.
std::shared_ptr<grpc::Channel> OpenChannel(const std::string& address);

class ControlClient {
 public:
  ControlClient();
  ControlClient(const ControlClient&) = delete;
  ControlClient& operator=(const ControlClient&) = delete;
  ~ControlClient();

  // Sends a consensus message without waiting for the reply. The message is
  // dropped if too many calls to the receiver are open; the consensus protocol
  // retransmits what matters.
  void Send(const std::string& address, const pb::ConsensusMessage& message);

  // Calls Apply without waiting for the reply. `callback` is called on a thread
  // of gRPC with the reply; not at all if the call fails or takes too long.
  void Apply(const std::string& address, const pb::ApplyRequest& request,
             std::function<void(const pb::ApplyReply&)> callback);

  // Requests a newer catalog and suspends the fiber until the reply arrives.
  // Returns nullopt if the call fails or `timeout` passes.
  std::optional<pb::SyncReply> Sync(const std::string& address,
                                    const pb::SyncRequest& request,
                                    Duration timeout);

  // Closes the connection to `address` once its open calls have ended.
  void Disconnect(const std::string& address);
  // Does the same to every connection but those to `addresses`.
  void DisconnectOthers(const std::vector<std::string>& addresses);

 private:
  struct Peer;
  // Returns the peer at `address`; creates it at the first call.
  Peer& FindOrAddPeer(const std::string& address);

  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_RPC_CONTROL_CLIENT_H_
