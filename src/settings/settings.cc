#include "vanillalatch/settings/settings.h"

#include <map>
#include <set>
#include <utility>

#include "vanillalatch/jsonc/document.h"

namespace vanillalatch {
namespace {

constexpr std::int64_t kMaxPort = 65535;
// Far above the number of builds that will ever exist; catches a port or a year
// that is written by mistake.
constexpr std::int64_t kMaxLevel = 1000;
// A crashed endpoint is detected when it does not answer flows, so the lease
// only has to remove endpoints to which no caller opens flows. It spans several
// heartbeats, as a network partition between VMs lasts for some of them.
constexpr int kHeartbeatsPerLease = 10;
constexpr Duration kMinHeartbeat = std::chrono::milliseconds(350);
constexpr Duration kMaxHeartbeat = std::chrono::minutes(10);
constexpr Duration kMinDrainLimit = std::chrono::milliseconds(100);
constexpr Duration kMaxDrainLimit = std::chrono::minutes(10);
// A link slower than the minimum can't carry the messages between VMs.
constexpr double kMinLinkMbit = 0.1;
constexpr double kMaxLinkMbit = 1'000'000;
constexpr Duration kMinBackendTimeout = std::chrono::milliseconds(10);
constexpr Duration kMaxBackendTimeout = std::chrono::minutes(2);

enum class Transport : std::uint8_t { kUdp, kTcp };

// The addresses of the sockets that this process opens; each may be used once
// per transport.
class ListenAddresses {
 public:
  // Returns the address in `value`; throws if another key has it already.
  SocketAddress ReadUnused(const JsonValue& value, Transport transport) {
    const SocketAddress address = value.Address();
    const auto [it, added] =
        used_by_.try_emplace({transport, address.Packed()}, value.path());
    if (!added) {
      value.Fail("an address that " + it->second + " does not use already");
    }
    return address;
  }

 private:
  // The path of the key that uses each transport and packed address.
  std::map<std::pair<Transport, std::uint64_t>, std::string> used_by_;
};

std::vector<SocketAddress> ReadAddresses(const JsonValue& list) {
  std::set<std::uint64_t> seen;  // Packed.
  std::vector<SocketAddress> addresses;
  for (const JsonValue& it : list.Items()) {
    const SocketAddress address = it.Address();
    if (!seen.insert(address.Packed()).second) {
      it.Fail("each address once");
    }
    addresses.push_back(address);
  }
  return addresses;
}

EntrySettings ReadEntry(const JsonValue& value, ListenAddresses& sockets) {
  value.CheckKeys({"listen", "backend", "peer", "admin", "seeds", "control",
                   "drain_limit", "backend_timeout"});
  EntrySettings entry;
  entry.listen = sockets.ReadUnused(value.At("listen"), Transport::kUdp);
  entry.backend = sockets.ReadUnused(value.At("backend"), Transport::kUdp);
  entry.peer = sockets.ReadUnused(value.At("peer"), Transport::kUdp);
  entry.admin = sockets.ReadUnused(value.At("admin"), Transport::kTcp);
  if (const JsonValue* it = value.Find("seeds")) {
    entry.seeds = ReadAddresses(*it);
  }
  entry.control = ReadAddresses(value.At("control"));
  if (entry.control.empty()) {
    value.At("control").Fail("at least one control VM's address");
  }
  if (const JsonValue* it = value.Find("drain_limit")) {
    entry.drain_limit = it->Time(kMinDrainLimit, kMaxDrainLimit);
  }
  if (const JsonValue* it = value.Find("backend_timeout")) {
    entry.backend_timeout = it->Time(kMinBackendTimeout, kMaxBackendTimeout);
  }
  return entry;
}

ControlVoter ReadVoter(const JsonValue& value) {
  value.CheckKeys({"vm", "address", "data_center"});
  return {value.At("vm").Name(), value.At("address").Address(),
          value.At("data_center").Name()};
}

std::vector<ControlVoter> ReadVoters(const JsonValue& list) {
  std::set<std::string> names;
  std::set<std::uint64_t> addresses;  // Packed.
  std::vector<ControlVoter> voters;
  for (const JsonValue& it : list.Items()) {
    const ControlVoter voter = ReadVoter(it);
    if (!names.insert(voter.vm).second) {
      it.At("vm").Fail("each voter's name once");
    }
    if (!addresses.insert(voter.address.Packed()).second) {
      it.At("address").Fail("each voter's address once");
    }
    voters.push_back(voter);
  }
  if (voters.empty()) {
    list.Fail("at least one voter");
  }
  return voters;
}

// Throws if the voters contradict this VM's own settings: its entry must have
// the same address and data centre, and no other voter may have its address.
void CheckOwnVoter(const JsonValue& list, const Settings& settings) {
  for (std::size_t i = 0; i < settings.control->voters.size(); ++i) {
    const ControlVoter& voter = settings.control->voters[i];
    const JsonValue& value = list.Items()[i];
    if (voter.vm != settings.vm) {
      if (voter.address == settings.control->listen) {
        value.At("address").Fail("another address than this VM's \"listen\"");
      }
      continue;
    }
    if (voter.address != settings.control->listen) {
      value.At("address").Fail("the address of this VM's \"listen\", \"" +
                               settings.control->listen.ToString() + "\"");
    }
    if (voter.data_center != settings.data_center) {
      value.At("data_center")
          .Fail("the data centre of this VM, \"" + settings.data_center + "\"");
    }
  }
}

ControlSettings ReadControl(const JsonValue& value, ListenAddresses& sockets) {
  value.CheckKeys({"listen", "data_folder", "voters", "first_start"});
  ControlSettings control;
  control.listen = sockets.ReadUnused(value.At("listen"), Transport::kTcp);
  control.data_folder = value.At("data_folder").Text();
  if (control.data_folder.empty()) {
    value.At("data_folder").Fail("the path of a folder");
  }
  if (const JsonValue* it = value.Find("first_start")) {
    control.first_start = it->Flag();
    if (const JsonValue* voters = value.Find("voters")) {
      voters->Fail("no list beside \"first_start\"");
    }
    return control;
  }
  control.voters = ReadVoters(value.At("voters"));
  return control;
}

// Only the IP address of each seed is used: the ports are the same on all VMs
// of a fleet.
FleetSettings ReadFleet(const JsonValue& value, ListenAddresses& sockets) {
  value.CheckKeys({"listen", "seeds", "control_port", "link_mbit_per_s"});
  FleetSettings fleet;
  fleet.listen = sockets.ReadUnused(value.At("listen"), Transport::kUdp);
  fleet.control_port =
      static_cast<std::uint16_t>(value.At("control_port").Integer(1, kMaxPort));
  for (const SocketAddress& it : ReadAddresses(value.At("seeds"))) {
    fleet.seeds.push_back({it.ip, fleet.listen.port});
    fleet.control.push_back({it.ip, fleet.control_port});
  }
  if (const JsonValue* it = value.Find("link_mbit_per_s")) {
    fleet.link_mbit_per_s = it->Number(kMinLinkMbit, kMaxLinkMbit);
  }
  return fleet;
}

FlowSettings ReadFlows(const JsonValue& value, ListenAddresses& sockets) {
  value.CheckKeys({"listen", "drain_limit"});
  FlowSettings flows;
  flows.listen = sockets.ReadUnused(value.At("listen"), Transport::kUdp);
  if (const JsonValue* it = value.Find("drain_limit")) {
    flows.drain_limit = it->Time(kMinDrainLimit, kMaxDrainLimit);
  }
  return flows;
}

DoorSettings ReadDoors(const JsonValue& value, ListenAddresses& sockets) {
  value.CheckKeys({"readiness", "control", "heartbeat"});
  DoorSettings doors;
  if (const JsonValue* it = value.Find("readiness")) {
    doors.readiness = sockets.ReadUnused(*it, Transport::kTcp);
  }
  if (const JsonValue* it = value.Find("control")) {
    doors.control = sockets.ReadUnused(*it, Transport::kTcp);
  }
  if (const JsonValue* it = value.Find("heartbeat")) {
    doors.heartbeat = it->Time(kMinHeartbeat, kMaxHeartbeat);
    doors.lease = kHeartbeatsPerLease * doors.heartbeat;
  }
  return doors;
}

// Names and regions may be any text: they come from a list that covers the
// whole deployment, and a name that this VM does not use must not prevent its
// start.
std::vector<DataCenterSettings> ReadDataCenters(const JsonValue& list,
                                                const std::string& own) {
  std::set<std::string> names;
  std::vector<DataCenterSettings> data_centers;
  for (const JsonValue& it : list.Items()) {
    it.CheckKeys({"name", "region"});
    const std::string name = it.At("name").Text();
    if (name.empty() || !names.insert(name).second) {
      it.At("name").Fail("each data centre's name once");
    }
    data_centers.push_back({name, it.At("region").Text()});
  }
  if (!data_centers.empty() && !names.contains(own)) {
    list.Fail("this VM's \"data_center\", \"" + own + "\"");
  }
  return data_centers;
}

void ReadLog(const JsonValue& value, Settings& settings) {
  value.CheckKeys({"level", "file"});
  if (const JsonValue* it = value.Find("level")) {
    it->Choice({"trace", "debug", "info", "warn", "error"});
    settings.log_level = it->Text();
  }
  if (const JsonValue* it = value.Find("file")) {
    settings.log_file = it->Text();
  }
}

Settings ReadRoot(const JsonValue& root) {
  root.CheckKeys({"vm", "data_center", "level", "data_centers", "entry",
                  "control", "fleet", "flows", "doors", "log", "trace_file",
                  "metrics"});
  Settings settings;
  ListenAddresses sockets;
  settings.vm = root.At("vm").Name();
  settings.data_center = root.At("data_center").Name();
  if (const JsonValue* it = root.Find("data_centers")) {
    settings.data_centers = ReadDataCenters(*it, settings.data_center);
  }
  if (const JsonValue* it = root.Find("entry")) {
    settings.entry = ReadEntry(*it, sockets);
  }
  if (const JsonValue* it = root.Find("control")) {
    settings.control = ReadControl(*it, sockets);
    if (it->Find("voters") != nullptr) {
      CheckOwnVoter(it->At("voters"), settings);
    }
  }
  if (const JsonValue* it = root.Find("fleet")) {
    settings.fleet = ReadFleet(*it, sockets);
  }
  if (const JsonValue* it = root.Find("flows")) {
    settings.flows = ReadFlows(*it, sockets);
  }
  if (const JsonValue* it = root.Find("doors")) {
    settings.doors = ReadDoors(*it, sockets);
  }
  if (!settings.entry && !settings.control && !settings.flows) {
    root.Fail("\"entry\", \"control\" or \"flows\"");
  }
  if (settings.flows && !settings.fleet) {
    root.Fail("\"fleet\" beside \"flows\"");
  }
  if (settings.control && settings.control->voters.empty() && !settings.fleet) {
    root.Fail("\"fleet\" beside \"control\" without \"voters\"");
  }
  if (const JsonValue* it = root.Find("log")) {
    ReadLog(*it, settings);
  }
  if (const JsonValue* it = root.Find("trace_file")) {
    settings.trace_file = it->Text();
  }
  if (const JsonValue* it = root.Find("metrics")) {
    settings.metrics = sockets.ReadUnused(*it, Transport::kTcp);
  }
  return settings;
}

FeatureLevel ReadLevel(const JsonValue& root) {
  const JsonValue* level = root.Find("level");
  return level == nullptr ? kCurrentLevel
                          : FeatureLevel{static_cast<std::uint32_t>(
                                level->Integer(1, kMaxLevel))};
}

}  // namespace

Result<Settings> ParseSettings(std::string_view file_name,
                               std::string_view text) {
  Result<JsonDocument> file = JsonDocument::Parse(file_name, text);
  if (!file.ok()) {
    return file.error();
  }
  try {
    const FeatureLevel level = ReadLevel(file->root());
    const auto ignored_keys =
        level > kCurrentLevel ? file->IgnoreUnknownKeys() : nullptr;
    Settings settings = ReadRoot(file->root());
    settings.level = level;
    if (ignored_keys != nullptr) {
      settings.ignored_keys = *ignored_keys;
    }
    return settings;
  } catch (const Error& e) {
    return e;
  }
}

Result<Settings> ReadSettings(const std::string& path) {
  const Result<std::string> text = ReadWholeFile(path);
  if (!text.ok()) {
    return text.error();
  }
  return ParseSettings(path, *text);
}

}  // namespace vanillalatch
