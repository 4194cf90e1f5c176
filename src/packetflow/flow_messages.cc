#include "src/packetflow/flow_messages.h"

#include <utility>

namespace vanillalatch::internal {
namespace {

// Stays below the maximum transmission unit, so that datagrams are not
// fragmented.
constexpr std::size_t kMaxMessageBytes = 1100;
// Maximum size of the tag and the length of one item in the encoded message.
constexpr std::size_t kItemOverheadBytes = 3;
// From this size on the length of an item takes two bytes in place of one.
constexpr std::size_t kMinTwoByteLength = 128;
// IPv4 and UDP headers of a datagram.
constexpr std::size_t kHeaderBytes = 28;

FlowId IdOf(SocketAddress caller, SocketAddress route) {
  FlowPacket packet;
  packet.caller = caller;
  packet.route = route;
  return packet.id();
}

}  // namespace

pb::FlowOpening ToMessage(const FlowOpening& opening, std::uint64_t revision,
                          MessageForm form) {
  pb::FlowOpening message;
  if (form == MessageForm::kFull ||
      opening.id != IdOf(opening.caller, opening.route)) {
    message.set_id(opening.id.value());
  }
  message.set_service(opening.service.value());
  message.set_revision(revision);
  message.set_route(opening.route.Packed());
  message.set_work_class(opening.work_class.value());
  message.set_timeout_ms(
      static_cast<std::uint32_t>(ToMilliseconds(opening.timeout)));
  message.set_sequence(opening.sequence);
  message.set_copy(opening.copy);
  message.set_age_ms(static_cast<std::uint32_t>(ToMilliseconds(opening.age)));
  message.set_data_center(opening.data_center);
  message.set_packet(opening.packet);
  message.set_caller(opening.caller.Packed());
  if (opening.hops > 0) {
    message.set_hops(opening.hops);
    message.set_shard(opening.shard);
  }
  return message;
}

FlowOpening FromMessage(const pb::FlowOpening& message) {
  FlowOpening opening;
  opening.service = ServiceId(message.service());
  opening.route = SocketAddress::FromPacked(message.route());
  opening.work_class = ClassId(message.work_class());
  opening.timeout = std::chrono::milliseconds(message.timeout_ms());
  opening.sequence = message.sequence();
  opening.copy = message.copy();
  opening.age = std::chrono::milliseconds(message.age_ms());
  opening.data_center = message.data_center();
  opening.packet = message.packet();
  opening.caller = SocketAddress::FromPacked(message.caller());
  opening.id = message.id() == 0 ? IdOf(opening.caller, opening.route)
                                 : FlowId(message.id());
  opening.hops = message.hops();
  opening.shard = message.hops() > 0 ? message.shard() : message.data_center();
  return opening;
}

void CountTraffic(const pb::FlowMessage& message, std::size_t bytes,
                  PeerTraffic& traffic) {
  std::size_t rest = bytes + kHeaderBytes;
  const auto count = [&](const auto& items, std::uint64_t& total) {
    for (const auto& it : items) {
      const std::size_t size = it.ByteSizeLong();
      const std::size_t n = size + (size < kMinTwoByteLength ? 2 : 3);
      total += n;
      rest -= n;
    }
  };
  count(message.openings(), traffic.openings);
  count(message.taken(), traffic.taken);
  count(message.seen(), traffic.seen);
  count(message.ends(), traffic.ends);
  traffic.other += rest;
}

std::vector<pb::FlowMessage> SplitIntoDatagrams(pb::FlowMessage message) {
  std::vector<pb::FlowMessage> parts;
  // Size of the last part. The initial value makes the first item start a part.
  std::size_t bytes = kMaxMessageBytes;
  const auto append_all = [&](auto& from, auto* (pb::FlowMessage::*add)()) {
    for (auto& it : from) {
      const std::size_t n = it.ByteSizeLong() + kItemOverheadBytes;
      if (bytes + n > kMaxMessageBytes) {
        parts.emplace_back();
        bytes = 0;
      }
      bytes += n;
      *(parts.back().*add)() = std::move(it);
    }
  };
  append_all(*message.mutable_openings(), &pb::FlowMessage::add_openings);
  append_all(*message.mutable_taken(), &pb::FlowMessage::add_taken);
  append_all(*message.mutable_seen(), &pb::FlowMessage::add_seen);
  append_all(*message.mutable_ends(), &pb::FlowMessage::add_ends);
  append_all(*message.mutable_loads(), &pb::FlowMessage::add_loads);
  for (pb::FlowMessage& it : parts) {
    if (it.taken_size() > 0) {
      it.set_form(static_cast<std::uint32_t>(MessageForm::kCompact));
    }
  }
  return parts;
}

}  // namespace vanillalatch::internal
