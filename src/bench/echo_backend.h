// A backend server for load runs: registers, renews its lease and answers
// every request at once with a small payload.
#ifndef VANILLALATCH_SRC_BENCH_ECHO_BACKEND_H_
#define VANILLALATCH_SRC_BENCH_ECHO_BACKEND_H_

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

#include "vanillalatch/runtime/udp_socket.h"
#include "vanillalatch/wire/coap.h"

namespace vanillalatch {

struct EchoBackendOptions {
  std::string service;
  std::string data_center;
  SocketAddress entry_backend;  // Where it registers.
  SocketAddress listen;
  std::uint32_t slots = 1000;
  bool announce = true;  // False behind the relay, which has no registry.
};

class EchoBackend {
 public:
  // Starts its thread. Error: kInvalidArgument.
  static Result<std::unique_ptr<EchoBackend>> Start(EchoBackendOptions options);
  ~EchoBackend();

 private:
  EchoBackend(EchoBackendOptions options, UdpSocket socket);
  void Run();
  void Announce();
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
