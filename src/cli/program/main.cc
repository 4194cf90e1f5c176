// The main function of the program `vanillalatch`. A build without the server
// libraries has all commands but `serve`.
#include <iostream>
#include <string>
#include <vector>

#include "src/cli/command_line.h"
#ifdef VL_HAS_SERVE
#include "platform/platform_adapter.h"
#include "vanillalatch/runtime/serve.h"
#endif

namespace {

int Serve(const vanillalatch::Settings& settings, const std::string& path) {
#ifdef VL_HAS_SERVE
  return vanillalatch::RunServe(settings, path,
                                &vanillalatch::platform::CreatePlatformAdapter);
#else
  throw vanillalatch::Error(vanillalatch::ErrorKind::kUnsupported,
                            "this build does not include the command serve");
#endif
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const vanillalatch::Console console{std::cout, std::cerr};
  return vanillalatch::RunCommandLine(arguments, &Serve, console);
}
