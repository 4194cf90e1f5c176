// Settings of one process: JSON with comments, strictly checked.
//
//   Result<Settings> settings = ParseSettings("vm.json", text);
#ifndef VANILLALATCH_SETTINGS_SETTINGS_H_
#define VANILLALATCH_SETTINGS_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "vanillalatch/base/address.h"
#include "vanillalatch/base/result.h"
#include "vanillalatch/base/time.h"

namespace vanillalatch {

// "entry": {"listen": "A:P", "backend": "A:P", "peer": "A:P", "admin": "A:P",
//           "seeds": ["A:P"], "control": ["A:P"], "drain_limit": "10s",
//           "backend_timeout": "5s"}
struct EntrySettings {
  SocketAddress listen;                // UDP, callers.
  SocketAddress backend;               // UDP, backend servers.
  SocketAddress peer;                  // UDP, entry VMs of the data centre.
  SocketAddress admin;                 // gRPC, for `ctl explain`.
  std::vector<SocketAddress> seeds;    // Peer sockets of the data centre.
  std::vector<SocketAddress> control;  // gRPC of control VMs.
  Duration drain_limit = std::chrono::seconds(10);
  Duration backend_timeout = std::chrono::seconds(5);
};

// "control": {"listen": "A:P", "data_folder": "PATH",
//             "voters": [{"vm": "NAME", "address": "A:P",
//                         "data_center": "NAME"}]}
// or, in a fleet, "first_start" in the place of "voters".
struct ControlVoter {
  std::string vm;
  SocketAddress address;
  std::string data_center;
};
struct ControlSettings {
  SocketAddress listen;  // gRPC.
  std::string data_folder;
  std::vector<ControlVoter> voters;
  // The control VMs of a fleet are found through its seeds; these found the
  // group when the whole fleet starts for the first time.
  bool first_start = false;
};

// "fleet": {"listen": "A:P", "seeds": ["A:P"], "control_port": P}
// The VMs of a fleet find each other through a few control VMs; all of them
// use the same port numbers.
struct FleetSettings {
  SocketAddress listen;                // UDP, VMs of the fleet.
  std::vector<SocketAddress> seeds;    // Fleet sockets of control VMs.
  std::vector<SocketAddress> control;  // gRPC of the same VMs.
};

// "flows": {"listen": "A:P", "drain_limit": "3s"}
// This VM carries packets of flows unread; needs "fleet".
struct FlowSettings {
  SocketAddress listen;  // UDP, callers' packets.
  // After a planned stop begins, packets are carried for this long.
  Duration drain_limit = std::chrono::seconds(3);
};

// "doors": {"readiness": "A:P", "control": "A:P", "heartbeat": "1200ms"}
// HTTP doors for the protocols of the machines that the program runs on.
struct DoorSettings {
  std::optional<SocketAddress> readiness;
  std::optional<SocketAddress> control;
  // How long an endpoint counts without a heartbeat: ten are missed.
  Duration lease = std::chrono::seconds(12);
  Duration heartbeat = std::chrono::milliseconds(1200);
};

// {"vm": "NAME", "data_center": "NAME", "entry": {...}, "control": {...},
//  "fleet": {...}, "flows": {...}, "doors": {...},
//  "log": {"level": "info", "file": "PATH"}, "trace_file": "PATH",
//  "metrics": "A:P"}
// At least one of entry, control and flows must be present.
struct Settings {
  std::string vm;
  std::string data_center;
  std::optional<EntrySettings> entry;
  std::optional<ControlSettings> control;
  std::optional<FleetSettings> fleet;
  std::optional<FlowSettings> flows;
  DoorSettings doors;
  std::string log_level = "info";  // trace, debug, info, warn or error.
  std::string log_file;            // Empty: standard output.
  std::string trace_file;          // Empty: no traces.
  std::optional<SocketAddress> metrics;
};

// Error: kInvalidArgument with "FILE:LINE: key: what was expected".
Result<Settings> ParseSettings(std::string_view file_name,
                               std::string_view text);

// Reads the file, then ParseSettings(). Errors: kNotFound, kInvalidArgument.
Result<Settings> ReadSettings(const std::string& path);

}  // namespace vanillalatch

#endif  // VANILLALATCH_SETTINGS_SETTINGS_H_
