// The settings file of one process: JSON with comments. Unknown keys, values of
// the wrong type and values out of range are errors. A file for a build of a
// higher feature level says so with the key "level"; its unknown keys are
// ignored, so that it can be installed before the new build.
//
//   Result<Settings> settings = ParseSettings("vm.json", text);
//
// The comment above each struct shows its JSON form. "A:P" stands for an IPv4
// address and port, such as "10.0.0.1:7000".
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
#include "vanillalatch/feature/feature_level.h"

namespace vanillalatch {

// The entry role: places callers' requests on backend servers.
//
// "entry": {"listen": "A:P", "backend": "A:P", "peer": "A:P", "admin": "A:P",
//           "seeds": ["A:P"], "control": ["A:P"], "drain_limit": "10s",
//           "backend_timeout": "5s"}
struct EntrySettings {
  SocketAddress listen;   // UDP, from callers.
  SocketAddress backend;  // UDP, from and to backend servers.
  SocketAddress peer;     // UDP, from entry VMs of this data centre.
  SocketAddress admin;    // gRPC, for `ctl explain`.
  // Peer sockets of entry VMs of this data centre; a starting VM joins through
  // them.
  std::vector<SocketAddress> seeds;
  std::vector<SocketAddress> control;  // gRPC addresses of control VMs.
  // A graceful stop waits at most this long for open requests.
  Duration drain_limit = std::chrono::seconds(10);
  // Deadline of a request that states none.
  Duration backend_timeout = std::chrono::seconds(5);
};

// A control VM that votes when the group of control VMs elects its leader and
// commits catalog changes.
struct ControlVoter {
  std::string vm;
  SocketAddress address;  // Its "listen" address.
  std::string data_center;
};

// The control role: replicates the catalog.
//
// "control": {"listen": "A:P", "data_folder": "PATH",
//             "voters": [{"vm": "NAME", "address": "A:P",
//                         "data_center": "NAME"}]}
// A control VM of a fleet may have "first_start" instead of "voters".
struct ControlSettings {
  SocketAddress listen;  // gRPC.
  std::string data_folder;
  std::vector<ControlVoter> voters;  // Empty with "first_start".
  // True: this VM may bootstrap a new group of control VMs. Set when the whole
  // fleet starts for the first time; the control VMs then find each other
  // through the seeds of the fleet.
  bool first_start = false;
};

// Membership of a fleet, whose VMs find each other through a few control VMs,
// the seeds. All VMs of a fleet use the same port numbers: `seeds` and
// `control` combine the IP address of each seed with the port of "listen" and
// with "control_port".
//
// "fleet": {"listen": "A:P", "seeds": ["A:P"], "control_port": P,
//           "link_mbit_per_s": 2.0}
struct FleetSettings {
  SocketAddress listen;                // UDP, from VMs of the fleet.
  std::vector<SocketAddress> seeds;    // Fleet sockets of control VMs.
  std::vector<SocketAddress> control;  // gRPC addresses of the same VMs.
  std::uint16_t control_port = 0;      // TCP, gRPC; of every control VM.
  // Rate of an entry VM's link, in each direction. It must be the same on all
  // entry VMs, as it decides which services have several dispatchers. Absent:
  // each service has one.
  std::optional<double> link_mbit_per_s;
};

// The flow role: forwards the packets of callers' flows to backend servers
// without parsing their payload. Requires "fleet".
//
// "flows": {"listen": "A:P", "drain_limit": "3s"}
struct FlowSettings {
  SocketAddress listen;  // UDP, from callers.
  // How long packets are still forwarded after a graceful stop begins.
  Duration drain_limit = std::chrono::seconds(3);
};

// HTTP servers ("doors") that speak the protocols of the platform on which the
// program runs.
//
// "doors": {"readiness": "A:P", "control": "A:P", "heartbeat": "1200ms"}
struct DoorSettings {
  std::optional<SocketAddress> readiness;  // Absent: no readiness server.
  std::optional<SocketAddress> control;    // Absent: no control server.
  // An endpoint is removed after this time without a heartbeat, which is ten
  // heartbeat intervals.
  Duration lease = std::chrono::seconds(12);
  Duration heartbeat = std::chrono::milliseconds(1200);  // Interval.
};

// A data centre of the deployment and the region that it is in.
//
// "data_centers": [{"name": "NAME", "region": "NAME"}]
struct DataCenterSettings {
  std::string name;
  std::string region;
};

// The whole file:
//
// {"vm": "NAME", "data_center": "NAME", "level": N,
//  "data_centers": [{"name": "NAME", "region": "NAME"}],
//  "entry": {...}, "control": {...},
//  "fleet": {...}, "flows": {...}, "doors": {...},
//  "log": {"level": "info", "file": "PATH"}, "trace_file": "PATH",
//  "metrics": "A:P"}
// At least one of "entry", "control" and "flows" must be present.
struct Settings {
  std::string vm;
  std::string data_center;
  // The feature level of the builds that know every key of the file.
  FeatureLevel level = kCurrentLevel;
  // "FILE:LINE: KEY" of each key that this build does not know. Empty unless
  // `level` is above that of this build.
  std::vector<std::string> ignored_keys;
  // All data centres. Empty: not known, and no region is known either.
  std::vector<DataCenterSettings> data_centers;
  std::optional<EntrySettings> entry;
  std::optional<ControlSettings> control;
  std::optional<FleetSettings> fleet;
  std::optional<FlowSettings> flows;
  DoorSettings doors;
  std::string log_level = "info";        // trace, debug, info, warn or error.
  std::string log_file;                  // Empty: standard output.
  std::string trace_file;                // Empty: no traces.
  std::optional<SocketAddress> metrics;  // HTTP; absent: no metrics.
};

// Parses and checks the text of a settings file. Error: kInvalidArgument with
// "FILE:LINE: KEY: expected ..., got ..."; a syntax error has no KEY.
Result<Settings> ParseSettings(std::string_view file_name,
                               std::string_view text);

// Reads a settings file and parses it. Errors: kNotFound if it can't be read,
// and those of ParseSettings().
Result<Settings> ReadSettings(const std::string& path);

}  // namespace vanillalatch

#endif  // VANILLALATCH_SETTINGS_SETTINGS_H_
