// Calls to control VMs. Send() and Sync() return at once or suspend the fiber,
// never the thread.
//
//   ControlClient client;
//   client.Send("10.0.0.2:7000", message);
//   std::optional<pb::SyncReply> reply = client.Sync("10.0.0.2:7000", request);
#ifndef VANILLALATCH_RPC_CONTROL_CLIENT_H_
#define VANILLALATCH_RPC_CONTROL_CLIENT_H_

#include <grpcpp/grpcpp.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "control.grpc.pb.h"
#include "vanillalatch/base/time.h"

namespace vanillalatch {

// How often a connection between VMs is tried, and how long it may be silent
// then before it counts as lost, milliseconds: one that went silent is found
// within two elections.
inline constexpr int kKeepaliveMs = 1000;

// A channel that reconnects within 0.2 s after its peer is back.
std::shared_ptr<grpc::Channel> OpenChannel(const std::string& address);

class ControlClient {
 public:
  ControlClient();
  ControlClient(const ControlClient&) = delete;
  ControlClient& operator=(const ControlClient&) = delete;
  ~ControlClient();

  // Sends a consensus message without waiting. Dropped if the receiver has
  // too many calls open: the protocol above repeats what matters.
  void Send(const std::string& address, const pb::ConsensusMessage& message);

  // Asks for a newer catalog; nullopt if the call failed or `timeout` passed.
  std::optional<pb::SyncReply> Sync(const std::string& address,
                                    const pb::SyncRequest& request,
                                    Duration timeout);

 private:
  struct Peer;
  Peer& PeerAt(const std::string& address);

  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_RPC_CONTROL_CLIENT_H_
