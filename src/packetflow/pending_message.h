// The items that this VM sends to another VM in its next datagrams. Openings,
// acknowledgements and requests are due at once. Reports of handshakes, answers
// and ends wait for a limited time, so that several of them share a datagram,
// and go along with whatever is sent earlier.
//
//   PendingMessage pending(milliseconds(5));
//   pending.AddSeen(now, report);
//   if (now >= pending.due()) {
//     Send(pending.Take(now));
//   }
#ifndef VANILLALATCH_SRC_PACKETFLOW_PENDING_MESSAGE_H_
#define VANILLALATCH_SRC_PACKETFLOW_PENDING_MESSAGE_H_

#include <cstdint>
#include <vector>

#include "flow.pb.h"
#include "vanillalatch/base/time.h"

namespace vanillalatch::internal {

// Converts the age of a report to the unit of its message, a tenth of a
// millisecond, and back.
std::uint32_t EncodeAge(Duration age);
Duration DecodeAge(std::uint32_t age);

class PendingMessage {
 public:
  // `max_wait`: the limit for reports that wait; zero sends all at once.
  explicit PendingMessage(Duration max_wait) : max_wait_(max_wait) {}

  // Returns a new item, to be filled. A waiting report of the end of an earlier
  // flow with the same id is dropped: the receiver would take it for the end of
  // the new flow, and the opening shows that the earlier one has ended.
  pb::FlowOpening& AddOpening(std::uint64_t id);
  pb::FlowTaken& AddTaken();
  pb::ShardLoad& AddLoad();
  // Adds a report of progress. A request replaces the waiting report of its
  // flow's handshake, as it shows the same.
  void AddSeen(TimePoint now, pb::FlowSeen report);
  void AddEnd(TimePoint now, pb::FlowEnd report);

  // When the items are to be sent; kNever if there are none.
  TimePoint due() const { return due_; }
  // Removes and returns the items, with the ages of the reports.
  pb::FlowMessage Take(TimePoint now);

 private:
  pb::FlowMessage message_;
  // When each report was added, in the order of the message.
  std::vector<TimePoint> seen_at_;
  std::vector<TimePoint> ends_at_;
  TimePoint due_ = kNever;
  Duration max_wait_;
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_PACKETFLOW_PENDING_MESSAGE_H_
