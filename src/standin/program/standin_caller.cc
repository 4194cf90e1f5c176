// Simulated callers: sends the requests of a load plan to the entry VMs of one
// data centre and writes a summary. The exit code is 0 if every request got a
// complete answer that belongs to it, 1 if not, and 2 if the program can't run.
#include <poll.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "src/standin/callers.h"
#include "src/standin/socket.h"
#include "src/standin/summary.h"
#include "vanillalatch/jsonc/document.h"

namespace vanillalatch::standin {
namespace {

namespace po = boost::program_options;

constexpr SocketAddress kAnyLoopbackPort{0x7f000001, 0};

struct ProgramOptions {
  CallerOptions callers;
  std::string data_center;
  std::string summary;
};

ProgramOptions Parse(int argc, char** argv) {
  po::options_description options("standin_caller");
  options.add_options()("entry",
                        po::value<std::vector<std::string>>()->required(),
                        "Caller sockets of entry VMs")(
      "plan", po::value<std::string>()->required())(
      "rate", po::value<double>()->default_value(100), "Requests a second")(
      "seconds", po::value<double>()->default_value(5))(
      "flows", po::value<std::size_t>()->default_value(32))(
      "seed", po::value<std::uint64_t>()->default_value(1))(
      "data-center", po::value<std::string>()->required())(
      "summary", po::value<std::string>()->default_value(""));
  po::variables_map values;
  po::store(po::parse_command_line(argc, argv, options), values);
  po::notify(values);
  ProgramOptions parsed;
  const std::string& plan = values["plan"].as<std::string>();
  parsed.callers.kinds =
      ParseLoadPlan(plan, ReadWholeFile(plan).value()).value();
  parsed.callers.rate = values["rate"].as<double>();
  parsed.callers.duration = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(values["seconds"].as<double>()));
  parsed.callers.flows = values["flows"].as<std::size_t>();
  parsed.callers.seed = values["seed"].as<std::uint64_t>();
  parsed.data_center = values["data-center"].as<std::string>();
  parsed.summary = values["summary"].as<std::string>();
  for (const auto& it : values["entry"].as<std::vector<std::string>>()) {
    parsed.callers.entry_addresses.push_back(SocketAddress::Parse(it).value());
  }
  return parsed;
}

void Flush(const std::vector<Socket>& sockets, CallerOutbox& out) {
  for (const CallerOutbox::Item& it : out.items) {
    sockets[it.flow].Send(it.to, it.bytes);
  }
  out.items.clear();
}

// True if every request has the outcome CallOutcome::kAnswered.
bool AllAnswered(const Callers& callers) {
  return std::all_of(
      callers.counters().begin(), callers.counters().end(),
      [](const KindCounters& it) { return it.outcomes[0] == it.sent; });
}

int Run(const ProgramOptions& options) {
  std::vector<Socket> sockets;
  std::vector<pollfd> polls;
  for (std::size_t i = 0; i < options.callers.flows; ++i) {
    sockets.push_back(Socket::Bind(kAnyLoopbackPort).value());
    polls.push_back({sockets.back().fd(), POLLIN, 0});
  }
  CoapParser parser = CoapParser::Create().value();
  Callers callers(options.callers, Now(), UnixMs());
  CallerOutbox out;
  while (!callers.IsDone()) {
    callers.OnTick(Now(), out);
    Flush(sockets, out);
    poll(polls.data(), polls.size(), PollTimeoutMs(Now(), callers.NextWake()));
    for (std::size_t i = 0; i < sockets.size(); ++i) {
      sockets[i].Receive([&](SocketAddress, ByteSpan bytes) {
        if (const CoapMessage* message = parser.Parse(bytes)) {
          callers.OnAnswer(Now(), i, *message, out);
        }
      });
    }
    Flush(sockets, out);
  }
  const std::string text = CallerSummary(options.data_center, callers);
  if (options.summary.empty()) {
    std::cout << text;
  } else {
    std::ofstream(options.summary) << text;
  }
  return AllAnswered(callers) ? 0 : 1;
}

}  // namespace
}  // namespace vanillalatch::standin

int main(int argc, char** argv) {
  try {
    using vanillalatch::standin::Parse;
    using vanillalatch::standin::Run;
    return Run(Parse(argc, argv));
  } catch (const std::exception& e) {
    std::cerr << "standin_caller: " << e.what() << "\n";
    return 2;
  }
}
