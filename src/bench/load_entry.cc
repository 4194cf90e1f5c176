// Sends requests to one entry VM (or to relay_baseline) and prints the rate and
// the latencies as one line of JSON. The program also runs the backend server
// that answers the requests.
//
//   load_entry --target A:P --service NAME --backend-listen A:P
//              [--register A:P --data-center NAME]
//              [--window N | --rate N] --seconds N
//
// With --window, N requests are unanswered at any time (a closed workload),
// which measures the highest rate. With --rate, N requests per second are sent
// at fixed times, whether or not earlier ones were answered (an open workload),
// and the latency counts from the scheduled send time.
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

// Number of caller sockets. Message ids have 16 bits and stay in use for
// minutes, so a high rate needs many caller addresses.
constexpr std::size_t kCallers = 16;
constexpr std::size_t kMessageIds = 1 << 16;
constexpr Duration kLossTimeout = std::chrono::milliseconds(500);
constexpr Duration kWarmUp = std::chrono::milliseconds(500);
// Maximum number of requests sent before the sockets are read again.
constexpr std::size_t kMaxBurst = 48;

struct LoadOptions {
  SocketAddress target;
  std::string service;
  std::size_t window = 0;
  double rate = 0;
  Duration duration = std::chrono::seconds(5);
};

struct LoadResult {
  std::uint64_t sent = 0;
  std::uint64_t answered = 0;  // Answered with 2.05.
  std::uint64_t refused = 0;   // Answered with another code.
  Duration elapsed{};
  std::vector<std::int64_t> latencies_ns;
};

// One caller socket and its unanswered requests.
struct Caller {
  explicit Caller(UdpSocket s) : socket(std::move(s)), sent_at(kMessageIds) {}
  UdpSocket socket;
  // Send times by message id; zero if there is no unanswered request.
  std::vector<TimePoint> sent_at;
  std::uint16_t next_id = 0;
  std::vector<std::vector<std::uint8_t>> buffers =
      std::vector<std::vector<std::uint8_t>>(UdpSocket::kBatchDatagrams);
  std::size_t used_buffers = 0;
};

// Sends requests for a fixed time and counts the answers. Requests sent during
// the warm-up are not counted.
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
    measurement_start_ = start + kWarmUp;
    const TimePoint end = measurement_start_ + options_.duration;
    next_send_time_ = start;
    while (Now() < end) {
      SendDueRequests();
      ReceiveAll();
    }
    result_.elapsed = options_.duration;
    const TimePoint drain_end = Now() + kLossTimeout;
    while (unanswered_ > 0 && Now() < drain_end) {
      ReceiveAll();
    }
    return std::move(result_);
  }

 private:
  void SendDueRequests() {
    const TimePoint now = Now();
    if (options_.rate > 0) {
      const auto interval = std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(1.0 / options_.rate));
      for (std::size_t n = 0; n < kMaxBurst && next_send_time_ <= now; ++n) {
        SendRequest(next_send_time_);
        next_send_time_ += interval;
      }
    } else {
      ResetStalledWindow(now);
      for (std::size_t n = 0; n < kMaxBurst && unanswered_ < options_.window;
           ++n) {
        SendRequest(now);
      }
    }
    for (Caller& it : callers_) {
      it.socket.Flush();
      it.used_buffers = 0;
    }
  }

  // Counts the requests of a full window as lost if no answer has arrived for
  // kLossTimeout, so that new requests can be sent.
  void ResetStalledWindow(TimePoint now) {
    if (unanswered_ >= options_.window && now - last_answer_ > kLossTimeout) {
      unanswered_ = 0;
      last_answer_ = now;
    }
  }

  void SendRequest(TimePoint intended) {
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
    ++unanswered_;
    result_.sent += intended >= measurement_start_ ? 1 : 0;
  }

  void ReceiveAll() {
    for (Caller& it : callers_) {
      it.socket.Receive([&](SocketAddress, ByteSpan bytes) {
        if (bytes.size() >= 8) {
          CountAnswer(it, bytes);
        }
      });
    }
  }

  // Counts one answer. The last two bytes of the token are the message id of
  // the request.
  void CountAnswer(Caller& caller, ByteSpan bytes) {
    const auto id = static_cast<std::uint16_t>((bytes[6] << 8) | bytes[7]);
    const TimePoint sent = std::exchange(caller.sent_at[id], TimePoint{});
    if (sent == TimePoint{}) {
      return;
    }
    const TimePoint now = Now();
    last_answer_ = now;
    unanswered_ -= unanswered_ > 0 ? 1 : 0;
    if (sent < measurement_start_) {
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
  std::size_t unanswered_ = 0;
  TimePoint next_send_time_;
  TimePoint measurement_start_;
  TimePoint last_answer_ = Now();
  LoadResult result_;
};

// Returns the latency at the quantile `q` in microseconds, 0 if there is none.
double QuantileUs(std::vector<std::int64_t>& sorted, double q) {
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
      // The program under load forwards two datagrams per answered request.
      {"datagrams_per_second",
       2 * static_cast<double>(result.answered) / seconds},
      {"p50_us", QuantileUs(result.latencies_ns, 0.5)},
      {"p99_us", QuantileUs(result.latencies_ns, 0.99)},
      {"p999_us", QuantileUs(result.latencies_ns, 0.999)}};
  std::cout << line.dump() << std::endl;
}

int Main(int argc, char** argv) {
  LoadOptions options;
  EchoBackendOptions backend;
  std::string target;
  std::string listen;
  std::string registration_address;
  double seconds = 5;
  po::options_description description("load_entry");
  description.add_options()("target", po::value(&target)->required())(
      "service", po::value(&options.service)->default_value("records"))(
      "backend-listen", po::value(&listen)->required())(
      "register", po::value(&registration_address))(
      "data-center", po::value(&backend.data_center))(
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
  backend.register_at_entry = !registration_address.empty();
  if (backend.register_at_entry) {
    backend.registration_address =
        SocketAddress::Parse(registration_address).value();
  }
  const auto server = EchoBackend::Start(backend).value();
  // Leaves the entry VM time to receive the registration.
  std::this_thread::sleep_for(
      std::chrono::seconds(backend.register_at_entry ? 7 : 1));
  Print(LoadRun(options).Run());
  return 0;
}

}  // namespace
}  // namespace vanillalatch

int main(int argc, char** argv) { return vanillalatch::Main(argc, argv); }
