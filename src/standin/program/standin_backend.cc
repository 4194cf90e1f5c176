// A simulated backend server. It registers at the entry VMs and answers
// requests until SIGTERM or SIGINT. Then it removes its registration, finishes
// the requests that still arrive and writes a summary.
#include <poll.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "src/standin/announcer.h"
#include "src/standin/backend_server.h"
#include "src/standin/socket.h"
#include "src/standin/summary.h"
#include "vanillalatch/base/hash.h"

namespace vanillalatch::standin {
namespace {

namespace po = boost::program_options;

// Time without requests before the program exits. Requests may still be in
// flight after the last entry VM learns that the endpoint leaves.
constexpr Duration kIdleTimeBeforeExit = std::chrono::milliseconds(1500);

volatile std::sig_atomic_t stop_requested = 0;

struct ProgramOptions {
  SocketAddress address;
  std::string summary;
  BackendOptions server;
  AnnouncerOptions announcer;
};

ProgramOptions Parse(int argc, char** argv) {
  po::options_description options("standin_backend");
  options.add_options()("address", po::value<std::string>()->required())(
      "entry", po::value<std::vector<std::string>>()->required(),
      "Backend sockets of entry VMs")("name",
                                      po::value<std::string>()->required())(
      "service", po::value<std::string>()->required())(
      "data-center", po::value<std::string>()->required())(
      "slots", po::value<int>()->default_value(3))(
      "lease", po::value<int>()->default_value(9), "Seconds")(
      "mean-us", po::value<int>()->default_value(10000),
      "Mean service time, microseconds")(
      "seed", po::value<std::uint64_t>()->default_value(1))(
      "summary", po::value<std::string>()->default_value(""));
  po::variables_map values;
  po::store(po::parse_command_line(argc, argv, options), values);
  po::notify(values);
  ProgramOptions parsed;
  parsed.address =
      SocketAddress::Parse(values["address"].as<std::string>()).value();
  parsed.summary = values["summary"].as<std::string>();
  parsed.server.name = values["name"].as<std::string>();
  parsed.server.service = values["service"].as<std::string>();
  parsed.server.slots = values["slots"].as<int>();
  parsed.server.mean_service_time =
      std::chrono::microseconds(values["mean-us"].as<int>());
  parsed.server.seed = StableHash(values["seed"].as<std::uint64_t>(),
                                  StableHash(parsed.server.name));
  parsed.announcer.name = parsed.server.name;
  parsed.announcer.service = parsed.server.service;
  parsed.announcer.data_center = values["data-center"].as<std::string>();
  parsed.announcer.slots = parsed.server.slots;
  parsed.announcer.epoch = static_cast<std::uint64_t>(UnixMs());
  parsed.announcer.lease = std::chrono::seconds(values["lease"].as<int>());
  parsed.announcer.seed = parsed.server.seed;
  for (const auto& it : values["entry"].as<std::vector<std::string>>()) {
    parsed.announcer.entry_addresses.push_back(
        SocketAddress::Parse(it).value());
  }
  return parsed;
}

class Program {
 public:
  explicit Program(const ProgramOptions& options)
      : options_(options),
        socket_(Socket::Bind(options.address).value()),
        parser_(CoapParser::Create().value()),
        server_(options.server),
        announcer_(options.announcer) {}

  void Run() {
    const TimePoint begin = Now();
    while (!IsFinished(Now())) {
      pollfd it{socket_.fd(), POLLIN, 0};
      const TimePoint wake =
          std::min(server_.NextWake(), announcer_.NextWake());
      poll(&it, 1, std::min(PollTimeoutMs(Now(), wake), kMaxPollMs));
      socket_.Receive([this](SocketAddress from, ByteSpan bytes) {
        OnDatagram(from, bytes);
      });
      if (stop_requested != 0 && !leaving_) {
        leaving_ = true;
        announcer_.BeginLeave(Now());
      }
      server_.OnTick(Now(), out_);
      announcer_.OnTick(Now(), LoadPercent(), out_);
      Flush();
    }
    WriteSummary(Now() - begin);
  }

 private:
  static constexpr int kMaxPollMs = 100;

  int LoadPercent() const {
    return server_.busy_slots() * 100 / options_.server.slots;
  }

  bool IsFinished(TimePoint now) const {
    return announcer_.has_left() && server_.busy_slots() == 0 &&
           now - server_.last_request() > kIdleTimeBeforeExit;
  }

  void OnDatagram(SocketAddress from, ByteSpan bytes) {
    const CoapMessage* message = parser_.Parse(bytes);
    if (message == nullptr) {
      return;
    }
    if (message->IsRequest()) {
      server_.OnRequest(Now(), from, *message, out_);
    } else if (message->type == CoapType::kReset) {
      server_.OnReset(Now(), from, message->message_id);
    } else {
      announcer_.OnAnswer(Now(), *message);
    }
  }

  void Flush() {
    for (const Outbox::Item& it : out_.items()) {
      socket_.Send(it.to, out_.Bytes(it));
    }
    out_.Clear();
  }

  void WriteSummary(Duration elapsed) const {
    const std::string text =
        BackendSummary(options_.server, server_.counters(), elapsed);
    if (options_.summary.empty()) {
      std::cout << text;
    } else {
      std::ofstream(options_.summary) << text;
    }
  }

  ProgramOptions options_;
  Socket socket_;
  CoapParser parser_;
  BackendServer server_;
  Announcer announcer_;
  Outbox out_;
  bool leaving_ = false;
};

}  // namespace
}  // namespace vanillalatch::standin

int main(int argc, char** argv) {
  const auto stop = [](int) { vanillalatch::standin::stop_requested = 1; };
  std::signal(SIGTERM, stop);
  std::signal(SIGINT, stop);
  try {
    using vanillalatch::standin::Parse;
    using vanillalatch::standin::Program;
    Program(Parse(argc, argv)).Run();
    return 0;
  } catch (const std::exception& e) {
    std::cerr << "standin_backend: " << e.what() << "\n";
    return 2;
  }
}
