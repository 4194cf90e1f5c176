// Bounds how long the datagrams of a socket may have waited before this VM
// reads them: a VM that was frozen, suspended or slow finds old ones in its
// socket buffer. The caller passes the time of a clock that counts suspension.
//
//   ReceiveDelay delay(now);
//   delay.OnTurn(now);  // By a timer, every kTurnInterval.
//   Duration bound = delay.Bound(now);
//   std::size_t n = socket.Receive(handle);
//   delay.OnRead(now, n < UdpSocket::kBatchDatagrams);
#ifndef VANILLALATCH_PACKETFLOW_RECEIVE_DELAY_H_
#define VANILLALATCH_PACKETFLOW_RECEIVE_DELAY_H_

#include <chrono>

#include "vanillalatch/base/time.h"

namespace vanillalatch {

class ReceiveDelay {
 public:
  // An idle VM's bound is at most two intervals. A small part of the 100 ms for
  // which an opening packet that was handed over stays without an answer.
  static constexpr Duration kTurnInterval = std::chrono::milliseconds(20);

  // `now`: when the socket was bound.
  explicit ReceiveDelay(TimePoint now) : empty_at_(now), turn_at_(now) {}

  // The loop has come to its timer. A datagram that had arrived before the
  // previous turn has been read meanwhile, unless a part of the buffer was
  // left. Turns that follow each other too closely are ignored.
  void OnTurn(TimePoint now) {
    if (now < turn_at_ + kTurnInterval / 2) {
      return;
    }
    if (!has_backlog_) {
      empty_at_ = turn_at_;
    }
    turn_at_ = now;
  }

  // No datagram that is read now has waited for longer than this.
  Duration Bound(TimePoint now) const { return now - empty_at_; }

  // Records a read that began at `now`. `drained`: it left nothing in the
  // buffer.
  void OnRead(TimePoint now, bool drained) {
    has_backlog_ = !drained;
    if (drained) {
      empty_at_ = now;
      turn_at_ = now;
    }
  }

 private:
  TimePoint empty_at_;  // The buffer was empty then.
  TimePoint turn_at_;
  bool has_backlog_ = false;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_PACKETFLOW_RECEIVE_DELAY_H_
