// The fake callers of EntryWorld, and the network fabric that routes their
// datagrams to the VMs.
#include <algorithm>
#include <utility>

#include "src/entry/entry_world_text.h"

namespace vanillalatch::internal {
namespace {

constexpr std::uint32_t kCallerIpBase = 0x7f020000;  // 127.2.X.N
constexpr std::uint16_t kCallerFirstPort = 40000;
constexpr Duration kAckTimeout = std::chrono::seconds(2);  // RFC 7252
constexpr int kMaxRetransmit = 4;                          // RFC 7252

std::string Concatenate(std::initializer_list<std::string_view> parts) {
  std::string text;
  for (const std::string_view it : parts) {
    text.append(it);
  }
  return text;
}

}  // namespace

// Returns a random running VM, as the fabric selects one. A frozen VM is
// running.
std::size_t EntryWorld::RandomRunningVm() {
  std::vector<std::size_t> running;
  for (std::size_t n = 0; n < vms_.size(); ++n) {
    if (vms_[n].node != nullptr) {
      running.push_back(n);
    }
  }
  if (running.empty()) {
    return 0;
  }
  return running[std::uniform_int_distribution<std::size_t>(
      0, running.size() - 1)(random_)];
}

// send NAME to=SERVICE [method=POST] [by=CALLER] [via=VM] [deadline=T]
//   [block=N] [issued=T-ago] [id=N] [non=yes]; resend NAME [via=VM]; cancel
//   NAME
void EntryWorld::Send(const scenario::Step& step) {
  const std::string name = step.Word(0);
  const std::size_t via = step.named.contains("via")
                              ? VmIndex(step.Named("via", ""))
                              : RandomRunningVm();
  if (step.verb == "cancel") {
    Request& request = FindRequest(name);
    request.cancelled = true;
    Log("caller cancels " + name + " at " + vms_[via].name);
    Bytes bytes;
    CoapBuilder(bytes, CoapType::kReset, kCoapEmpty, request.message_id,
                CoapToken{});
    Transmit(request.caller,
             {0x7f000001 + static_cast<std::uint32_t>(via), 5683}, bytes);
    return;
  }
  if (step.verb == "resend") {
    SendRequest(FindRequest(name), via);
    return;
  }
  Request& request = requests_[name];
  request.name = name;
  const std::string by = step.Named("by", name);
  const auto port =
      static_cast<std::uint16_t>(kCallerFirstPort + callers_.size() % 20000);
  request.caller =
      callers_.try_emplace(by, SocketAddress{kCallerIpBase + 1, port})
          .first->second;
  request.token = CoapToken::FromInteger(next_token_++);
  request.message_id = message_ids_[request.caller]++;
  request.confirmable = step.Named("non", "no") == "no";
  request.idempotent = step.Named("method", "GET") != "POST";
  request.sent = now_;
  CoapBuilder builder(
      request.datagram,
      request.confirmable ? CoapType::kConfirmable : CoapType::kNonConfirmable,
      request.idempotent ? kCoapGet : kCoapPost, request.message_id,
      request.token);
  builder.Option(kOptionUriHost, step.Named("to", "records"));
  builder.Option(kOptionUriPath, step.Named("path", name));
  if (step.named.contains("block")) {
    builder.BlockOption(
        kOptionBlock2,
        {static_cast<std::uint32_t>(step.NamedNumber("block", 0)), false, 2});
  }
  if (step.named.contains("deadline")) {
    builder.UintOption(kOptionDeadline,
                       std::chrono::duration_cast<std::chrono::milliseconds>(
                           step.NamedTime("deadline", {}))
                           .count());
  }
  if (step.Named("issued", "no") == "yes") {
    builder.UintOption(
        kOptionIssued,
        1'700'000'000'000 +
            std::chrono::duration_cast<std::chrono::milliseconds>(
                now_.time_since_epoch())
                .count());
  }
  if (step.named.contains("id")) {
    builder.Option(kOptionRequestId,
                   CoapToken::FromInteger(step.NamedNumber("id", 0)).span());
  }
  builder.Option(kOptionName, name);
  SendRequest(request, via);
  if (request.confirmable) {
    ScheduleResend(name, kAckTimeout);
  }
}

// many N prefix=P over=T [callers=N] [posts=PERCENT] [to=SERVICE]
void EntryWorld::SendMany(const scenario::Step& step) {
  const std::uint64_t count = step.Number(0);
  const Duration over = step.NamedTime("over", std::chrono::seconds(1));
  const std::string prefix = step.Named("prefix", "m");
  const std::uint64_t callers = step.NamedNumber("callers", count);
  const std::uint64_t posts = step.NamedNumber("posts", 50);
  for (std::uint64_t n = 0; n < count; ++n) {
    scenario::Step each;
    each.verb = "send";
    each.words = {prefix + std::to_string(n)};
    each.named["to"] = step.Named("to", "records");
    each.named["by"] =
        step.Named("by", prefix) + "-caller-" + std::to_string(n % callers);
    each.named["method"] =
        std::uniform_int_distribution<std::uint64_t>(0, 99)(random_) < posts
            ? "POST"
            : "GET";
    for (const char* key : {"issued", "deadline"}) {
      if (step.named.contains(key)) {
        each.named[key] = step.Named(key, "");
      }
    }
    ScheduleAfter(
        over * static_cast<std::int64_t>(n) / static_cast<std::int64_t>(count),
        [this, each] { Send(each); });
  }
}

void EntryWorld::SendRequest(Request& request, std::size_t vm) {
  Log("caller sends " + request.name + " to " + vms_[vm].name);
  Transmit(request.caller, {0x7f000001 + static_cast<std::uint32_t>(vm), 5683},
           request.datagram);
}

// Resends up to four times with a doubled timeout each time (RFC 7252).
void EntryWorld::ScheduleResend(const std::string& name, Duration timeout) {
  ScheduleAfter(timeout, [this, name, timeout] {
    Request& request = FindRequest(name);
    if (request.answers > 0 || request.cancelled ||
        request.resends >= kMaxRetransmit) {
      return;
    }
    ++request.resends;
    SendRequest(request, RandomRunningVm());
    ScheduleResend(name, timeout * 2);
  });
}

void EntryWorld::OnCallerDatagram(SocketAddress caller, SocketAddress from,
                                  const Bytes& bytes) {
  const CoapMessage* message = parser_.Parse(bytes);
  if (message == nullptr || !message->IsResponse()) {
    return;
  }
  for (auto& [name, request] : requests_) {
    if (request.caller != caller || request.token != message->token) {
      continue;
    }
    const std::string body = ToText(message->payload);
    const bool ran = message->code < 0x80;
    if (ran && body != "ran:" + name) {
      Violation(Concatenate({name, " got the answer ", body}));
    }
    if (!ran && request.runs > 0 && SaysNotRun(body)) {
      Violation(Concatenate({name, " ran, but the answer says ", body}));
    }
    if (++request.answers == 1) {
      request.code = message->code;
      request.body = body;
      request.max_age = message->UintOption(kOptionMaxAge).value_or(0);
      request.answered = now_;
      Log(Concatenate({"answer to ", name, ": ",
                       std::to_string(message->code >> 5), ".",
                       std::to_string(message->code % 32), " ", body}));
    } else if (ran && request.code < 0x80 && message->code != request.code) {
      Violation(Concatenate({name, " got a second, different answer ", body}));
    }
    return;
  }
  Violation(Concatenate({"an answer that belongs to no request: ",
                         std::to_string(message->code >> 5), ".",
                         std::to_string(message->code % 32), " ",
                         ToText(message->payload), " to ", caller.ToString(),
                         " from ", from.ToString()}));
}

}  // namespace vanillalatch::internal
