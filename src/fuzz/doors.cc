#include "src/fuzz/doors.h"

#include <cstdlib>
#include <map>
#include <memory>
#include <string>

#include "control.pb.h"
#include "platform/messages.h"
#include "platform/packet_codec.h"
#include "src/runtime/stored_endpoints.h"
#include "vanillalatch/catalog/catalog_feed.h"
#include "vanillalatch/catalog/catalog_file.h"
#include "vanillalatch/explain/story.h"
#include "vanillalatch/packetflow/peer_node.h"
#include "vanillalatch/packetflow/route_table.h"
#include "vanillalatch/registry/registry.h"
#include "vanillalatch/settings/settings.h"
#include "vanillalatch/storage/record_file.h"
#include "vanillalatch/wire/coap.h"

namespace vanillalatch::fuzz {
namespace {

using std::chrono::seconds;

constexpr TimePoint kNow{seconds(100)};
constexpr std::int64_t kUnixMs = 1'767'915'867'480;
constexpr std::size_t kMaxDatagramBytes = 1'200;

// Ends the process unless `holds`: the fuzzer reports the input.
void Require(bool holds) {
  if (!holds) {
    std::abort();
  }
}

ByteSpan ToBytes(std::string_view text) {
  return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

// The registry accepts or refuses what is decoded, and can send on what it
// accepts.
void ReadHeartbeat(std::string_view body) {
  const Result<platform::Heartbeat> heartbeat =
      platform::DecodeHeartbeat("i-7f", body, seconds(12), kUnixMs);
  if (!heartbeat.ok()) {
    return;
  }
  RegistryOptions options;
  options.epochs_are_start_times = true;
  const auto registry = Registry::Create(options).value();
  if (registry->Register(kNow, heartbeat->registration).ok()) {
    pb::MembershipMessage message;
    registry->AppendLeases(kNow, false, 3, kMaxDatagramBytes, message);
    Require(message.leases_size() == 1);
    const auto peer = Registry::Create(options).value();
    peer->MergeLease(kNow, message.leases(0), true);
    Require(peer->EndpointsOf(heartbeat->registration.service).size() == 1);
  }
}

void ReadConfiguration(std::string_view body) {
  platform::UnknownValues unknown;
  const Result<pb::FlowTable> table = platform::DecodeFlowTable(body, &unknown);
  if (table.ok()) {
    const RouteTable routes = RouteTable::From(*table);
    for (const pb::FlowRoute& it : table->routes()) {
      const SocketAddress address{it.ip(),
                                  static_cast<std::uint16_t>(it.port())};
      Require(routes.Find(address) != nullptr);
    }
  }
}

void ReadPath(std::string_view target) {
  platform::ParseEvacuationPath(target);
  platform::ExtractInstanceName(target);
}

void ReadSettingsFile(std::string_view text) {
  static_cast<void>(ParseSettings("vm.json", std::string(text)));
}

void ReadCatalogFile(std::string_view text) {
  static_cast<void>(ParseCatalogFile("catalog.json", text));
}

void ReadPacket(std::string_view bytes) {
  const std::optional<FlowPacket> packet =
      platform::PlatformPacketCodec::Decode(ToBytes(bytes));
  if (packet) {
    Require(platform::PlatformPacketCodec::Reset(*packet).size() ==
            platform::PlatformPacketCodec::kHeaderBytes);
  }
}

void ReadCoap(std::string_view bytes) {
  static CoapParser parser = CoapParser::Create().value();
  const CoapMessage* message = parser.Parse(ToBytes(bytes));
  if (message != nullptr) {
    message->HasUnknownCriticalOption();
    message->Query("ep");
  }
}

void ReadPeerDatagram(std::string_view bytes) {
  MemberListOptions options;
  options.name = "vm";
  options.data_center = "fleet";
  options.peer = {1, 1};
  const auto node = PeerNode::Create(options, 1).value();
  Outbox out;
  node->OnTick(kNow, out);
  node->OnDatagram(kNow, {2, 2}, ToBytes(bytes), out);
  for (int n = 1; n <= 30; ++n) {
    node->OnTick(kNow + seconds(n), out);
  }
}

void ReadCatalogDifference(std::string_view bytes) {
  pb::SyncReply reply;
  if (reply.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    CatalogReceiver receiver;
    static_cast<void>(receiver.Receive(reply.deltas()));
  }
}

void ReadLogFile(std::string_view text) {
  FindRecordDamage(text);
  const Result<RecordScan> scan = DecodeRecords(text);
  Require(!scan.ok() || scan->valid_bytes <= text.size());
}

void ReadStoredEndpoints(std::string_view text) {
  StoredEndpoints::Restore(std::string(text), kUnixMs);
}

void ReadLogLine(std::string_view text) {
  static_cast<void>(LogLine::Parse(text));
}

}  // namespace

const Door* FindDoor(std::string_view name) {
  static const std::map<std::string, Door, std::less<>> kDoors = {
      {"heartbeat", ReadHeartbeat},
      {"configuration", ReadConfiguration},
      {"path", ReadPath},
      {"settings", ReadSettingsFile},
      {"catalog_file", ReadCatalogFile},
      {"packet", ReadPacket},
      {"coap", ReadCoap},
      {"peer", ReadPeerDatagram},
      {"catalog_difference", ReadCatalogDifference},
      {"records", ReadLogFile},
      {"stored_endpoints", ReadStoredEndpoints},
      {"log_line", ReadLogLine},
  };
  const auto it = kDoors.find(name);
  return it == kDoors.end() ? nullptr : &it->second;
}

}  // namespace vanillalatch::fuzz
