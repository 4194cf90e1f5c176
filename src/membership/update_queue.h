// UpdateQueue: the member updates to be piggybacked on datagrams, each a
// bounded number of times. The updates that were sent the fewest times go
// first.
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
  // Queues the state of `id` with no sends counted; replaces an older entry.
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

  // Counts an update that a peer sent as one of this VM's own sends, because
  // the peer gossips it too.
  void CountPeerSend(NodeId id) {
    for (QueuedUpdate& it : queue_) {
      it.sent += it.id == id ? 1 : 0;
    }
  }

  // Calls append(entry) for each entry until append returns false, and counts a
  // send for each entry for which it returned true. Skips the entry about
  // `skipped`. Removes entries that have been sent `max_sends` times.
  template <typename F>
  void ForEachDue(std::size_t max_sends, NodeId skipped, F append) {
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
                  [&](const QueuedUpdate& it) { return it.sent >= max_sends; });
  }

  // True if an entry was sent fewer than `max_sends` times.
  bool HasSentFewerThan(std::size_t max_sends) const {
    return std::any_of(
        queue_.begin(), queue_.end(),
        [&](const QueuedUpdate& it) { return it.sent < max_sends; });
  }

 private:
  std::vector<QueuedUpdate> queue_;
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_MEMBERSHIP_UPDATE_QUEUE_H_
