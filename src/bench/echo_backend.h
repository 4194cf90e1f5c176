// A backend server for load runs. It registers, renews its lease and answers
// every request immediately with a payload of 32 bytes.
//
//   const auto server = EchoBackend::Start(options).value();
#ifndef VANILLALATCH_SRC_BENCH_ECHO_BACKEND_H_
#define VANILLALATCH_SRC_BENCH_ECHO_BACKEND_H_

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

#include "vanillalatch/runtime/udp_socket.h"
#include "vanillalatch/wire/coap.h"

namespace vanillalatch {

// Settings of a backend server for load runs.
struct EchoBackendOptions {
  std::string service;
  std::string data_center;
  // Backend socket of the entry VM to register at.
  SocketAddress registration_address;
  SocketAddress listen;  // Where requests arrive.
  std::uint32_t slots = 1000;
  // False behind relay_baseline, which has no registry.
  bool register_at_entry = true;
};

// Serves requests in a thread of its own until it is destroyed.
class EchoBackend {
 public:
  // Binds the socket and starts the thread. Error: kInvalidArgument if the
  // address can't be bound.
  static Result<std::unique_ptr<EchoBackend>> Start(EchoBackendOptions options);
  ~EchoBackend();

 private:
  EchoBackend(EchoBackendOptions options, UdpSocket socket);
  void Run();
  void Register();
  void Answer(SocketAddress from, ByteSpan bytes);

  EchoBackendOptions options_;
  UdpSocket socket_;
  CoapParser parser_;
  std::vector<std::vector<std::uint8_t>> answers_;
  std::size_t answer_count_ = 0;
  std::uint16_t next_message_id_ = 1;
  std::uint64_t epoch_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_BENCH_ECHO_BACKEND_H_
