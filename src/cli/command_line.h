// The command line: `vanillalatch serve|check|ctl|logs|version`.
//
//   Console console{std::cout, std::cerr};
//   return RunCommandLine({"check", "vm.json"}, &RunServe, console);
#ifndef VANILLALATCH_SRC_CLI_COMMAND_LINE_H_
#define VANILLALATCH_SRC_CLI_COMMAND_LINE_H_

#include <functional>
#include <ostream>
#include <string>
#include <vector>

#include "vanillalatch/settings/settings.h"

namespace vanillalatch {

// Where a command writes: results to `out`, errors and progress to `err`.
struct Console {
  std::ostream& out;
  std::ostream& err;
};

// Runs a process with the settings of a file until it is stopped; returns the
// exit code.
using ServeFunction =
    std::function<int(const Settings&, const std::string& path)>;

// Runs one command and returns the exit code: 0 if it did its work, else the
// exit code of the error's kind. Throws nothing.
int RunCommandLine(const std::vector<std::string>& arguments,
                   const ServeFunction& serve, Console console);

// `vanillalatch ctl`, see ctl_command.cc. Throws Error.
int RunCtl(const std::vector<std::string>& arguments, Console console);

// `vanillalatch logs`, see logs_command.cc. Throws Error.
int RunLogs(const std::vector<std::string>& arguments, Console console);

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_CLI_COMMAND_LINE_H_
