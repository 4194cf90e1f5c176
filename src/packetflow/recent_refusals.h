// Remembers the callers whose flows were refused, for the short time in which
// they try again with a new flow. Such a try belongs to an earlier request, so
// it must not be served before requests that can still meet their target.
//
// A caller is known by its IP address, route and class. Of callers that share
// an address, one may be taken for another; each refusal is used for one flow
// only, and for none if many callers seem to share the address.
//
//   refusals.Add(now, opening, issued_at);
//   issued_at = refusals.TakeIssued(now, next_opening).value_or(now);
#ifndef VANILLALATCH_SRC_PACKETFLOW_RECENT_REFUSALS_H_
#define VANILLALATCH_SRC_PACKETFLOW_RECENT_REFUSALS_H_

#include <deque>
#include <optional>
#include <tuple>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "vanillalatch/packetflow/flow_dispatcher.h"

namespace vanillalatch::internal {

class RecentRefusals {
 public:
  // A new flow belongs to a refusal of at most this age. Callers try again as
  // soon as the refusal reaches them, some milliseconds after it.
  static constexpr Duration kRetryWindow = std::chrono::milliseconds(100);
  // With more recent refusals than this, the address is taken to be shared by
  // many callers, whose next flows may belong to any of them.
  static constexpr std::size_t kMaxPerCaller = 3;

  // Records that the flow of `opening` was refused. `issued_at`: when its
  // caller sent the request. No effect if the caller has no time left.
  void Add(TimePoint now, const FlowOpening& opening, TimePoint issued_at) {
    RemoveExpired(now);
    if (now >= issued_at + opening.timeout) {
      return;
    }
    const Key key = KeyOf(opening);
    const TimePoint until = now + kRetryWindow;
    refusals_[key].push_back({issued_at, until});
    expiries_.emplace_back(until, key);
  }

  // If the flow of `opening` is the next try of a refused one, returns when the
  // caller sent the request, and forgets the refusal.
  std::optional<TimePoint> TakeIssued(TimePoint now,
                                      const FlowOpening& opening) {
    RemoveExpired(now);
    const auto it = refusals_.find(KeyOf(opening));
    if (it == refusals_.end() || it->second.size() > kMaxPerCaller) {
      return std::nullopt;
    }
    const TimePoint issued_at = it->second.front().issued_at;
    it->second.pop_front();
    if (it->second.empty()) {
      refusals_.erase(it);
    }
    return issued_at;
  }

 private:
  struct Refusal {
    TimePoint issued_at;
    TimePoint until;
  };
  using Key = std::tuple<std::uint32_t, SocketAddress, ClassId>;

  static Key KeyOf(const FlowOpening& opening) {
    return {opening.caller.ip, opening.route, opening.work_class};
  }
  void RemoveExpired(TimePoint now) {
    for (; !expiries_.empty() && expiries_.front().first <= now;
         expiries_.pop_front()) {
      const auto it = refusals_.find(expiries_.front().second);
      if (it == refusals_.end()) {
        continue;
      }
      std::deque<Refusal>& refusals = it->second;
      while (!refusals.empty() && refusals.front().until <= now) {
        refusals.pop_front();
      }
      if (refusals.empty()) {
        refusals_.erase(it);
      }
    }
  }

  absl::flat_hash_map<Key, std::deque<Refusal>> refusals_;  // Oldest first.
  std::deque<std::pair<TimePoint, Key>> expiries_;          // Oldest first.
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_PACKETFLOW_RECENT_REFUSALS_H_
