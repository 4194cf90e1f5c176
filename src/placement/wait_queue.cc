#include "src/placement/wait_queue.h"

namespace vanillalatch::internal {

void WaitQueue::Push(const WaitingRequest& waiting) {
  ClassQueues& queues = classes_[waiting.work.work_class];
  Queue& queue = waiting.work.pinned ? queues.pinned[*waiting.work.pinned]
                                     : queues.unpinned;
  expiries_.emplace(waiting.expires, waiting.work.request);
  const RequestId request = waiting.work.request;
  queue.push_back(waiting);
  index_.emplace(request, std::prev(queue.end()));
  ++queues.size;
}

std::optional<WaitingRequest> WaitQueue::Remove(RequestId request) {
  const auto found = index_.find(request);
  if (found == index_.end()) {
    return std::nullopt;
  }
  WaitingRequest removed = *found->second;
  ClassQueues& queues = classes_[removed.work.work_class];
  if (removed.work.pinned) {
    const auto queue = queues.pinned.find(*removed.work.pinned);
    queue->second.erase(found->second);
    if (queue->second.empty()) {
      queues.pinned.erase(queue);
    }
  } else {
    queues.unpinned.erase(found->second);
  }
  --queues.size;
  expiries_.erase({removed.expires, request});
  index_.erase(found);
  return removed;
}

const WaitingRequest* WaitQueue::Find(RequestId request) const {
  const auto it = index_.find(request);
  return it == index_.end() ? nullptr : &*it->second;
}

const WaitQueue::Queue& WaitQueue::Unpinned(ClassId id) const {
  static const Queue kEmpty;
  const auto it = classes_.find(id);
  return it == classes_.end() ? kEmpty : it->second.unpinned;
}

const std::map<EndpointId, WaitQueue::Queue>& WaitQueue::Pinned(
    ClassId id) const {
  static const std::map<EndpointId, Queue> kEmpty;
  const auto it = classes_.find(id);
  return it == classes_.end() ? kEmpty : it->second.pinned;
}

std::size_t WaitQueue::SizeOf(ClassId id) const {
  const auto it = classes_.find(id);
  return it == classes_.end() ? 0 : it->second.size;
}

const WaitingRequest* WaitQueue::Newest(ClassId id) const {
  const Queue& queue = Unpinned(id);
  return queue.empty() ? nullptr : &queue.back();
}

const WaitingRequest* WaitQueue::FirstToExpire() const {
  if (expiries_.empty()) {
    return nullptr;
  }
  return &*index_.at(expiries_.begin()->second);
}

std::size_t WaitQueue::CountPinnedTo(EndpointId endpoint) const {
  std::size_t n = 0;
  for (const auto& [id, queues] : classes_) {
    const auto queue = queues.pinned.find(endpoint);
    n += queue == queues.pinned.end() ? 0 : queue->second.size();
  }
  return n;
}

std::vector<RequestId> WaitQueue::RequestsByExpiry() const {
  std::vector<RequestId> requests;
  requests.reserve(expiries_.size());
  for (const auto& [expires, request] : expiries_) {
    requests.push_back(request);
  }
  return requests;
}

}  // namespace vanillalatch::internal
