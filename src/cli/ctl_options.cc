#include "src/cli/ctl_options.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <sstream>
#include <string_view>

#include "src/cli/parse_options.h"
#include "vanillalatch/base/error.h"

namespace vanillalatch {
namespace {

namespace po = boost::program_options;

constexpr std::string_view kUsage =
    R"(Usage: vanillalatch ctl [OPTIONS] COMMAND

Commands:
  apply FILE         Replace the services of the catalog with those in FILE.
                     Shows the difference first. Takes --wait, --wait-timeout,
                     --dry-run, --author, --change-id and --from-revision.
  get                Show services, classes, targets and the revision, in the
                     format of a file for apply.
  status             Show VMs, endpoints, the services that each VM dispatches,
                     the revision of the catalog on each VM, and whether each
                     class meets its target.
  drain VM           Move the work of an entry VM to others. Takes --author.
  undrain VM         Let a drained entry VM take work again. Takes --author.
  evacuate DATACENTER
                     Send no new work to the endpoints of a data centre; with
                     --end, let them take work again. Takes --end, --wait,
                     --wait-timeout and --author.
  history            Show changes of the catalog, their authors and the
                     revisions they were made from. Takes --limit.
  explain REQUEST    Show what happened to a request, hop by hop.

)";

// The number of arguments and the options that a command takes, besides
// kCommonOptions.
struct CommandSpec {
  std::string_view name;
  std::size_t argument_count;
  std::vector<std::string_view> options;
};

const std::vector<CommandSpec>& Commands() {
  static const std::vector<CommandSpec> kCommands = {
      {"apply",
       1,
       {"wait", "wait-timeout", "dry-run", "author", "change-id",
        "from-revision"}},
      {"get", 0, {}},
      {"status", 0, {}},
      {"drain", 1, {"author"}},
      {"undrain", 1, {"author"}},
      {"evacuate", 1, {"end", "wait", "wait-timeout", "author"}},
      {"history", 0, {"limit"}},
      {"explain", 1, {}},
  };
  return kCommands;
}

constexpr std::array<std::string_view, 5> kCommonOptions = {
    "help", "json", "control", "timeout", "command"};

// Options that the help shows.
po::options_description VisibleOptions() {
  po::options_description options("Options");
  options.add_options()("help,h", "Show this text.")(
      "control", po::value<std::vector<std::string>>()->composing(),
      "Address of a control VM, A.B.C.D:PORT; may be repeated. Default: "
      "VANILLALATCH_CONTROL, addresses separated by commas.")(
      "json", "Print JSON for programs.")(
      "timeout", po::value<int>(),
      "Timeout of each call in seconds; default: 10.")(
      "wait", "Wait until the change is in force on every entry VM.")(
      "wait-timeout", po::value<int>(),
      "Timeout of --wait in seconds; default: 30.")("end",
                                                    "End the evacuation.")(
      "dry-run", "Show the difference only; change nothing.")(
      "author", po::value<std::string>(),
      "Author of the change; default: the login name.")(
      "change-id", po::value<std::string>(),
      "Repeat the change with this id, whose answer was lost.")(
      "from-revision", po::value<std::uint64_t>(),
      "Refuse the change if the catalog is not at this revision.")(
      "limit", po::value<std::uint32_t>(),
      "Maximum number of changes in history; default: 20.");
  return options;
}

po::variables_map ParseArguments(const std::vector<std::string>& arguments) {
  po::options_description all = VisibleOptions();
  all.add_options()("command", po::value<std::vector<std::string>>());
  return ParseOptions(arguments, all, "command", -1);
}

// Throws kInvalidArgument unless the command exists and takes these arguments
// and options.
void CheckCommand(const CtlOptions& options, const po::variables_map& values) {
  const auto row = std::find_if(
      Commands().begin(), Commands().end(),
      [&](const CommandSpec& it) { return it.name == options.command; });
  if (row == Commands().end()) {
    throw Error(ErrorKind::kInvalidArgument,
                "expected a command of ctl, got \"" + options.command +
                    "\"; --help shows them");
  }
  if (options.arguments.size() != row->argument_count) {
    throw Error(ErrorKind::kInvalidArgument,
                "expected " + std::to_string(row->argument_count) +
                    " argument(s) after \"" + options.command + "\", got " +
                    std::to_string(options.arguments.size()));
  }
  for (const auto& [name, value] : values) {
    const auto is_name = [&name = name](std::string_view it) {
      return it == name;
    };
    if (std::none_of(kCommonOptions.begin(), kCommonOptions.end(), is_name) &&
        std::none_of(row->options.begin(), row->options.end(), is_name)) {
      throw Error(ErrorKind::kInvalidArgument,
                  "\"" + options.command + "\" takes no option --" + name);
    }
  }
}

// Returns the addresses of --control, or else of VANILLALATCH_CONTROL.
std::vector<SocketAddress> ControlAddresses(const po::variables_map& values) {
  std::vector<std::string> texts;
  if (values.contains("control")) {
    texts = values["control"].as<std::vector<std::string>>();
  } else if (const char* list = std::getenv("VANILLALATCH_CONTROL")) {
    std::istringstream stream(list);
    for (std::string it; std::getline(stream, it, ',');) {
      texts.push_back(it);
    }
  }
  std::vector<SocketAddress> addresses;
  addresses.reserve(texts.size());
  for (const std::string& it : texts) {
    addresses.push_back(SocketAddress::Parse(it).value());
  }
  return addresses;
}

// Returns an option in seconds, or `default_value` if it is absent. Throws
// kInvalidArgument unless it is from one second to one day.
Duration ReadSeconds(const po::variables_map& values, const char* name,
                     Duration default_value) {
  if (!values.contains(name)) {
    return default_value;
  }
  constexpr int kMaxSeconds = 86400;
  const int seconds = values[name].as<int>();
  if (seconds < 1 || seconds > kMaxSeconds) {
    throw Error(ErrorKind::kInvalidArgument,
                std::string("expected --") + name + " from 1 to 86400 seconds");
  }
  return std::chrono::seconds(seconds);
}

template <typename T>
T ValueOr(const po::variables_map& values, const char* name, T default_value) {
  return values.contains(name) ? values[name].as<T>() : default_value;
}

std::string LoginName() {
  const char* name = std::getenv("USER");
  return name == nullptr ? "unknown" : name;
}

}  // namespace

CtlOptions ParseCtlOptions(const std::vector<std::string>& arguments) {
  const po::variables_map values = ParseArguments(arguments);
  CtlOptions options;
  options.help = values.contains("help");
  if (options.help) {
    return options;
  }
  if (values.contains("command")) {
    options.arguments = values["command"].as<std::vector<std::string>>();
    options.command = options.arguments.front();
    options.arguments.erase(options.arguments.begin());
  }
  CheckCommand(options, values);
  options.json = values.contains("json");
  options.wait = values.contains("wait");
  options.end = values.contains("end");
  options.dry_run = values.contains("dry-run");
  options.control = ControlAddresses(values);
  options.timeout = ReadSeconds(values, "timeout", options.timeout);
  options.wait_timeout =
      ReadSeconds(values, "wait-timeout", options.wait_timeout);
  options.author = ValueOr(values, "author", LoginName());
  options.change_id = ValueOr(values, "change-id", std::string());
  options.limit = ValueOr(values, "limit", options.limit);
  if (values.contains("from-revision")) {
    options.from_revision = values["from-revision"].as<std::uint64_t>();
  }
  return options;
}

void PrintCtlHelp(std::ostream& out) { out << kUsage << VisibleOptions(); }

}  // namespace vanillalatch
