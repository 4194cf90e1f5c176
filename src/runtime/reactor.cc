#include "vanillalatch/runtime/reactor.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <ctime>
#include <vector>

#include "vanillalatch/base/error.h"

namespace vanillalatch {
namespace {

constexpr int kEventsPerPoll = 64;
// Sockets are polled after this many fiber switches even while fibers are
// ready, so that busy fibers can't starve those that wait for sockets.
constexpr int kMaxSwitchesBetweenPolls = 32;

// Returns the time until `until` as an epoll_wait timeout, 60 s at most: -1 (no
// timeout) if `until` is the maximum.
int TimeoutMs(std::chrono::steady_clock::time_point until) {
  if (until == std::chrono::steady_clock::time_point::max()) {
    return -1;
  }
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(
      until - std::chrono::steady_clock::now());
  return static_cast<int>(std::clamp<std::int64_t>(left.count(), 0, 60'000));
}

}  // namespace

void FdWaiter::WaitReadable() {
  std::unique_lock<boost::fibers::mutex> lock(mutex_);
  changed_.wait(lock, [this] { return ready_; });
  ready_ = false;
}

void FdWaiter::Signal() {
  ready_ = true;
  changed_.notify_one();
}

// Schedules the ready fibers round-robin and sleeps in epoll_wait if there are
// none.
class EpollScheduler : public boost::fibers::algo::algorithm {
 public:
  EpollScheduler()
      : epoll_(epoll_create1(EPOLL_CLOEXEC)),
        wakeup_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
        reactor_(this) {
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.ptr = nullptr;
    if (epoll_ < 0 || wakeup_ < 0 ||
        epoll_ctl(epoll_, EPOLL_CTL_ADD, wakeup_, &event) != 0) {
      throw Error(ErrorKind::kInternal, "can't create the epoll instance");
    }
    last_created = this;
  }
  EpollScheduler(const EpollScheduler&) = delete;
  EpollScheduler& operator=(const EpollScheduler&) = delete;
  ~EpollScheduler() override {
    close(wakeup_);
    close(epoll_);
  }

  void awakened(boost::fibers::context* fiber) noexcept override {
    fiber->ready_link(ready_);
  }

  boost::fibers::context* pick_next() noexcept override {
    if (++switches_ >= kMaxSwitchesBetweenPolls) {
      Poll(0);
    }
    if (ready_.empty()) {
      return nullptr;
    }
    boost::fibers::context* fiber = &ready_.front();
    ready_.pop_front();
    return fiber;
  }

  bool has_ready_fibers() const noexcept override { return !ready_.empty(); }

  void suspend_until(
      const std::chrono::steady_clock::time_point& until) noexcept override {
    Poll(TimeoutMs(until));
  }

  void notify() noexcept override {
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t n = write(wakeup_, &one, sizeof(one));
  }

  FdWaiter& Watch(int fd) {
    waiters_.push_back(std::make_unique<FdWaiter>());
    epoll_event event{};
    event.events = EPOLLIN | EPOLLET;
    event.data.ptr = waiters_.back().get();
    if (epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event) != 0) {
      throw Error(ErrorKind::kInternal,
                  "can't watch a file descriptor with epoll");
    }
    return *waiters_.back();
  }

  Reactor& reactor() { return reactor_; }

  // The scheduler that was created last on this thread.
  // use_scheduling_algorithm() gives no other access to it.
  static thread_local EpollScheduler* last_created;

 private:
  void Poll(int timeout_ms) noexcept {
    switches_ = 0;
    std::array<epoll_event, kEventsPerPoll> events;
    const int n = epoll_wait(epoll_, events.data(), kEventsPerPoll, timeout_ms);
    for (int i = 0; i < n; ++i) {
      if (events[i].data.ptr != nullptr) {
        static_cast<FdWaiter*>(events[i].data.ptr)->Signal();
        continue;
      }
      std::uint64_t count = 0;
      [[maybe_unused]] const ssize_t got = read(wakeup_, &count, sizeof(count));
    }
  }

  int epoll_;
  int wakeup_;
  int switches_ = 0;
  boost::fibers::scheduler::ready_queue_type ready_;
  std::vector<std::unique_ptr<FdWaiter>> waiters_;
  Reactor reactor_;
};

thread_local EpollScheduler* EpollScheduler::last_created = nullptr;

Reactor& Reactor::StartOnThisThread() {
  boost::fibers::use_scheduling_algorithm<EpollScheduler>();
  return EpollScheduler::last_created->reactor();
}

FdWaiter& Reactor::Watch(int fd) { return scheduler_->Watch(fd); }

TimePoint Now() {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

TimePoint NowWithSuspension() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(std::chrono::seconds(time.tv_sec) +
                   std::chrono::nanoseconds(time.tv_nsec));
}

std::int64_t UnixEpochMs() {
  const auto unix_now = std::chrono::system_clock::now().time_since_epoch();
  const auto steady_now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(unix_now -
                                                               steady_now)
      .count();
}

std::int64_t UnixNowMs() {
  return UnixEpochMs() + ToMilliseconds(Now().time_since_epoch());
}

}  // namespace vanillalatch
