// Options of `vanillalatch ctl`.
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

struct CtlOptions {
  bool help = false;
  bool json = false;
  bool wait = false;
  bool dry_run = false;
  std::string command;
  std::vector<std::string> arguments;  // Behind the command.
  std::vector<SocketAddress> control;
  Duration timeout = std::chrono::seconds(10);       // Of one call.
  Duration wait_timeout = std::chrono::seconds(30);  // Of --wait.
  std::string author;
  std::string change_id;                       // Empty: a new one.
  std::optional<std::uint64_t> from_revision;  // Default: the current one.
  std::uint32_t limit = 20;                    // Changes that history shows.
};

// Throws Error with kInvalidArgument, also for an option that the command does
// not take.
CtlOptions ParseCtlOptions(const std::vector<std::string>& arguments);

void PrintCtlHelp(std::ostream& out);

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_CLI_CTL_OPTIONS_H_
