// Puts load on one entry VM (or on relay_baseline) and prints one JSON line.
//
//   load_entry --target A:P --service NAME --backend-listen A:P
//              [--register A:P --data-center NAME]
//              [--window N | --rate N] --seconds N
//
// With --window, N requests are kept open: the line gives the highest rate.
// With --rate, requests are sent at fixed times, whether earlier ones were
// answered or not, and latency counts from the time intended.
#include <poll.h>

#include <algorithm>
#include <array>
#include <boost/program_options.hpp>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

#include "src/bench/echo_backend.h"
#include "vanillalatch/runtime/reactor.h"
#include "vanillalatch/runtime/udp_socket.h"
#include "vanillalatch/wire/coap.h"

namespace vanillalatch {
namespace {

namespace po = boost::program_options;

// Message ids are 16 bits wide and stay in use for minutes, so that many
// caller addresses are needed at a high rate.
constexpr std::size_t kCallers = 16;
constexpr std::size_t kMessageIds = 1 << 16;
constexpr Duration kLossTimeout = std::chrono::milliseconds(500);
constexpr Duration kWarmUp = std::chrono::milliseconds(500);
constexpr std::size_t kBurst = 48;  // Requests between two looks at sockets.

struct LoadOptions {
  SocketAddress target;
  std::string service;
  std::size_t window = 0;
  double rate = 0;
  Duration duration = std::chrono::seconds(5);
};

struct LoadResult {
  std::uint64_t sent = 0;
  std::uint64_t answered = 0;  // With 2.05.
  std::uint64_t refused = 0;   // With another code.
  Duration elapsed{};
  std::vector<std::int64_t> latencies_ns;
};

// One caller address with its open requests, by message id.
struct Caller {
  explicit Caller(UdpSocket s) : socket(std::move(s)), sent_at(kMessageIds) {}
  UdpSocket socket;
  std::vector<TimePoint> sent_at;  // Zero: not open.
  std::uint16_t next_id = 0;
  std::vector<std::vector<std::uint8_t>> buffers =
      std::vector<std::vector<std::uint8_t>>(UdpSocket::kBatchDatagrams);
  std::size_t used_buffers = 0;
};

class LoadRun {
 public:
  explicit LoadRun(LoadOptions options) : options_(std::move(options)) {
    for (std::size_t n = 0; n < kCallers; ++n) {
      callers_.emplace_back(
          UdpSocket::Bind(SocketAddress{0x7f000001, 0}).value());
    }
  }

  LoadResult Run() {
    const TimePoint start = Now();
    measure_from_ = start + kWarmUp;
    const TimePoint end = measure_from_ + options_.duration;
    next_intended_ = start;
    while (Now() < end) {
      SendDue();
      ReceiveAll();
    }
    result_.elapsed = options_.duration;
    const TimePoint drain_end = Now() + kLossTimeout;
    while (open_ > 0 && Now() < drain_end) {
      ReceiveAll();
    }
    return std::move(result_);
  }

 private:
  void SendDue() {
    const TimePoint now = Now();
    if (options_.rate > 0) {
      const auto gap = std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(1.0 / options_.rate));
      for (std::size_t n = 0; n < kBurst && next_intended_ <= now; ++n) {
        SendOne(next_intended_);
        next_intended_ += gap;
      }
    } else {
      ForgetLost(now);
      for (std::size_t n = 0; n < kBurst && open_ < options_.window; ++n) {
        SendOne(now);
      }
    }
    for (Caller& it : callers_) {
      it.socket.Flush();
      it.used_buffers = 0;
    }
  }

  // Without an answer for long, the window starts anew.
  void ForgetLost(TimePoint now) {
    if (open_ >= options_.window && now - last_answer_ > kLossTimeout) {
      open_ = 0;
      last_answer_ = now;
    }
  }

  void SendOne(TimePoint intended) {
    const std::size_t n = next_caller_++ % kCallers;
    Caller& caller = callers_[n];
    if (caller.used_buffers == UdpSocket::kBatchDatagrams) {
      caller.socket.Flush();
      caller.used_buffers = 0;
    }
    const std::uint16_t id = caller.next_id++;
    caller.sent_at[id] = intended;
    std::vector<std::uint8_t>& buf = caller.buffers[caller.used_buffers++];
    buf.clear();
    CoapToken token;
    token.size = 4;
    token.bytes = {
        static_cast<std::uint8_t>(n >> 8), static_cast<std::uint8_t>(n),
        static_cast<std::uint8_t>(id >> 8), static_cast<std::uint8_t>(id)};
    CoapBuilder(buf, CoapType::kNonConfirmable, kCoapGet, id, token)
        .Option(kOptionUriHost, options_.service)
        .Option(kOptionUriPath, "item");
    caller.socket.Queue(options_.target, buf);
    ++open_;
    result_.sent += intended >= measure_from_ ? 1 : 0;
  }

  void ReceiveAll() {
    for (Caller& it : callers_) {
      it.socket.Receive([&](SocketAddress, ByteSpan bytes) {
        if (bytes.size() >= 8) {
          Count(it, bytes);
        }
      });
    }
  }

  // The request's message id stands in the last two bytes of its token.
  void Count(Caller& caller, ByteSpan bytes) {
    const auto id = static_cast<std::uint16_t>((bytes[6] << 8) | bytes[7]);
    const TimePoint sent = std::exchange(caller.sent_at[id], TimePoint{});
    if (sent == TimePoint{}) {
      return;
    }
    const TimePoint now = Now();
    last_answer_ = now;
    open_ -= open_ > 0 ? 1 : 0;
    if (sent < measure_from_) {
      return;
    }
    if (bytes[1] != kCoapContent) {
      ++result_.refused;
      return;
    }
    ++result_.answered;
    result_.latencies_ns.push_back((now - sent).count());
  }

  LoadOptions options_;
  std::vector<Caller> callers_;
  std::size_t next_caller_ = 0;
  std::size_t open_ = 0;
  TimePoint next_intended_;
  TimePoint measure_from_;
  TimePoint last_answer_ = Now();
  LoadResult result_;
};

double Quantile(std::vector<std::int64_t>& sorted, double q) {
  return sorted.empty() ? 0
                        : static_cast<double>(sorted[static_cast<std::size_t>(
                              q * static_cast<double>(sorted.size() - 1))]) /
                              1000;
}

void Print(LoadResult result) {
  std::sort(result.latencies_ns.begin(), result.latencies_ns.end());
  const double seconds = std::chrono::duration<double>(result.elapsed).count();
  const nlohmann::json line = {
      {"sent", result.sent},
      {"answered", result.answered},
      {"refused", result.refused},
      // Each answered request is two datagrams for the program under load.
      {"datagrams_per_second",
       2 * static_cast<double>(result.answered) / seconds},
      {"p50_us", Quantile(result.latencies_ns, 0.5)},
      {"p99_us", Quantile(result.latencies_ns, 0.99)},
      {"p999_us", Quantile(result.latencies_ns, 0.999)}};
  std::cout << line.dump() << std::endl;
}

int Main(int argc, char** argv) {
  LoadOptions options;
  EchoBackendOptions backend;
  std::string target;
  std::string listen;
  std::string registry;
  double seconds = 5;
  po::options_description description("load_entry");
  description.add_options()("target", po::value(&target)->required())(
      "service", po::value(&options.service)->default_value("records"))(
      "backend-listen", po::value(&listen)->required())(
      "register", po::value(&registry))("data-center",
                                        po::value(&backend.data_center))(
      "window", po::value(&options.window)->default_value(0))(
      "rate", po::value(&options.rate)->default_value(0))("seconds",
                                                          po::value(&seconds));
  po::variables_map values;
  po::store(po::parse_command_line(argc, argv, description), values);
  po::notify(values);
  options.target = SocketAddress::Parse(target).value();
  options.duration = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
  backend.service = options.service;
  backend.listen = SocketAddress::Parse(listen).value();
  backend.announce = !registry.empty();
  if (backend.announce) {
    backend.entry_backend = SocketAddress::Parse(registry).value();
  }
  const auto server = EchoBackend::Start(backend).value();
  std::this_thread::sleep_for(std::chrono::seconds(backend.announce ? 7 : 1));
  Print(LoadRun(options).Run());
  return 0;
}

}  // namespace
}  // namespace vanillalatch

int main(int argc, char** argv) { return vanillalatch::Main(argc, argv); }
