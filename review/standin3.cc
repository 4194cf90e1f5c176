#include "standin3.h"

namespace review3 {
namespace {

const auto kStart = std::chrono::steady_clock::now();
std::mutex record_mutex;
std::FILE* record = nullptr;
std::set<pid_t> started;
std::mutex started_mutex;
std::string site_folder;

bool CanBind(const std::string& ip, int port, int type) {
  const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
  const bool ok = bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0;
  close(fd);
  return ok;
}

std::string Quoted(const std::string& text) { return "\"" + text + "\""; }

}  // namespace

std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - kStart)
      .count();
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void SleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void Record(const char* format, ...) {
  const std::lock_guard<std::mutex> lock(record_mutex);
  if (record == nullptr) {
    const char* path = std::getenv("RECORD");
    record = std::fopen(path == nullptr ? "record.txt" : path, "w");
    if (record == nullptr) {
      std::exit(kCouldNotRun);
    }
  }
  std::fprintf(record, "%8.3f ", static_cast<double>(NowMs()) / 1000);
  va_list args;
  va_start(args, format);
  std::vfprintf(record, format, args);
  va_end(args);
  std::fputc('\n', record);
  std::fflush(record);
}

void Finish(int code, const std::string& why) {
  {
    const std::lock_guard<std::mutex> lock(started_mutex);
    for (const pid_t it : started) {
      kill(it, SIGCONT);
      kill(it, SIGKILL);
      waitpid(it, nullptr, 0);
    }
  }
  Record("end: %s (exit code %d)", why.c_str(), code);
  std::printf("%s\n", why.c_str());
  std::fflush(stdout);
  if (!site_folder.empty() && std::getenv("KEEP") == nullptr) {
    std::error_code ec;
    std::filesystem::remove_all(site_folder, ec);
  }
  std::_Exit(code);
}

HttpAnswer Http(const std::string& ip, int port, const std::string& method,
                const std::string& path, const std::string& body,
                int limit_ms) {
  HttpAnswer answer;
  const std::int64_t until = NowMs() + limit_ms;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
  const auto wait = [&](short events) {
    pollfd state{fd, events, 0};
    const std::int64_t left = until - NowMs();
    return left > 0 && poll(&state, 1, static_cast<int>(left)) > 0;
  };
  if (connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 &&
      errno != EINPROGRESS) {
    close(fd);
    return answer;
  }
  std::string out = method + " " + path + " HTTP/1.1\r\nHost: " + ip +
                    "\r\nContent-Type: application/json\r\nContent-Length: " +
                    std::to_string(body.size()) +
                    "\r\nConnection: close\r\n\r\n" + body;
  while (!out.empty() && wait(POLLOUT)) {
    const ssize_t n = send(fd, out.data(), out.size(), MSG_NOSIGNAL);
    if (n <= 0) {
      break;
    }
    out.erase(0, static_cast<std::size_t>(n));
  }
  std::string in;
  char buf[65536];
  bool ended = false;
  while (out.empty() && !ended && wait(POLLIN)) {
    const ssize_t n = recv(fd, buf, sizeof buf, 0);
    if (n <= 0) {
      ended = n == 0;
      break;
    }
    in.append(buf, static_cast<std::size_t>(n));
    const std::size_t head = in.find("\r\n\r\n");
    const std::size_t length = in.find("Content-Length: ");
    if (head != std::string::npos && length != std::string::npos &&
        in.size() >= head + 4 + std::strtoul(&in[length + 16], nullptr, 10)) {
      ended = true;
    }
  }
  close(fd);
  const std::size_t head = in.find("\r\n\r\n");
  if (!ended || head == std::string::npos ||
      in.compare(0, 9, "HTTP/1.1 ") != 0) {
    return answer;
  }
  answer.status = std::atoi(in.c_str() + 9);
  answer.body = in.substr(head + 4);
  const std::size_t location = in.find("Location: ");
  if (location != std::string::npos && location < head) {
    answer.location =
        in.substr(location + 10, in.find("\r\n", location) - location - 10);
  }
  return answer;
}

std::string Machine::data_folder() const {
  return site_folder + "/disk-" + name;
}

Site::Site(std::vector<std::string> zone_names, int heartbeat)
    : zones(std::move(zone_names)), heartbeat_ms(heartbeat) {
  char name[] = "/tmp/review3-XXXXXX";
  if (mkdtemp(name) == nullptr) {
    Finish(kCouldNotRun, "no temporary folder");
  }
  folder = site_folder = name;
  std::srand(std::random_device{}());
  for (int tries = 0; tries < 50; ++tries) {
    prefix_ = 20 + std::rand() % 200;
    const int base = 10000 + (std::rand() % 2000) * 10;
    bool free = true;
    for (int machine = 1; machine < 60; ++machine) {
      for (int n = 0; n < 6; ++n) {
        free = free && CanBind(Address(machine), base + n, SOCK_STREAM) &&
               CanBind(Address(machine), base + n, SOCK_DGRAM);
      }
    }
    if (free) {
      ports = {base, base + 1, base + 2, base + 3, base + 4, base + 5};
      return;
    }
  }
  Finish(kCouldNotRun, "no free ports");
}

std::string Site::Address(int machine) const {
  return "127." + std::to_string(prefix_) + ".7." + std::to_string(machine);
}

void Site::Start(Machine& machine, bool bootstrap) {
  std::string zones_text;
  for (const std::string& it : zones) {
    zones_text += (zones_text.empty() ? "" : ", ") +
                  std::string("{\"name\": ") + Quoted(it) +
                  ", \"region\": \"r\"}";
  }
  std::string seeds;
  for (const std::string& it : machine.seeds) {
    seeds += (seeds.empty() ? "" : ", ") +
             Quoted(it + ":" + std::to_string(ports.control));
  }
  const std::string first =
      machine.ip + ":" + std::to_string(ports.internal_first);
  std::string text =
      "{\n  \"vm\": " + Quoted(machine.name) +
      ",\n  \"data_center\": " + Quoted(machine.zone) +
      ",\n  \"data_centers\": [" + zones_text +
      "],\n  \"fleet\": {\"listen\": " + Quoted(first) + ", \"seeds\": [" +
      seeds + "], \"control_port\": " + std::to_string(ports.internal_last) +
      "},\n";
  if (machine.is_control) {
    std::filesystem::create_directories(machine.data_folder());
    text += "  \"control\": {\"listen\": " +
            Quoted(machine.ip + ":" + std::to_string(ports.internal_last)) +
            ", \"data_folder\": " + Quoted(machine.data_folder()) +
            ", \"first_start\": " + (bootstrap ? "true" : "false") +
            "},\n  \"doors\": {\"control\": " +
            Quoted(machine.ip + ":" + std::to_string(ports.control)) +
            ", \"heartbeat\": \"" + std::to_string(heartbeat_ms) + "ms\"},\n";
  } else {
    text += "  \"flows\": {\"listen\": " +
            Quoted(machine.ip + ":" + std::to_string(ports.datagram)) +
            "},\n  \"doors\": {\"readiness\": " +
            Quoted(machine.ip + ":" + std::to_string(ports.ready)) + "},\n";
  }
  text += "  \"metrics\": " + Quoted(first) +
          ",\n  \"log\": {\"level\": \"info\"}\n}\n";
  const std::string settings = folder + "/" + machine.name + ".json";
  std::ofstream(settings) << text;
  const std::string log = folder + "/" + machine.name + ".log";
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // If the case itself is killed.
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, 1);
    dup2(out, 2);
    execl("target/vanillalatch", "target/vanillalatch", "serve", "--config",
          settings.c_str(), static_cast<char*>(nullptr));
    _exit(127);
  }
  machine.pid = pid;
  const std::lock_guard<std::mutex> lock(started_mutex);
  started.insert(pid);
}

void Site::Signal(Machine& machine, int signal) { kill(machine.pid, signal); }

bool Site::WaitForExit(Machine& machine, std::int64_t limit_ms) {
  const std::int64_t until = NowMs() + limit_ms;
  while (NowMs() < until) {
    if (waitpid(machine.pid, nullptr, WNOHANG) == machine.pid) {
      const std::lock_guard<std::mutex> lock(started_mutex);
      started.erase(machine.pid);
      machine.pid = 0;
      return true;
    }
    SleepMs(5);
  }
  return false;
}

void Site::LoseDisk(const Machine& machine) {
  std::filesystem::remove_all(machine.data_folder());
}

std::string Site::LogOf(const Machine& machine) const {
  std::ifstream in(folder + "/" + machine.name + ".log");
  return {std::istreambuf_iterator<char>(in), {}};
}

bool Replace(const Site& site, const std::vector<Machine*>& controls,
             const std::string& manifest, std::int64_t limit_ms) {
  const std::int64_t until = NowMs() + limit_ms;
  int pause_ms = 50;
  for (std::size_t n = 0; NowMs() < until; ++n) {
    std::string ip = controls[n % controls.size()]->ip;
    for (int hop = 0; hop < 3; ++hop) {
      const HttpAnswer answer =
          Http(ip, site.ports.control, "POST", "/v1/configuration/replace",
               manifest, 1000);
      Record("operator: replace at %s -> %d", ip.c_str(), answer.status);
      if (answer.status == 200) {
        return true;
      }
      if (answer.status != 307 ||
          answer.location.compare(0, 7, "http://") != 0) {
        break;
      }
      ip = answer.location.substr(7, answer.location.find(':', 7) - 7);
    }
    SleepMs(pause_ms);
    pause_ms = std::min(pause_ms * 2, 800);
  }
  return false;
}

std::uint64_t ReadVersion(const Site& site, const Machine& machine,
                          int* status) {
  std::string ip = machine.ip;
  for (int hop = 0; hop < 3; ++hop) {
    const HttpAnswer answer =
        Http(ip, site.ports.control, "GET", "/v1/configuration/get", "", 1000);
    if (status != nullptr) {
      *status = answer.status;
    }
    if (answer.status == 200) {
      const std::size_t at = answer.body.find("\"version\":");
      return at == std::string::npos
                 ? 0
                 : std::strtoull(&answer.body[at + 10], nullptr, 10);
    }
    if (answer.status != 307 || answer.location.compare(0, 7, "http://") != 0) {
      return 0;
    }
    ip = answer.location.substr(7, answer.location.find(':', 7) - 7);
  }
  return 0;
}

bool Trouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

std::string ManifestText(std::uint64_t version,
                         const std::vector<Route>& routes,
                         const std::vector<std::string>& services,
                         int timeout_ms, int latency_ms) {
  std::string text =
      "{\"version\":" + std::to_string(version) + ",\"routes\":[";
  for (std::size_t n = 0; n < routes.size(); ++n) {
    const Route& it = routes[n];
    text += (n == 0 ? "" : ",") + std::string("{\"name\":") + Quoted(it.name) +
            ",\"host\":" + Quoted(it.host) + ",\"path_prefix\":\"/" +
            std::to_string(it.port) + "/\",\"type\":\"safe\",\"timeout_ms\":" +
            std::to_string(timeout_ms) +
            ",\"target_latency_ms\":" + std::to_string(latency_ms) +
            ",\"priority\":1,\"service\":" + Quoted(it.service) +
            ",\"max_attempts\":2}";
  }
  text += "],\"services\":[";
  for (std::size_t n = 0; n < services.size(); ++n) {
    text += (n == 0 ? "" : ",") + std::string("{\"name\":") +
            Quoted(services[n]) +
            ",\"health_check_path\":\"/health\",\"max_flows\":2000,"
            "\"protocol\":\"h1\",\"tls\":false}";
  }
  return text +
         "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

}  // namespace review3
