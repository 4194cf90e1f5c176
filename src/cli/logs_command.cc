// `vanillalatch logs`: evaluates the log files of VMs. Needs no running system.
#include <fstream>
#include <iostream>

#include "src/cli/command_line.h"
#include "src/cli/parse_options.h"
#include "vanillalatch/base/error.h"
#include "vanillalatch/explain/story.h"
#include "vanillalatch/telemetry/log_events.h"

namespace vanillalatch {
namespace {

namespace po = boost::program_options;

constexpr std::string_view kUsage =
    R"(Usage: vanillalatch logs explain FILE... --flow CALLER [OPTIONS]
       vanillalatch logs events

explain shows what happened to one flow, from the log files of all VMs ("-"
reads standard input): the cause of the failure, the reason for this finding,
and the log lines of the flow, ordered by time.
events prints the reference page of all log events.
)";

// Appends the log events of a file to `lines` and adds the number of other
// lines that are not empty to `skipped`.
void ReadLines(std::istream& file, std::vector<LogLine>& lines,
               std::size_t& skipped) {
  for (std::string text; std::getline(file, text);) {
    Result<LogLine> line = LogLine::Parse(text);
    if (line.ok()) {
      lines.push_back(std::move(*line));
    } else if (!text.empty()) {
      ++skipped;
    }
  }
}

std::vector<LogLine> ReadFiles(const std::vector<std::string>& paths,
                               Console console) {
  std::vector<LogLine> lines;
  std::size_t skipped = 0;
  for (const std::string& it : paths) {
    if (it == "-") {
      ReadLines(std::cin, lines, skipped);
      continue;
    }
    std::ifstream file(it);
    if (!file) {
      throw Error(ErrorKind::kNotFound, it + ": can't be read");
    }
    ReadLines(file, lines, skipped);
  }
  if (skipped > 0) {
    console.err << skipped << " lines are not log events and were skipped\n";
  }
  return lines;
}

void PrintExplanation(const FlowExplanation& explanation, Console console) {
  const FlowCauseRow& row = GetFlowCauseRow(explanation.cause);
  console.out << "cause: " << row.name << "\n"
              << "why: " << explanation.reason << "\n"
              << "next: " << row.advice << "\n";
  for (const LogLine& it : explanation.lines) {
    console.out << it.time() << "  " << it.vm() << "  " << it.event() << "  "
                << it.FormatFields() << "\n";
  }
}

po::options_description ExplainOptions() {
  po::options_description options("Options");
  options.add_options()("help,h", "Show this text.")(
      "flow", po::value<std::string>(),
      "The caller's address and port, A.B.C.D:PORT.")(
      "route", po::value<std::string>(),
      "The address and port to which the caller opened the flow.")(
      "sequence", po::value<std::uint32_t>(),
      "The number in its opening packet; default: its last flow.")(
      "file", po::value<std::vector<std::string>>(), "Log files.");
  return options;
}

int RunExplain(const po::variables_map& values, Console console) {
  if (!values.contains("flow") || !values.contains("file")) {
    throw Error(ErrorKind::kInvalidArgument,
                "expected log files and --flow CALLER");
  }
  FlowQuery query;
  query.caller = SocketAddress::Parse(values["flow"].as<std::string>()).value();
  if (values.contains("route")) {
    query.route =
        SocketAddress::Parse(values["route"].as<std::string>()).value();
  }
  if (values.contains("sequence")) {
    query.sequence = values["sequence"].as<std::uint32_t>();
  }
  PrintExplanation(
      ExplainFlow(
          ReadFiles(values["file"].as<std::vector<std::string>>(), console),
          query),
      console);
  return 0;
}

}  // namespace

int RunLogs(const std::vector<std::string>& arguments, Console console) {
  const po::options_description options = ExplainOptions();
  const bool wants_help = arguments.empty() || arguments.front() == "--help" ||
                          arguments.front() == "-h";
  if (wants_help) {
    console.out << kUsage << "\n" << options;
    return arguments.empty() ? AnswerFor(ErrorKind::kInvalidArgument).exit_code
                             : 0;
  }
  if (arguments.front() == "events") {
    console.out << FormatLogEventsPage();
    return 0;
  }
  if (arguments.front() != "explain") {
    throw Error(ErrorKind::kInvalidArgument,
                "unknown command \"logs " + arguments.front() + "\"");
  }
  const po::variables_map values = ParseOptions(
      {arguments.begin() + 1, arguments.end()}, options, "file", -1);
  if (values.contains("help")) {
    console.out << kUsage << "\n" << options;
    return 0;
  }
  return RunExplain(values, console);
}

}  // namespace vanillalatch
