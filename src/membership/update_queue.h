// Member updates that still ride along, each a bounded number of times; those
// sent least go first.
#ifndef VANILLALATCH_SRC_MEMBERSHIP_UPDATE_QUEUE_H_
#define VANILLALATCH_SRC_MEMBERSHIP_UPDATE_QUEUE_H_

#include <algorithm>
#include <cstddef>
#include <vector>

#include "vanillalatch/base/strong.h"

namespace vanillalatch::internal {

struct QueuedUpdate {
  NodeId id;
  bool full = false;  // With name and address.
  std::size_t sent = 0;
};

class UpdateQueue {
 public:
  // Sends the state of `id` from the start; replaces an older entry.
  void Push(NodeId id, bool full) {
    const auto it =
        std::find_if(queue_.begin(), queue_.end(),
                     [&](const QueuedUpdate& u) { return u.id == id; });
    if (it != queue_.end()) {
      full |= it->full;
      queue_.erase(it);
    }
    queue_.insert(queue_.begin(), {id, full, 0});
  }

  // Somebody else spreads it as well: that is one send less to do.
  void Heard(NodeId id) {
    for (QueuedUpdate& it : queue_) {
      it.sent += it.id == id ? 1 : 0;
    }
  }

  // Calls append(update) for each entry until it returns false; drops what
  // has been sent `sends` times. Leaves out what is about `skipped`.
  template <typename F>
  void Drain(std::size_t sends, NodeId skipped, F append) {
    std::stable_sort(queue_.begin(), queue_.end(),
                     [](const QueuedUpdate& a, const QueuedUpdate& b) {
                       return a.sent < b.sent;
                     });
    for (QueuedUpdate& it : queue_) {
      if (it.id == skipped) {
        continue;
      }
      if (!append(it)) {
        break;
      }
      ++it.sent;
    }
    std::erase_if(queue_,
                  [&](const QueuedUpdate& it) { return it.sent >= sends; });
  }

  // True if an entry was sent fewer than `sends` times.
  bool HasSentBelow(std::size_t sends) const {
    return std::any_of(queue_.begin(), queue_.end(),
                       [&](const QueuedUpdate& it) { return it.sent < sends; });
  }

 private:
  std::vector<QueuedUpdate> queue_;
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_MEMBERSHIP_UPDATE_QUEUE_H_
