#include "src/membership/evacuation_board.h"

#include <algorithm>
#include <utility>

namespace vanillalatch::internal {
namespace {

bool IsValid(const pb::EvacuationNotice& notice) {
  return notice.revision() > 0 &&
         notice.data_centers_size() <= EvacuationBoard::kMaxDataCenters &&
         std::all_of(notice.data_centers().begin(), notice.data_centers().end(),
                     [](const std::string& it) {
                       return !it.empty() &&
                              it.size() <= EvacuationBoard::kMaxNameBytes;
                     });
}

}  // namespace

void EvacuationBoard::Set(TimePoint now, EvacuationState state) {
  if (state.revision < state_.revision) {
    return;
  }
  if (state.data_centers.empty() && !state_.data_centers.empty()) {
    end_notice_until_ = now + kEndNoticeTime;
  }
  state_ = std::move(state);
}

void EvacuationBoard::Merge(TimePoint now,
                            const pb::MembershipMessage& message) {
  const pb::EvacuationNotice& notice = message.evacuations();
  if (message.has_evacuations() && IsValid(notice) &&
      notice.revision() > state_.revision) {
    Set(now, {notice.revision(),
              {notice.data_centers().begin(), notice.data_centers().end()}});
  }
}

void EvacuationBoard::Append(TimePoint now, std::size_t max_bytes,
                             pb::MembershipMessage& message) const {
  if (state_.data_centers.empty() && now >= end_notice_until_) {
    return;
  }
  pb::EvacuationNotice& notice = *message.mutable_evacuations();
  notice.set_revision(state_.revision);
  for (const std::string& it : state_.data_centers) {
    notice.add_data_centers(it);
  }
  if (message.ByteSizeLong() > max_bytes) {
    message.clear_evacuations();
  }
}

}  // namespace vanillalatch::internal
