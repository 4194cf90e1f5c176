#include "src/packetflow/pending_message.h"

#include <algorithm>
#include <utility>

namespace vanillalatch::internal {
namespace {

constexpr Duration kAgeUnit = std::chrono::microseconds(100);
// Items that are due at once.
constexpr TimePoint kAtOnce = TimePoint::min();

}  // namespace

std::uint32_t EncodeAge(Duration age) {
  return static_cast<std::uint32_t>(age / kAgeUnit);
}

Duration DecodeAge(std::uint32_t age) { return age * kAgeUnit; }

pb::FlowOpening& PendingMessage::AddOpening(std::uint64_t id) {
  due_ = kAtOnce;
  for (int i = message_.ends_size() - 1; i >= 0; --i) {
    if (message_.ends(i).id() == id) {
      message_.mutable_ends()->DeleteSubrange(i, 1);
      ends_at_.erase(ends_at_.begin() + i);
    }
  }
  return *message_.add_openings();
}

pb::FlowTaken& PendingMessage::AddTaken() {
  due_ = kAtOnce;
  return *message_.add_taken();
}

pb::ShardLoad& PendingMessage::AddLoad() {
  due_ = kAtOnce;
  return *message_.add_loads();
}

void PendingMessage::AddSeen(TimePoint now, pb::FlowSeen report) {
  due_ = report.requests() ? kAtOnce : std::min(due_, now + max_wait_);
  if (report.requests()) {
    for (pb::FlowSeen& it : *message_.mutable_seen()) {
      if (it.id() == report.id() && !it.requests() && !it.answered()) {
        it = std::move(report);
        return;
      }
    }
  }
  *message_.add_seen() = std::move(report);
  seen_at_.push_back(now);
}

void PendingMessage::AddEnd(TimePoint now, pb::FlowEnd report) {
  due_ = std::min(due_, now + max_wait_);
  *message_.add_ends() = std::move(report);
  ends_at_.push_back(now);
}

pb::FlowMessage PendingMessage::Take(TimePoint now) {
  for (int i = 0; i < message_.seen_size(); ++i) {
    message_.mutable_seen(i)->set_age(
        EncodeAge(now - seen_at_[static_cast<std::size_t>(i)]));
  }
  for (int i = 0; i < message_.ends_size(); ++i) {
    message_.mutable_ends(i)->set_age(
        EncodeAge(now - ends_at_[static_cast<std::size_t>(i)]));
  }
  seen_at_.clear();
  ends_at_.clear();
  due_ = kNever;
  return std::exchange(message_, {});
}

}  // namespace vanillalatch::internal
