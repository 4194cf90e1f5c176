// The program `vanillalatch`.
#include <iostream>
#include <string>
#include <vector>

#include "src/cli/command_line.h"
#ifdef VL_HAS_SERVE
#include "platform/doors.h"
#include "vanillalatch/runtime/serve.h"
#endif

namespace {

int Serve(const vanillalatch::Settings& settings, const std::string& path) {
#ifdef VL_HAS_SERVE
  return vanillalatch::RunServe(settings, path,
                                &vanillalatch::platform::OpenDoors);
#else
  throw vanillalatch::Error(vanillalatch::ErrorKind::kUnsupported,
                            "this build has no servers");
#endif
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const vanillalatch::Console console{std::cout, std::cerr};
  return vanillalatch::RunCommandLine(arguments, &Serve, console);
}
