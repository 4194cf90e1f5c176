// Runs fibers over epoll: a fiber that waits for a socket or a time lets the
// others run, and the thread sleeps only when no fiber is ready.
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

// The state of one watched descriptor.
class FdWaiter {
 public:
  // Suspends the fiber until the descriptor may be readable. Edge triggered:
  // read until the kernel has nothing more before waiting again.
  void WaitReadable();

 private:
  friend class Reactor;
  friend class EpollScheduler;
  void Signal();

  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable changed_;
  bool ready_ = true;
};

// Calls `receive`, which returns how many datagrams it took, whenever some may
// have come. Other fibers run between two batches.
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
  // Makes this thread run its fibers over epoll. Call once a thread, before
  // its first fiber. Throws Error(kInternal) if the kernel refuses.
  static Reactor& StartOnThisThread();

  // Watches `fd`, which must be non-blocking and outlive its fibers. The
  // waiter belongs to the reactor.
  FdWaiter& Watch(int fd);

 private:
  friend class EpollScheduler;
  explicit Reactor(EpollScheduler* scheduler) : scheduler_(scheduler) {}

  EpollScheduler* scheduler_;
};

// The time now, for the shells alone.
TimePoint Now();

// Milliseconds of Unix time at TimePoint zero, and now.
std::int64_t UnixEpochMs();
std::int64_t UnixNowMs();

}  // namespace vanillalatch

#endif  // VANILLALATCH_RUNTIME_REACTOR_H_
