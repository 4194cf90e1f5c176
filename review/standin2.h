// Stand-ins of a small deployment for the scripts in review/: the platform
// (routers, readiness probes), callers, endpoints and an operator, on loopback
// addresses and the real clock, around real `vanillalatch` processes.
#ifndef REVIEW_STANDIN2_H_
#define REVIEW_STANDIN2_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

inline const Clock::time_point kStart = Clock::now();
// Milliseconds since the program started.
inline std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               kStart)
      .count();
}
inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline void SleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// record.txt: what was sent, answered and run.
class Record {
 public:
  explicit Record(const std::string& path) : file_(fopen(path.c_str(), "w")) {}
  ~Record() { fclose(file_); }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    std::lock_guard<std::mutex> lock(mutex_);
    fprintf(file_, "%9.3f ", static_cast<double>(NowMs()) / 1000);
    va_list args;
    va_start(args, format);
    vfprintf(file_, format, args);
    va_end(args);
    fputc('\n', file_);
  }

 private:
  FILE* file_;
  std::mutex mutex_;
};

struct Address {
  std::uint32_t ip = 0;  // Host byte order.
  std::uint16_t port = 0;
  std::string Ip() const {
    char buf[32];
    snprintf(buf, sizeof buf, "%u.%u.%u.%u", ip >> 24, (ip >> 16) & 255,
             (ip >> 8) & 255, ip & 255);
    return buf;
  }
  std::string Text() const { return Ip() + ":" + std::to_string(port); }
  bool operator<(const Address& o) const {
    return std::pair(ip, port) < std::pair(o.ip, o.port);
  }
  bool operator==(const Address& o) const {
    return ip == o.ip && port == o.port;
  }
};

inline sockaddr_in ToSockaddr(const Address& a) {
  sockaddr_in s{};
  s.sin_family = AF_INET;
  s.sin_addr.s_addr = htonl(a.ip);
  s.sin_port = htons(a.port);
  return s;
}

inline int BindUdp(const Address& a) {
  const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in s = ToSockaddr(a);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&s), sizeof s) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

struct HttpReply {
  int status = 0;  // 0: no response.
  std::string body;
  std::string location;
};

// Sends one request on a connection of its own.
HttpReply Http(const Address& to, const std::string& method,
               const std::string& path, const std::string& body,
               int timeout_ms);

// Reads the headers and body of one response from `fd`.
HttpReply ReadReply(int fd, std::int64_t until_ms);
// Returns a connected socket, or -1.
int ConnectTcp(const Address& to, int timeout_ms);
std::string MakeRequest(const Address& to, const std::string& method,
                        const std::string& path, const std::string& body);

// One `vanillalatch serve` process.
struct Process {
  std::string name;
  std::string settings;  // Path.
  std::string log;       // Path.
  pid_t pid = -1;
  int exit_status = -1;

  void Start(const std::string& program);
  bool Running();
  void Signal(int sig) {
    if (pid > 0) kill(pid, sig);
  }
  // Waits for its end.
  bool Wait(std::int64_t ms);
};

struct Core {
  Process process;
  Address control;  // The operator's and endpoints' door.
  std::string zone;
  std::string folder;
};

struct Front {
  Process process;
  Address packets;
  Address ready;
  std::string zone;
  std::atomic<bool> in_rotation{false};
  // When it was last disturbed; far in the future while it is.
  std::atomic<std::int64_t> disturbed_at{-1000000};
};

struct DeploymentOptions {
  int zones = 3;
  int cores = 3;
  int fronts = 6;
  int heartbeat_ms = 1200;
  std::string program = "target/vanillalatch";
  std::string temp;  // Folder of this run.
};

// The machines of the system. Addresses: 127.NET.ROLE.NUMBER.
class Deployment {
 public:
  explicit Deployment(DeploymentOptions options);
  ~Deployment();

  bool StartAll();
  void StartFront(std::size_t n) {
    fronts_[n]->process.Start(options_.program);
  }
  void StartCore(std::size_t n) { cores_[n]->process.Start(options_.program); }
  // Starts a machine that is added later.
  std::size_t AddFront(int zone);
  void EndAll();
  // Writes the settings of a control VM.
  void WriteCoreSettings(std::size_t n, bool first_start);

  std::vector<std::unique_ptr<Core>>& cores() { return cores_; }
  std::vector<std::unique_ptr<Front>>& fronts() { return fronts_; }
  std::string Zone(int n) const {
    return "zone-" + std::string(1, char('a' + n));
  }
  Address At(int role, int number, int port) const {
    return {(127u << 24) | (net_ << 16) |
                (static_cast<std::uint32_t>(role) << 8) |
                static_cast<std::uint32_t>(number),
            static_cast<std::uint16_t>(port)};
  }
  int base_port() const { return base_port_; }
  int packet_port() const { return base_port_ + 2; }
  const DeploymentOptions& options() const { return options_; }

 private:
  std::string CommonSettings(const std::string& name, const std::string& zone,
                             const std::string& ip) const;
  void WriteFrontSettings(std::size_t n);

  DeploymentOptions options_;
  std::uint32_t net_ = 0;
  int base_port_ = 0;
  std::vector<std::unique_ptr<Core>> cores_;
  std::vector<std::unique_ptr<Front>> fronts_;
};

}  // namespace review

#endif  // REVIEW_STANDIN2_H_
