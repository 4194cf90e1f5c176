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

constexpr std::chrono::seconds kPublishInterval{1};

// Receives the signals of the process through a file descriptor. Must be
// created before any thread, because threads inherit the mask that blocks the
// signals.
class SignalFd {
 public:
  SignalFd() {
    sigset_t signals;
    sigemptyset(&signals);
    for (const int it : {SIGTERM, SIGINT, SIGHUP}) {
      sigaddset(&signals, it);
    }
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    fd_ = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    if (fd_ < 0) {
      throw Error(ErrorKind::kInternal,
                  "can't create the signal file descriptor");
    }
  }
  SignalFd(const SignalFd&) = delete;
  SignalFd& operator=(const SignalFd&) = delete;
  ~SignalFd() { close(fd_); }

  int fd() const { return fd_; }

  // Returns the next signal, or 0 if none is pending.
  int Read() const {
    signalfd_siginfo info{};
    return read(fd_, &info, sizeof(info)) == sizeof(info)
               ? static_cast<int>(info.ssi_signo)
               : 0;
  }

 private:
  int fd_ = -1;
};

// Suspends the fiber until SIGTERM or SIGINT. Calls `reload` at each SIGHUP.
template <typename Reload>
void WaitForStopSignal(const SignalFd& signals, FdWaiter& waiter,
                       Reload reload) {
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
             PlatformAdapter& adapter) {
  if (entry != nullptr) {
    publisher.Publish(entry->TakeTelemetry());
  }
  if (control != nullptr) {
    publisher.Publish(control->Status());
    publisher.PublishUnknownValues(adapter.unknown_values());
  }
  if (adapter.flows() != nullptr) {
    FlowShellCore& shell = *adapter.flows();
    publisher.Publish(shell.node(), shell.CatalogFreshness());
  }
}

// Applies the log settings of the file. An invalid file changes nothing.
void ReloadLogSettings(const std::string& settings_path,
                       const std::string& vm) {
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
             const CreatePlatformAdapterFunction& create_platform_adapter) {
  const SignalFd signals;
  StartLogging(settings.log_level, settings.log_file, settings.vm);
  for (const std::string& it : settings.ignored_keys) {
    LogEvent(LogLevel::kWarn, "setting_ignored",
             {{"key", it},
              {"settings_level", settings.level.value()},
              {"build_level", kCurrentLevel.value()}});
  }
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
  const std::unique_ptr<PlatformAdapter> adapter =
      create_platform_adapter(settings, fleet.get()).value();
  adapter->Start(reactor);
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
      Publish(publisher, entry.get(), control.get(), *adapter);
      boost::this_fiber::sleep_for(kPublishInterval);
    }
  }).detach();
  WaitForStopSignal(signals, reactor.Watch(signals.fd()),
                    [&] { ReloadLogSettings(settings_path, settings.vm); });
  LogEvent(LogLevel::kInfo, "stopping");
  adapter->Stop();
  if (entry != nullptr) {
    entry->Stop();
  }
  if (fleet != nullptr) {
    fleet->Stop();
  }
  if (control != nullptr) {
    control->Stop();
  }
  Publish(publisher, entry.get(), control.get(), *adapter);
  LogEvent(LogLevel::kInfo, "stopped");
  FlushLog();
  // Ends the process without destructors: fibers that still wait for sockets or
  // open calls are never resumed.
  std::_Exit(0);
}

}  // namespace vanillalatch
