#include "src/bench/echo_backend.h"

#include <poll.h>

#include <chrono>
#include <utility>

#include "vanillalatch/runtime/reactor.h"

namespace vanillalatch {
namespace {

constexpr int kPollMs = 100;
constexpr std::uint64_t kLeaseSeconds = 10;
constexpr Duration kRenewInterval = std::chrono::seconds(1);
constexpr std::string_view kPayload = "0123456789abcdef0123456789abcdef";

}  // namespace

Result<std::unique_ptr<EchoBackend>> EchoBackend::Start(
    EchoBackendOptions options) {
  Result<UdpSocket> socket = UdpSocket::Bind(options.listen);
  if (!socket.ok()) {
    return socket.error();
  }
  return std::unique_ptr<EchoBackend>(
      new EchoBackend(std::move(options), std::move(*socket)));
}

EchoBackend::EchoBackend(EchoBackendOptions options, UdpSocket socket)
    : options_(std::move(options)),
      socket_(std::move(socket)),
      parser_(CoapParser::Create().value()),
      answers_(UdpSocket::kBatchDatagrams),
      epoch_(static_cast<std::uint64_t>(Now().time_since_epoch().count())),
      thread_([this] { Run(); }) {}

EchoBackend::~EchoBackend() {
  stopping_ = true;
  thread_.join();
}

void EchoBackend::Run() {
  TimePoint next_renewal{};
  while (!stopping_) {
    if (options_.register_at_entry && Now() >= next_renewal) {
      Register();
      next_renewal = Now() + kRenewInterval;
    }
    pollfd poll_fd{socket_.fd(), POLLIN, 0};
    poll(&poll_fd, 1, kPollMs);
    answer_count_ = 0;
    socket_.Receive(
        [this](SocketAddress from, ByteSpan bytes) { Answer(from, bytes); });
    socket_.Flush();
  }
}

void EchoBackend::Register() {
  std::vector<std::uint8_t> buf;
  const std::uint16_t id = next_message_id_++;
  CoapBuilder(buf, CoapType::kNonConfirmable, kCoapPost, id,
              CoapToken::FromInteger(id))
      .Option(kOptionUriPath, "rd")
      .Option(kOptionUriQuery,
              "ep=echo-" + std::to_string(options_.listen.port))
      .Option(kOptionUriQuery, "d=" + options_.service)
      .Option(kOptionUriQuery, "lt=" + std::to_string(kLeaseSeconds))
      .Option(kOptionUriQuery, "slots=" + std::to_string(options_.slots))
      .Option(kOptionUriQuery, "epoch=" + std::to_string(epoch_))
      .Option(kOptionUriQuery, "dc=" + options_.data_center)
      .Option(kOptionUriQuery, "load=0");
  socket_.Queue(options_.registration_address, buf);
  socket_.Flush();
}

void EchoBackend::Answer(SocketAddress from, ByteSpan bytes) {
  const CoapMessage* request = parser_.Parse(bytes);
  if (request == nullptr || !request->IsRequest()) {
    return;
  }
  std::vector<std::uint8_t>& buf = answers_[answer_count_++];
  buf.clear();
  const CoapType type = request->type == CoapType::kConfirmable
                            ? CoapType::kAck
                            : CoapType::kNonConfirmable;
  CoapBuilder(buf, type, kCoapContent, request->message_id, request->token)
      .Payload(ByteSpan(reinterpret_cast<const std::uint8_t*>(kPayload.data()),
                        kPayload.size()));
  socket_.Queue(from, buf);
}

}  // namespace vanillalatch
