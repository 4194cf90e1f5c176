#include "src/placement/wait_queue.h"

namespace vanillalatch::internal {

void WaitQueue::Push(const Waiting& waiting) {
  ClassLines& lines = classes_[waiting.work.work_class];
  Line& line =
      waiting.work.pinned ? lines.pinned[*waiting.work.pinned] : lines.unpinned;
  expiries_.emplace(waiting.expires, waiting.work.request);
  const RequestId request = waiting.work.request;
  line.push_back(waiting);
  index_.emplace(request, std::prev(line.end()));
  ++lines.size;
}

std::optional<Waiting> WaitQueue::Take(RequestId request) {
  const auto found = index_.find(request);
  if (found == index_.end()) {
    return std::nullopt;
  }
  Waiting taken = *found->second;
  ClassLines& lines = classes_[taken.work.work_class];
  if (taken.work.pinned) {
    const auto line = lines.pinned.find(*taken.work.pinned);
    line->second.erase(found->second);
    if (line->second.empty()) {
      lines.pinned.erase(line);
    }
  } else {
    lines.unpinned.erase(found->second);
  }
  --lines.size;
  expiries_.erase({taken.expires, request});
  index_.erase(found);
  return taken;
}

const Waiting* WaitQueue::Find(RequestId request) const {
  const auto it = index_.find(request);
  return it == index_.end() ? nullptr : &*it->second;
}

const WaitQueue::Line& WaitQueue::Unpinned(ClassId id) const {
  static const Line kNone;
  const auto it = classes_.find(id);
  return it == classes_.end() ? kNone : it->second.unpinned;
}

const std::map<EndpointId, WaitQueue::Line>& WaitQueue::Pinned(
    ClassId id) const {
  static const std::map<EndpointId, Line> kNone;
  const auto it = classes_.find(id);
  return it == classes_.end() ? kNone : it->second.pinned;
}

std::size_t WaitQueue::SizeOf(ClassId id) const {
  const auto it = classes_.find(id);
  return it == classes_.end() ? 0 : it->second.size;
}

const Waiting* WaitQueue::Youngest(ClassId id) const {
  const Line& line = Unpinned(id);
  return line.empty() ? nullptr : &line.back();
}

const Waiting* WaitQueue::FirstToExpire() const {
  if (expiries_.empty()) {
    return nullptr;
  }
  return &*index_.at(expiries_.begin()->second);
}

std::size_t WaitQueue::PinnedTo(EndpointId endpoint) const {
  std::size_t n = 0;
  for (const auto& [id, lines] : classes_) {
    const auto line = lines.pinned.find(endpoint);
    n += line == lines.pinned.end() ? 0 : line->second.size();
  }
  return n;
}

std::vector<RequestId> WaitQueue::Requests() const {
  std::vector<RequestId> requests;
  requests.reserve(expiries_.size());
  for (const auto& [expires, request] : expiries_) {
    requests.push_back(request);
  }
  return requests;
}

}  // namespace vanillalatch::internal
