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
  apply FILE         Make the catalog what FILE says. Shows the difference
                     first. Takes --wait, --dry-run, --author, --change-id and
                     --from-revision.
  get                Show services, classes, targets and the revision, as a
                     file that apply reads.
  status             Show VMs, endpoints, who dispatches what, how old the
                     catalog is on each VM, and whether each class meets its
                     target.
  drain VM           Hand over the work of an entry VM. Takes --author.
  undrain VM         Give a drained entry VM work again. Takes --author.
  history            Show who changed what, from which revision. Takes --limit.
  explain REQUEST    Show what happened to a request, hop by hop.

)";

struct CommandRow {
  std::string_view name;
  std::size_t arguments;
  std::vector<std::string_view> options;
};

const std::vector<CommandRow>& Commands() {
  static const std::vector<CommandRow> kCommands = {
      {"apply",
       1,
       {"wait", "wait-timeout", "dry-run", "author", "change-id",
        "from-revision"}},
      {"get", 0, {}},
      {"status", 0, {}},
      {"drain", 1, {"author"}},
      {"undrain", 1, {"author"}},
      {"history", 0, {"limit"}},
      {"explain", 1, {}},
  };
  return kCommands;
}

constexpr std::array<std::string_view, 5> kCommonOptions = {
    "help", "json", "control", "timeout", "command"};

po::options_description ShownOptions() {
  po::options_description options("Options");
  options.add_options()("help,h", "Show this text.")(
      "control", po::value<std::vector<std::string>>()->composing(),
      "Address of a control VM, A.B.C.D:PORT; may be repeated. Default: "
      "VANILLALATCH_CONTROL, addresses separated by commas.")(
      "json", "Print JSON for programs.")(
      "timeout", po::value<int>(), "Seconds that each call may take; 10.")(
      "wait", "Wait until the change is in force on every entry VM.")(
      "wait-timeout", po::value<int>(), "Seconds that --wait may take; 30.")(
      "dry-run", "Only show the difference.")(
      "author", po::value<std::string>(),
      "Who makes the change; default: the login name.")(
      "change-id", po::value<std::string>(),
      "Repeat an earlier change whose answer was lost.")(
      "from-revision", po::value<std::uint64_t>(),
      "Refuse the change if the catalog is not at this revision.")(
      "limit", po::value<std::uint32_t>(), "Changes shown by history; 20.");
  return options;
}

po::variables_map Parse(const std::vector<std::string>& arguments) {
  po::options_description all = ShownOptions();
  all.add_options()("command", po::value<std::vector<std::string>>());
  return ParseOptions(arguments, all, "command", -1);
}

void CheckCommand(const CtlOptions& options, const po::variables_map& values) {
  const auto row = std::find_if(
      Commands().begin(), Commands().end(),
      [&](const CommandRow& it) { return it.name == options.command; });
  if (row == Commands().end()) {
    throw Error(ErrorKind::kInvalidArgument,
                "expected a command of ctl, got \"" + options.command +
                    "\"; --help shows them");
  }
  if (options.arguments.size() != row->arguments) {
    throw Error(ErrorKind::kInvalidArgument,
                "expected " + std::to_string(row->arguments) +
                    " argument(s) behind \"" + options.command + "\", got " +
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

Duration Seconds(const po::variables_map& values, const char* name,
                 Duration otherwise) {
  if (!values.contains(name)) {
    return otherwise;
  }
  constexpr int kLongest = 86400;
  const int seconds = values[name].as<int>();
  if (seconds < 1 || seconds > kLongest) {
    throw Error(ErrorKind::kInvalidArgument,
                std::string("expected --") + name + " from 1 to 86400");
  }
  return std::chrono::seconds(seconds);
}

template <typename T>
T Get(const po::variables_map& values, const char* name, T otherwise) {
  return values.contains(name) ? values[name].as<T>() : otherwise;
}

std::string LoginName() {
  const char* name = std::getenv("USER");
  return name == nullptr ? "unknown" : name;
}

}  // namespace

CtlOptions ParseCtlOptions(const std::vector<std::string>& arguments) {
  const po::variables_map values = Parse(arguments);
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
  options.dry_run = values.contains("dry-run");
  options.control = ControlAddresses(values);
  options.timeout = Seconds(values, "timeout", options.timeout);
  options.wait_timeout = Seconds(values, "wait-timeout", options.wait_timeout);
  options.author = Get(values, "author", LoginName());
  options.change_id = Get(values, "change-id", std::string());
  options.limit = Get(values, "limit", options.limit);
  if (values.contains("from-revision")) {
    options.from_revision = values["from-revision"].as<std::uint64_t>();
  }
  return options;
}

void PrintCtlHelp(std::ostream& out) { out << kUsage << ShownOptions(); }

}  // namespace vanillalatch
