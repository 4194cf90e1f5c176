// The requests that wait for a slot. Each class has a FIFO queue of its
// unpinned requests, and one of its pinned requests for each endpoint.
//
//   queue.Push({work, issued, expires});
//   for (const WaitingRequest& it : queue.Unpinned(class_id)) ...
//   std::optional<WaitingRequest> removed = queue.Remove(request);
#ifndef VANILLALATCH_PLACEMENT_WAIT_QUEUE_H_
#define VANILLALATCH_PLACEMENT_WAIT_QUEUE_H_

#include <cstddef>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "vanillalatch/placement/slot_scheduler.h"

namespace vanillalatch::internal {

struct WaitingRequest {
  Work work;
  TimePoint issued;   // When the caller sent it.
  TimePoint expires;  // Leaves the queue if it still waits then.
};

class WaitQueue {
 public:
  using Queue = std::list<WaitingRequest>;

  // Adds a request, which must not be in the queue yet.
  void Push(const WaitingRequest& waiting);
  // Removes a request and returns it; nullopt if it is not in the queue.
  std::optional<WaitingRequest> Remove(RequestId request);

  // Unpinned work of a class, oldest first.
  const Queue& Unpinned(ClassId id) const;
  // Pinned work of a class by endpoint, oldest first. No queue in it is empty.
  const std::map<EndpointId, Queue>& Pinned(ClassId id) const;

  // Number of waiting requests of all classes.
  std::size_t size() const { return index_.size(); }
  // Number of waiting requests of a class, pinned or not.
  std::size_t SizeOf(ClassId id) const;
  // The newest unpinned request of a class; nullptr if there is none.
  const WaitingRequest* Newest(ClassId id) const;
  // The request that expires first; nullptr if the queue is empty.
  const WaitingRequest* FirstToExpire() const;
  // Number of requests that are pinned to `endpoint`.
  std::size_t CountPinnedTo(EndpointId endpoint) const;
  // All waiting requests in the order in which they expire.
  std::vector<RequestId> RequestsByExpiry() const;
  bool Contains(RequestId request) const { return index_.contains(request); }
  // Returns nullptr if the request is not in the queue.
  const WaitingRequest* Find(RequestId request) const;

 private:
  struct ClassQueues {
    Queue unpinned;
    std::map<EndpointId, Queue> pinned;
    std::size_t size = 0;
  };

  std::map<ClassId, ClassQueues> classes_;
  absl::flat_hash_map<RequestId, Queue::iterator> index_;
  std::set<std::pair<TimePoint, RequestId>> expiries_;
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_PLACEMENT_WAIT_QUEUE_H_
