// The fake backend servers of EntryWorld.
#include <algorithm>
#include <utility>

#include "src/entry/entry_world_text.h"

namespace vanillalatch::internal {
namespace {

constexpr std::uint32_t kBackendIpBase = 0x7f010000;  // 127.1.0.N
constexpr std::uint16_t kServerPort = 6000;
constexpr Duration kRegistrationRenewal = std::chrono::seconds(3);

ByteSpan Span(const std::string& text) {
  return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

BackendMode ParseMode(const std::string& name) {
  static const std::map<std::string, BackendMode> kModes = {
      {"normal", BackendMode::kNormal},
      {"separate", BackendMode::kSeparate},
      {"shed", BackendMode::kShed},
      {"silent", BackendMode::kSilent},
      {"die-after", BackendMode::kDieAfter},
      {"double", BackendMode::kDouble},
      {"reset", BackendMode::kReset}};
  const auto it = kModes.find(name);
  if (it == kModes.end()) {
    throw scenario::Failure("no such mode: " + name);
  }
  return it->second;
}

}  // namespace

// backend NAME service=S [slots=N] [delay=T] [mode=M] [address=OF-BACKEND]
void EntryWorld::AddBackend(const scenario::Step& step) {
  Backend backend;
  backend.name = step.Word(0);
  backend.service = step.Named("service", "");
  backend.address = {
      kBackendIpBase + 1 + static_cast<std::uint32_t>(backends_.size()),
      kServerPort};
  const std::string replaced = step.Named("address", "");
  if (!replaced.empty()) {  // Reuses the address of another backend server.
    Backend& previous = backends_.at(replaced);
    backend.address = previous.address;
    backend.epoch = previous.epoch + 1;
    previous.running = false;
    previous.address = {};
  }
  backend.slots = static_cast<std::uint32_t>(step.NamedNumber("slots", 2));
  Backend& it = backends_[backend.name] = backend;
  ChangeBackend(step);
  RegisterBackend(it);
}

// set NAME [mode=M] [delay=T] [blocks=N] [tag=X] [down=yes]; leave NAME
void EntryWorld::ChangeBackend(const scenario::Step& step) {
  Backend& backend = backends_.at(step.Word(0));
  Log(step.text);
  if (step.verb == "leave") {
    Bytes bytes;
    CoapBuilder(bytes, CoapType::kConfirmable, kCoapDelete,
                backend.next_message_id++, CoapToken::FromInteger(1))
        .Option(kOptionUriPath, "rd")
        .Option(kOptionUriPath, backend.location);
    backend.location = "left";
    const std::size_t n = RandomRunningVm();
    Arrive(backend.address, {0x7f000001 + static_cast<std::uint32_t>(n), 5684},
           bytes);
    return;
  }
  if (step.named.contains("mode")) {
    backend.mode = ParseMode(step.Named("mode", ""));
  }
  backend.delay = step.NamedTime("delay", backend.delay);
  backend.blocks =
      static_cast<std::uint32_t>(step.NamedNumber("blocks", backend.blocks));
  backend.tag = step.Named("tag", backend.tag);
  backend.running = backend.running && step.Named("down", "no") == "no";
}

// Registers the backend server at a random VM, and repeats that until it stops.
void EntryWorld::RegisterBackend(Backend& backend) {
  if (!backend.running || backend.location == "left") {
    return;
  }
  Bytes bytes;
  CoapBuilder(bytes, CoapType::kConfirmable, kCoapPost,
              backend.next_message_id++, CoapToken::FromInteger(1))
      .Option(kOptionUriPath, "rd")
      .Option(kOptionUriQuery, "ep=" + backend.name)
      .Option(kOptionUriQuery, "d=" + backend.service)
      .Option(kOptionUriQuery, "lt=10")
      .Option(kOptionUriQuery, "slots=" + std::to_string(backend.slots))
      .Option(kOptionUriQuery, "epoch=" + std::to_string(backend.epoch));
  const auto n = static_cast<std::uint32_t>(RandomRunningVm());
  Transmit(backend.address, {0x7f000001 + n, 5684}, bytes);
  const Duration pause = backend.location.empty()
                             ? std::chrono::milliseconds(500)
                             : kRegistrationRenewal;
  ScheduleAfter(pause, [this, name = backend.name] {
    RegisterBackend(backends_.at(name));
  });
}

void EntryWorld::OnBackendDatagram(Backend& backend, SocketAddress from,
                                   const Bytes& bytes) {
  const CoapMessage* message = parser_.Parse(bytes);
  if (message == nullptr) {
    Violation("backend server got a malformed datagram");
    return;
  }
  if (message->code == kCoapEmpty) {
    if (message->type == CoapType::kReset) {
      ++backend.resets;
      backend.cancelled.insert(message->message_id);
    }
    return;
  }
  if (message->IsResponse()) {
    if (message->code == kCoapCreated) {
      backend.location = ToText(message->options().back().value);
    } else {
      Log(backend.name + " refused: " + ToText(message->payload));
    }
    return;
  }
  if (message->UriHost() != backend.service) {
    Violation(backend.name + " of " + backend.service + " got a request for " +
              std::string(message->UriHost()));
    return;
  }
  const bool duplicate =
      !backend.received_ids.emplace(message->message_id, true).second;
  if (!duplicate) {
    ServeRequest(backend, from, *message);
  }
}

void EntryWorld::ServeRequest(Backend& backend, SocketAddress from,
                              const CoapMessage& message) {
  ++backend.requests;
  const CoapToken token = message.token;
  const std::uint16_t id = message.message_id;
  Bytes answer;
  if (backend.mode == BackendMode::kSilent) {
    return;
  }
  if (backend.mode == BackendMode::kReset) {
    CoapBuilder(answer, CoapType::kReset, kCoapEmpty, id, CoapToken{});
    Transmit(backend.address, from, answer);
    return;
  }
  if (backend.mode == BackendMode::kShed) {
    CoapBuilder(answer, CoapType::kAck, kCoapUnavailable, id, token)
        .UintOption(kOptionMaxAge, 1);
    Transmit(backend.address, from, answer);
    return;
  }
  const std::string body = ToText(message.Option(kOptionName).value());
  Request& request = FindRequest(body);
  ++request.runs;
  request.served_by.insert(backend.name);
  Log(backend.name + " runs " + body);
  if (!request.idempotent && request.runs > 1) {
    Violation(body + " ran " + std::to_string(request.runs) + " times");
  }
  if (request.answers > 0 && SaysNotRun(request.body)) {
    Violation(body + " runs after it was answered as not run");
  }
  if (backend.mode == BackendMode::kDieAfter) {
    backend.running = false;
    return;
  }
  const bool separate = backend.mode == BackendMode::kSeparate;
  if (separate) {
    Bytes ack;
    CoapBuilder(ack, CoapType::kAck, kCoapEmpty, id, CoapToken{});
    Transmit(backend.address, from, ack);
  }
  const CoapBlock block = message.Block(kOptionBlock2).value_or(CoapBlock{});
  CoapBuilder builder(answer,
                      separate ? CoapType::kConfirmable : CoapType::kAck,
                      request.idempotent ? kCoapContent : kCoapChanged,
                      separate ? backend.next_message_id++ : id, token);
  if (backend.blocks > 1) {
    builder.Option(kOptionETag, backend.tag);
    builder.BlockOption(kOptionBlock2,
                        {block.number, block.number + 1 < backend.blocks, 2});
  }
  builder.Payload(Span("ran:" + body));
  AnswerRequest(backend, from, answer);
}

void EntryWorld::AnswerRequest(Backend& backend, SocketAddress from,
                               const Bytes& answer) {
  const int copies = backend.mode == BackendMode::kDouble ? 2 : 1;
  for (int n = 0; n < copies; ++n) {
    ScheduleAfter(backend.delay * (n + 1),
                  [this, name = backend.name, from, answer] {
                    const Backend& it = backends_.at(name);
                    if (it.running) {
                      Transmit(it.address, from, answer);
                    }
                  });
  }
}

EntryWorld::Request& EntryWorld::FindRequest(const std::string& name) {
  const auto it = requests_.find(name);
  if (it == requests_.end()) {
    throw scenario::Failure("no such request: " + name);
  }
  return it->second;
}

}  // namespace vanillalatch::internal
