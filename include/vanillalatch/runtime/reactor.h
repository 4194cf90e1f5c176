// Schedules the fibers of a thread over epoll. A fiber that waits for a socket
// or a time is suspended while other fibers run; the thread sleeps in
// epoll_wait only when no fiber is ready.
//
//   Reactor& reactor = Reactor::StartOnThisThread();
//   FdWaiter waiter = reactor.Watch(fd);
//   boost::fibers::fiber([&] { waiter.WaitReadable(); Read(fd); }).join();
#ifndef VANILLALATCH_RUNTIME_REACTOR_H_
#define VANILLALATCH_RUNTIME_REACTOR_H_

#include <boost/fiber/all.hpp>
#include <chrono>
#include <cstdint>
#include <memory>

#include "vanillalatch/base/time.h"

namespace vanillalatch {

// Lets a fiber wait until a watched file descriptor is readable.
class FdWaiter {
 public:
  // Suspends the fiber until the descriptor may be readable. The notification
  // is edge-triggered: read until the kernel has no more data before waiting
  // again.
  void WaitReadable();

 private:
  friend class Reactor;
  friend class EpollScheduler;
  void Signal();

  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable changed_;
  bool ready_ = true;
};

// Calls `receive`, which returns the number of datagrams it received, whenever
// datagrams may have arrived; returns once `stopped` is true. Other fibers run
// between two batches.
template <typename Receive>
void ServeBatches(FdWaiter& waiter, const bool& stopped, Receive receive) {
  while (!stopped) {
    waiter.WaitReadable();
    while (receive() > 0) {
      boost::this_fiber::yield();
    }
  }
}

class EpollScheduler;

class Reactor {
 public:
  // Installs the epoll scheduler on this thread. Call once per thread, before
  // its first fiber starts. Throws Error(kInternal) if the kernel can't create
  // the epoll instance.
  static Reactor& StartOnThisThread();

  // Watches `fd`, which must be non-blocking and outlive the fibers that wait
  // for it. The reactor owns the returned waiter. Throws Error(kInternal) if
  // the kernel can't watch the descriptor.
  FdWaiter& Watch(int fd);

 private:
  friend class EpollScheduler;
  explicit Reactor(EpollScheduler* scheduler) : scheduler_(scheduler) {}

  EpollScheduler* scheduler_;
};

// The current time of the steady clock. Only the code that does I/O calls this;
// the libraries without I/O receive the time as a parameter.
TimePoint Now();

// The time of a clock that, unlike Now(), also counts the time for which this
// machine was suspended. Not to be compared with Now().
TimePoint NowWithSuspension();

// The Unix time at TimePoint zero, in milliseconds.
std::int64_t UnixEpochMs();
// The current Unix time, in milliseconds.
std::int64_t UnixNowMs();

}  // namespace vanillalatch

#endif  // VANILLALATCH_RUNTIME_REACTOR_H_
