// Processes of the system, and HTTP calls.
#include "standin2.h"

namespace review {

int ConnectTcp(const Address& to, int timeout_ms) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in s = ToSockaddr(to);
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&s), sizeof s) != 0) {
    if (errno != EINPROGRESS) {
      close(fd);
      return -1;
    }
    pollfd p{fd, POLLOUT, 0};
    int error = 0;
    socklen_t n = sizeof error;
    if (poll(&p, 1, timeout_ms) != 1 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &n) != 0 || error != 0) {
      close(fd);
      return -1;
    }
  }
  return fd;
}

HttpReply ReadReply(int fd, std::int64_t until_ms) {
  std::string in;
  HttpReply reply;
  std::size_t need = std::string::npos;
  std::size_t head = 0;
  for (;;) {
    const std::int64_t left = until_ms - NowMs();
    pollfd p{fd, POLLIN, 0};
    if (left <= 0 || poll(&p, 1, static_cast<int>(left)) != 1) {
      return {};
    }
    char buf[16384];
    const ssize_t n = recv(fd, buf, sizeof buf, 0);
    if (n <= 0) {
      return {};
    }
    in.append(buf, static_cast<std::size_t>(n));
    if (need == std::string::npos) {
      head = in.find("\r\n\r\n");
      if (head == std::string::npos) {
        continue;
      }
      std::string lower = in.substr(0, head + 2);
      std::transform(lower.begin(), lower.end(), lower.begin(), ::tolower);
      const std::size_t at = lower.find("content-length:");
      need = head + 4 +
             (at == std::string::npos ? 0 : std::stoul(lower.substr(at + 15)));
      const std::size_t loc = lower.find("location:");
      if (loc != std::string::npos) {
        std::size_t b = loc + 9;
        while (in[b] == ' ') ++b;
        reply.location = in.substr(b, in.find('\r', b) - b);
      }
    }
    if (in.size() >= need) {
      reply.status = std::stoi(in.substr(9, 3));
      reply.body = in.substr(head + 4, need - head - 4);
      return reply;
    }
  }
}

std::string MakeRequest(const Address& to, const std::string& method,
                        const std::string& path, const std::string& body) {
  std::string out = method + " " + path + " HTTP/1.1\r\nHost: " + to.Text() +
                    "\r\nConnection: close\r\n";
  if (method == "POST") {
    out += "Content-Type: application/json\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n";
  }
  return out + "\r\n" + body;
}

HttpReply Http(const Address& to, const std::string& method,
               const std::string& path, const std::string& body,
               int timeout_ms) {
  const std::int64_t until = NowMs() + timeout_ms;
  const int fd = ConnectTcp(to, timeout_ms);
  if (fd < 0) {
    return {};
  }
  const std::string out = MakeRequest(to, method, path, body);
  std::size_t sent = 0;
  while (sent < out.size()) {
    const ssize_t n =
        send(fd, out.data() + sent, out.size() - sent, MSG_NOSIGNAL);
    if (n > 0) {
      sent += static_cast<std::size_t>(n);
      continue;
    }
    pollfd p{fd, POLLOUT, 0};
    if (NowMs() >= until || errno != EAGAIN || poll(&p, 1, 50) < 0) {
      break;
    }
  }
  HttpReply reply = ReadReply(fd, until);
  close(fd);
  return reply;
}

void Process::Start(const std::string& program) {
  pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // It ends with this program.
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, 1);
    dup2(out, 2);
    execl(program.c_str(), program.c_str(), "serve", "--config",
          settings.c_str(), static_cast<char*>(nullptr));
    _exit(127);
  }
}

bool Process::Running() {
  if (pid <= 0) {
    return false;
  }
  int status = 0;
  if (waitpid(pid, &status, WNOHANG) == pid) {
    exit_status = status;
    pid = -1;
    return false;
  }
  return true;
}

bool Process::Wait(std::int64_t ms) {
  const std::int64_t until = NowMs() + ms;
  while (Running()) {
    if (NowMs() >= until) {
      return false;
    }
    SleepMs(5);
  }
  return true;
}

Deployment::Deployment(DeploymentOptions options)
    : options_(std::move(options)) {
  std::random_device random;
  // A free part of 127.0.0.0/8 and free ports, below the ephemeral ones.
  for (;;) {
    net_ = 64 + random() % 180;
    base_port_ = static_cast<int>(12000 + 32 * (random() % 500));
    bool free = true;
    for (const int role : {1, 2}) {
      for (int port = 0; port < 24; ++port) {
        const int fd = BindUdp(At(role, 1, base_port_ + port));
        free = free && fd >= 0;
        if (fd >= 0) close(fd);
      }
    }
    if (free) {
      break;
    }
  }
  for (int n = 0; n < options_.cores; ++n) {
    auto core = std::make_unique<Core>();
    core->control = At(1, n + 1, base_port_);
    core->zone = Zone(n % options_.zones);
    core->process.name = "core-" + std::to_string(n + 1);
    core->folder = options_.temp + "/" + core->process.name;
    cores_.push_back(std::move(core));
  }
  for (int n = 0; n < options_.cores; ++n) {
    WriteCoreSettings(static_cast<std::size_t>(n), true);
  }
  for (int n = 0; n < options_.fronts; ++n) {
    AddFront(n % options_.zones);
  }
}

Deployment::~Deployment() { EndAll(); }

std::size_t Deployment::AddFront(int zone) {
  auto front = std::make_unique<Front>();
  const int number = static_cast<int>(fronts_.size()) + 1;
  front->packets = At(2, number, base_port_ + 2);
  front->ready = At(2, number, base_port_ + 1);
  front->zone = Zone(zone);
  front->process.name = "front-" + std::to_string(number);
  fronts_.push_back(std::move(front));
  WriteFrontSettings(fronts_.size() - 1);
  return fronts_.size() - 1;
}

// As deploy/control.json and deploy/entry.json are filled in.
std::string Deployment::CommonSettings(const std::string& name,
                                       const std::string& zone,
                                       const std::string& ip) const {
  std::string zones;
  for (int n = 0; n < options_.zones; ++n) {
    zones += (n > 0 ? ", " : "") + std::string("{\"name\": \"") + Zone(n) +
             "\", \"region\": \"region-1\"}";
  }
  std::string seeds;
  for (int n = 0; n < std::min(3, options_.cores); ++n) {
    seeds += (n > 0 ? ", \"" : "\"") + At(1, n + 1, base_port_).Text() + "\"";
  }
  return "\"vm\": \"" + name + "\",\n\"data_center\": \"" + zone +
         "\",\n\"data_centers\": [" + zones + "],\n\"fleet\": {\"listen\": \"" +
         ip + ":" + std::to_string(base_port_ + 5) + "\", \"seeds\": [" +
         seeds + "], \"control_port\": " + std::to_string(base_port_ + 20) +
         "},\n\"metrics\": \"" + ip + ":" + std::to_string(base_port_ + 5) +
         "\",\n\"log\": {\"level\": \"info\"}";
}

void Deployment::WriteCoreSettings(std::size_t n, bool first_start) {
  Core& core = *cores_[n];
  const std::string ip = core.control.Ip();
  core.process.settings = options_.temp + "/" + core.process.name + ".json";
  core.process.log = options_.temp + "/" + core.process.name + ".log";
  FILE* out = fopen(core.process.settings.c_str(), "w");
  fprintf(out,
          "{%s,\n\"control\": {\"listen\": \"%s:%d\", \"data_folder\": "
          "\"%s\", \"first_start\": %s},\n\"doors\": {\"control\": \"%s\", "
          "\"heartbeat\": \"%dms\"}}\n",
          CommonSettings(core.process.name, core.zone, ip).c_str(), ip.c_str(),
          base_port_ + 20, core.folder.c_str(), first_start ? "true" : "false",
          core.control.Text().c_str(), options_.heartbeat_ms);
  fclose(out);
}

void Deployment::WriteFrontSettings(std::size_t n) {
  Front& front = *fronts_[n];
  const std::string ip = front.packets.Ip();
  front.process.settings = options_.temp + "/" + front.process.name + ".json";
  front.process.log = options_.temp + "/" + front.process.name + ".log";
  FILE* out = fopen(front.process.settings.c_str(), "w");
  fprintf(out,
          "{%s,\n\"flows\": {\"listen\": \"%s\"},\n\"doors\": "
          "{\"readiness\": \"%s\"}}\n",
          CommonSettings(front.process.name, front.zone, ip).c_str(),
          front.packets.Text().c_str(), front.ready.Text().c_str());
  fclose(out);
}

bool Deployment::StartAll() {
  for (std::size_t n = 0; n < cores_.size(); ++n) {
    StartCore(n);
  }
  for (std::size_t n = 0; n < fronts_.size(); ++n) {
    StartFront(n);
  }
  SleepMs(300);
  bool running = true;
  for (auto& it : cores_) running = running && it->process.Running();
  for (auto& it : fronts_) running = running && it->process.Running();
  return running;
}

void Deployment::EndAll() {
  for (auto& it : cores_) {
    it->process.Signal(SIGKILL);
    it->process.Signal(SIGCONT);
  }
  for (auto& it : fronts_) {
    it->process.Signal(SIGKILL);
    it->process.Signal(SIGCONT);
  }
  for (auto& it : cores_) it->process.Wait(2000);
  for (auto& it : fronts_) it->process.Wait(2000);
}

}  // namespace review
