#include "src/cli/command_line.h"

#include <map>

#include "src/cli/parse_options.h"
#include "vanillalatch/base/error.h"
#include "vanillalatch/catalog/catalog_file.h"
#include "vanillalatch/jsonc/document.h"

namespace vanillalatch {
namespace {

namespace po = boost::program_options;

constexpr std::string_view kUsage =
    R"(Usage: vanillalatch COMMAND [OPTIONS]

Commands:
  serve --config FILE   Run an entry VM, a control VM or both.
  check FILE...         Check settings and catalog files; change nothing.
  logs COMMAND          Find out from the logs of VMs why a flow failed.
  ctl COMMAND           Inspect the running system and change its catalog.
  version               Print the version.

`vanillalatch COMMAND --help` describes a command.
)";

constexpr std::string_view kServeUsage =
    R"(Usage: vanillalatch serve --config FILE

Runs the roles that the settings name until SIGTERM or SIGINT, which stop it
gracefully. SIGHUP reloads the settings.
)";

constexpr std::string_view kCheckUsage =
    R"(Usage: vanillalatch check FILE...

Checks each file as a catalog if it has the key "services", else as settings.
Every error is shown as FILE:LINE: KEY: expected ..., got ...
)";

// Returns the help text with each exit code and its error kinds, from the table
// of error kinds.
std::string ExitCodeHelp() {
  std::map<int, std::string> kinds;
  for (const ErrorAnswer& it : ErrorAnswers()) {
    std::string& names = kinds[it.exit_code];
    names += (names.empty() ? "" : ", ") + std::string(it.name);
  }
  std::string text = "\nExit codes:\n  0   done\n";
  for (const auto& [code, names] : kinds) {
    constexpr std::size_t kColumn = 4;
    std::string number = std::to_string(code);
    number.resize(kColumn, ' ');
    text.append("  ").append(number).append(names).append("\n");
  }
  return text;
}

int RunServeCommand(const std::vector<std::string>& arguments,
                    const ServeFunction& serve, Console console) {
  po::options_description options("Options");
  options.add_options()("help,h", "Show this text.")(
      "config,c", po::value<std::string>(), "The settings file.");
  const po::variables_map values =
      ParseOptions(arguments, options, "config", 1);
  if (values.contains("help")) {
    console.out << kServeUsage << "\n" << options << ExitCodeHelp();
    return 0;
  }
  if (!values.contains("config")) {
    throw Error(ErrorKind::kInvalidArgument, "expected --config FILE");
  }
  const std::string& path = values["config"].as<std::string>();
  return serve(ReadSettings(path).value(), path);
}

void CheckCatalog(const std::string& path, const std::string& text,
                  Console console) {
  const pb::Change change = ParseCatalogFile(path, text).value();
  console.out << path << ": catalog of " << change.services_size()
              << " services: valid\n";
}

void CheckSettings(const std::string& path, const std::string& text,
                   Console console) {
  const Settings settings = ParseSettings(path, text).value();
  for (const std::string& it : settings.ignored_keys) {
    console.err << it << ": unknown key, ignored by this build of level "
                << kCurrentLevel.value() << "; the file is for level "
                << settings.level.value() << "\n";
  }
  console.out << path << ": settings of VM " << settings.vm
              << " in data centre " << settings.data_center << ", role "
              << (settings.entry ? "entry" : "")
              << (settings.entry && settings.control ? " and " : "")
              << (settings.control ? "control" : "") << ": valid\n";
}

void CheckFile(const std::string& path, Console console) {
  const std::string text = ReadWholeFile(path).value();
  const JsonDocument file = JsonDocument::Parse(path, text).value();
  if (file.root().Find("services") != nullptr) {
    CheckCatalog(path, text, console);
  } else {
    CheckSettings(path, text, console);
  }
}

int RunCheck(const std::vector<std::string>& arguments, Console console) {
  po::options_description options("Options");
  options.add_options()("help,h", "Show this text.")(
      "file", po::value<std::vector<std::string>>(),
      "A settings or catalog file.");
  const po::variables_map values = ParseOptions(arguments, options, "file", -1);
  if (values.contains("help")) {
    console.out << kCheckUsage << ExitCodeHelp();
    return 0;
  }
  if (!values.contains("file")) {
    throw Error(ErrorKind::kInvalidArgument, "expected at least one file");
  }
  int exit_code = 0;
  for (const auto& path : values["file"].as<std::vector<std::string>>()) {
    try {
      CheckFile(path, console);
    } catch (const Error& e) {
      console.err << e.what() << "\n";
      exit_code = AnswerFor(e.kind()).exit_code;
    }
  }
  return exit_code;
}

int Dispatch(const std::vector<std::string>& arguments,
             const ServeFunction& serve, Console console) {
  if (arguments.empty()) {
    throw Error(ErrorKind::kInvalidArgument, "expected a command");
  }
  const std::string& command = arguments.front();
  const std::vector<std::string> rest(arguments.begin() + 1, arguments.end());
  if (command == "serve") {
    return RunServeCommand(rest, serve, console);
  }
  if (command == "check") {
    return RunCheck(rest, console);
  }
  if (command == "ctl") {
    return RunCtl(rest, console);
  }
  if (command == "logs") {
    return RunLogs(rest, console);
  }
  if (command == "version" || command == "--version") {
    console.out << "vanillalatch " << VL_VERSION << "\n";
    return 0;
  }
  if (command == "--help" || command == "-h" || command == "help") {
    console.out << kUsage << ExitCodeHelp();
    return 0;
  }
  throw Error(ErrorKind::kInvalidArgument,
              "unknown command \"" + command + "\"");
}

}  // namespace

int RunCommandLine(const std::vector<std::string>& arguments,
                   const ServeFunction& serve, Console console) {
  try {
    return Dispatch(arguments, serve, console);
  } catch (const Error& e) {
    console.err << "vanillalatch: " << e.what() << "\n";
    if (arguments.empty()) {
      console.err << kUsage;
    }
    return AnswerFor(e.kind()).exit_code;
  } catch (const po::error& e) {
    console.err << "vanillalatch: " << e.what()
                << "; --help shows the options\n";
    return AnswerFor(ErrorKind::kInvalidArgument).exit_code;
  } catch (const std::exception& e) {
    console.err << "vanillalatch: " << e.what() << "\n";
    return AnswerFor(ErrorKind::kInternal).exit_code;
  }
}

}  // namespace vanillalatch
