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
struct ControlVoter {
  std::string vm;
  SocketAddress address;
  std::string data_center;
};
struct ControlSettings {
  SocketAddress listen;  // gRPC.
  std::string data_folder;
  std::vector<ControlVoter> voters;
};

// {"vm": "NAME", "data_center": "NAME", "entry": {...}, "control": {...},
//  "log": {"level": "info", "file": "PATH"}, "trace_file": "PATH",
//  "metrics": "A:P"}
// At least one of entry and control must be present.
struct Settings {
  std::string vm;
  std::string data_center;
  std::optional<EntrySettings> entry;
  std::optional<ControlSettings> control;
  std::string log_level = "info";  // trace, debug, info, warn or error.
  std::string log_file;            // Empty: standard error.
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
