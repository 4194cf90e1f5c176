// The command-line options of `vanillalatch ctl`.
#ifndef VANILLALATCH_SRC_CLI_CTL_OPTIONS_H_
#define VANILLALATCH_SRC_CLI_CTL_OPTIONS_H_

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "vanillalatch/base/address.h"
#include "vanillalatch/base/time.h"

namespace vanillalatch {

// Parsed arguments of `vanillalatch ctl`. Options that were left out have their
// default.
struct CtlOptions {
  bool help = false;
  bool json = false;
  bool wait = false;
  bool dry_run = false;
  bool end = false;
  std::string command;
  std::vector<std::string> arguments;  // Those after the command.
  std::vector<SocketAddress> control;  // gRPC addresses of control VMs.
  // Timeout of one call with its retries, and of --wait.
  Duration timeout = std::chrono::seconds(10);
  Duration wait_timeout = std::chrono::seconds(30);
  std::string author;
  std::string change_id;                       // Empty: generate one.
  std::optional<std::uint64_t> from_revision;  // Absent: the current revision.
  std::uint32_t limit = 20;  // Maximum number of changes in history.
};

// Parses the arguments after `vanillalatch ctl`. Throws Error with
// kInvalidArgument for arguments that are wrong or that the command does not
// take.
CtlOptions ParseCtlOptions(const std::vector<std::string>& arguments);

// Prints the usage of `vanillalatch ctl` with all options.
void PrintCtlHelp(std::ostream& out);

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_CLI_CTL_OPTIONS_H_
