// Requests that wait for a slot: first come, first served in each class, and
// apart for each endpoint where work is pinned.
//
//   queue.Push({work, now, expires});
//   if (const Waiting* it = queue.First(class_id)) ...
//   std::optional<Waiting> it = queue.Take(request);
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

struct Waiting {
  Work work;
  TimePoint submitted;
  TimePoint expires;  // It is refused if it still waits then.
};

class WaitQueue {
 public:
  using Line = std::list<Waiting>;

  // The request must not wait already.
  void Push(const Waiting& waiting);
  // Removes a request; nullopt if it does not wait.
  std::optional<Waiting> Take(RequestId request);

  // Unpinned work of a class, oldest first.
  const Line& Unpinned(ClassId id) const;
  // Pinned work of a class, by endpoint, oldest first. No line is empty.
  const std::map<EndpointId, Line>& Pinned(ClassId id) const;

  std::size_t size() const { return index_.size(); }
  std::size_t SizeOf(ClassId id) const;
  // The youngest unpinned request of a class; nullptr if there is none.
  const Waiting* Youngest(ClassId id) const;
  // The request that expires first; nullptr if none waits.
  const Waiting* FirstToExpire() const;
  // Pinned requests that wait for `endpoint`.
  std::size_t PinnedTo(EndpointId endpoint) const;
  // Every waiting request, in the order in which they expire.
  std::vector<RequestId> Requests() const;
  bool Contains(RequestId request) const { return index_.contains(request); }
  // nullptr if it does not wait.
  const Waiting* Find(RequestId request) const;

 private:
  struct ClassLines {
    Line unpinned;
    std::map<EndpointId, Line> pinned;
    std::size_t size = 0;
  };

  std::map<ClassId, ClassLines> classes_;
  absl::flat_hash_map<RequestId, Line::iterator> index_;
  std::set<std::pair<TimePoint, RequestId>> expiries_;
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_PLACEMENT_WAIT_QUEUE_H_
