#include "vanillalatch/runtime/serve.h"

#include <sys/signalfd.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <memory>

#include "src/runtime/control_shell.h"
#include "src/runtime/entry_shell.h"
#include "vanillalatch/runtime/reactor.h"

namespace vanillalatch {
namespace {

// Receives the signals of the process as a file. Made before any thread, so
// that no other thread takes them.
class SignalFile {
 public:
  SignalFile() {
    sigset_t signals;
    sigemptyset(&signals);
    for (const int it : {SIGTERM, SIGINT, SIGHUP}) {
      sigaddset(&signals, it);
    }
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    fd_ = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    if (fd_ < 0) {
      throw Error(ErrorKind::kInternal, "the kernel refuses a signal file");
    }
  }
  SignalFile(const SignalFile&) = delete;
  SignalFile& operator=(const SignalFile&) = delete;
  ~SignalFile() { close(fd_); }

  int fd() const { return fd_; }

  // The next signal, or 0 if none has come.
  int Read() const {
    signalfd_siginfo info{};
    return read(fd_, &info, sizeof(info)) == sizeof(info)
               ? static_cast<int>(info.ssi_signo)
               : 0;
  }

 private:
  int fd_ = -1;
};

// Suspends the fiber until a signal asks the process to stop.
template <typename Reload>
void WaitForStop(const SignalFile& signals, FdWaiter& waiter, Reload reload) {
  for (;;) {
    waiter.WaitReadable();
    for (int it = signals.Read(); it != 0; it = signals.Read()) {
      if (it != SIGHUP) {
        return;
      }
      reload();
    }
  }
}

}  // namespace

int RunServe(const Settings& settings, const std::string& settings_path) {
  const SignalFile signals;
  Reactor& reactor = Reactor::StartOnThisThread();
  std::unique_ptr<ControlShell> control;
  std::unique_ptr<EntryShell> entry;
  if (settings.control) {
    control = ControlShell::Create(settings).value();
    control->Start();
  }
  if (settings.entry) {
    entry = EntryShell::Create(settings).value();
    entry->Start(reactor);
  }
  WaitForStop(signals, reactor.Watch(signals.fd()), [] {});
  if (entry != nullptr) {
    entry->Stop();
  }
  if (control != nullptr) {
    control->Stop();
  }
  // Sockets and open calls end with the process; fibers that still wait for
  // them are not resumed.
  std::_Exit(0);
}

}  // namespace vanillalatch
