#include "vanillalatch/runtime/serve.h"

#include <sys/signalfd.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <memory>

#include "src/runtime/control_shell.h"
#include "src/runtime/entry_shell.h"
#include "src/runtime/fleet_shell.h"
#include "src/runtime/publisher.h"
#include "vanillalatch/runtime/reactor.h"
#include "vanillalatch/telemetry/log.h"

namespace vanillalatch {
namespace {

constexpr std::chrono::seconds kPublishEvery{1};

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

void Publish(Publisher& publisher, EntryShell* entry, ControlShell* control,
             Doors& doors) {
  if (entry != nullptr) {
    publisher.Publish(entry->View());
  }
  if (control != nullptr) {
    publisher.Publish(control->Status());
  }
  if (doors.flows() != nullptr) {
    publisher.Publish(*doors.flows());
  }
}

// Takes over the log settings; a file that is not valid changes nothing.
void ReloadLog(const std::string& settings_path, const std::string& vm) {
  const Result<Settings> settings = ReadSettings(settings_path);
  if (!settings.ok()) {
    LogEvent(LogLevel::kError, "settings_refused",
             {{"reason", std::string(settings.error().what())}});
    return;
  }
  StartLogging(settings->log_level, settings->log_file, vm);
  LogEvent(LogLevel::kInfo, "settings_reloaded",
           {{"level", settings->log_level}});
}

}  // namespace

int RunServe(const Settings& settings, const std::string& settings_path,
             const OpenDoorsFunction& open_doors) {
  const SignalFile signals;
  StartLogging(settings.log_level, settings.log_file, settings.vm);
  Reactor& reactor = Reactor::StartOnThisThread();
  Publisher publisher = Publisher::Create(settings).value();
  std::unique_ptr<ControlShell> control;
  std::unique_ptr<FleetShell> fleet;
  std::unique_ptr<EntryShell> entry;
  if (settings.control) {
    control = ControlShell::Create(settings).value();
    if (settings.fleet) {
      fleet = FleetShell::Create(settings, *control).value();
      fleet->Start(reactor);
    }
    control->Start();
  }
  const std::unique_ptr<Doors> doors =
      open_doors(settings, fleet.get()).value();
  doors->Start(reactor);
  if (settings.entry) {
    entry = EntryShell::Create(settings).value();
    entry->Start(reactor);
  }
  LogEvent(LogLevel::kInfo, "started",
           {{"entry", entry != nullptr},
            {"control", control != nullptr},
            {"flows", settings.flows.has_value()}});
  boost::fibers::fiber([&] {
    for (;;) {
      Publish(publisher, entry.get(), control.get(), *doors);
      boost::this_fiber::sleep_for(kPublishEvery);
    }
  }).detach();
  WaitForStop(signals, reactor.Watch(signals.fd()),
              [&] { ReloadLog(settings_path, settings.vm); });
  LogEvent(LogLevel::kInfo, "stopping");
  doors->Stop();
  if (entry != nullptr) {
    entry->Stop();
  }
  if (fleet != nullptr) {
    fleet->Stop();
  }
  if (control != nullptr) {
    control->Stop();
  }
  Publish(publisher, entry.get(), control.get(), *doors);
  LogEvent(LogLevel::kInfo, "stopped");
  FlushLog();
  // Sockets and open calls end with the process; fibers that still wait for
  // them are not resumed.
  std::_Exit(0);
}

}  // namespace vanillalatch
