// Stand-ins of the platform for the cases of the third review: machines that
// run the project's program, an operator, endpoints, and a client with its
// router. One thread per activity, real clock, loopback addresses only.
#ifndef VANILLALATCH_REVIEW_STANDIN3_H_
#define VANILLALATCH_REVIEW_STANDIN3_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review3 {

// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

std::int64_t NowMs();  // Steady clock, since the start of the case.
std::int64_t UnixMs();
void SleepMs(std::int64_t ms);
// Writes a line with the time to record.txt.
void Record(const char* format, ...) __attribute__((format(printf, 1, 2)));
// Ends the case: stops every process that it started, and exits.
[[noreturn]] void Finish(int code, const std::string& why);

struct HttpAnswer {
  int status = 0;  // 0: no answer within the time limit.
  std::string location;
  std::string body;
};
// One call on a new connection, which is closed at the end or at the limit.
HttpAnswer Http(const std::string& ip, int port, const std::string& method,
                const std::string& path, const std::string& body, int limit_ms);

// Ports are the same on all machines; each machine has its own address.
struct Ports {
  int datagram = 0, ready = 0, control = 0, internal_first = 0,
      internal_last = 0, endpoint = 0;
};

struct Machine {
  std::string name, zone, ip;
  bool is_control = false;
  std::vector<std::string> seeds;  // Control addresses without ports.
  pid_t pid = 0;
  std::string data_folder() const;
};

class Site {
 public:
  // Chooses free ports and a temporary folder.
  explicit Site(std::vector<std::string> zones, int heartbeat_ms);
  std::string Address(int machine) const;  // The n-th address of the site.
  // Starts the program with the settings of deploy/control.json or
  // deploy/entry.json, filled in.
  void Start(Machine& machine, bool bootstrap);
  void Signal(Machine& machine, int signal);
  bool WaitForExit(Machine& machine, std::int64_t limit_ms);
  void LoseDisk(const Machine& machine);
  std::string LogOf(const Machine& machine) const;

  Ports ports;
  std::vector<std::string> zones;
  int heartbeat_ms;
  std::string folder;

 private:
  int prefix_ = 0;
};

// Sends the call as an operator does: to one machine after the other, follows a
// redirect twice, at most a second a call. Returns true if it was acknowledged
// within the limit.
bool Replace(const Site& site, const std::vector<Machine*>& controls,
             const std::string& manifest, std::int64_t limit_ms);
// Reads the manifest at one machine. Returns its version, 0 if it did not come.
std::uint64_t ReadVersion(const Site& site, const Machine& machine,
                          int* status = nullptr);
bool Trouble();  // False with TROUBLE=0.

struct Route {
  std::string name, host, service;
  int port = 0;
};
std::string ManifestText(std::uint64_t version,
                         const std::vector<Route>& routes,
                         const std::vector<std::string>& services,
                         int timeout_ms, int latency_ms = 100);

}  // namespace review3

#endif  // VANILLALATCH_REVIEW_STANDIN3_H_
