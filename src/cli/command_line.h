// Runs the command line of the program:
// `vanillalatch serve|check|ctl|logs|version`.
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

// The output streams of a command: results go to `out`, errors and progress to
// `err`.
struct Console {
  std::ostream& out;
  std::ostream& err;
};

// Runs a server process until it is stopped and returns the exit code. `path`
// is the file from which the settings were read.
using ServeFunction =
    std::function<int(const Settings&, const std::string& path)>;

// Runs one command and returns the exit code: 0 on success, otherwise the exit
// code of the error's kind. Prints errors to `console.err` and does not throw.
// `arguments` excludes the name of the program; `serve` runs the command serve.
int RunCommandLine(const std::vector<std::string>& arguments,
                   const ServeFunction& serve, Console console);

// Runs `vanillalatch ctl` with the arguments after "ctl" and returns the exit
// code. Throws Error.
int RunCtl(const std::vector<std::string>& arguments, Console console);

// Runs `vanillalatch logs` with the arguments after "logs" and returns the exit
// code. Throws Error.
int RunLogs(const std::vector<std::string>& arguments, Console console);

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_CLI_COMMAND_LINE_H_
