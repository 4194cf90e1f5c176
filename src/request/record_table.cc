#include "vanillalatch/request/record_table.h"

#include <algorithm>

namespace vanillalatch {
namespace {

std::uint64_t MessageKey(SocketAddress caller, std::uint16_t message_id) {
  return (caller.Packed() << 16) | message_id;
}

}  // namespace

Result<RecordTable> RecordTable::Create(RecordTableOptions options) {
  if (options.max_records == 0) {
    return Error(ErrorKind::kInvalidArgument, "max_records must be at least 1");
  }
  return RecordTable(options);
}

RequestRecord* RecordTable::Insert(RequestId id, TimePoint now) {
  if (records_.size() >= options_.max_records && !EvictIdempotent()) {
    return nullptr;
  }
  auto& slot = records_[id];
  slot = std::make_unique<RequestRecord>();
  slot->id = id;
  slot->received = now;
  return slot.get();
}

RequestRecord* RecordTable::Find(RequestId id) {
  const auto it = records_.find(id);
  return it == records_.end() ? nullptr : it->second.get();
}

RequestRecord* RecordTable::FindByMessage(SocketAddress caller,
                                          std::uint16_t message_id) {
  const auto it = by_message_.find(MessageKey(caller, message_id));
  return it == by_message_.end() ? nullptr : Find(it->second);
}

void RecordTable::IndexMessage(const RequestRecord& record) {
  by_message_[MessageKey(record.caller, record.message_id)] = record.id;
}

void RecordTable::Finish(RequestRecord& record, TimePoint now,
                         std::vector<std::uint8_t> answer) {
  Advance(record, RequestEvent::kFinish);
  record.request = {};
  record.answer = std::move(answer);
  record.expires = now + (record.idempotent ? options_.idempotent_retention
                                            : options_.retention);
  answer_bytes_ += record.answer.size();
  ++finished_;
  (record.idempotent ? finished_idempotent_ : finished_non_idempotent_)
      .push_back(record.id);
  WakeAt(record, record.expires);
  EvictAnswers();
}

void RecordTable::ReplaceAnswer(RequestRecord& record,
                                std::vector<std::uint8_t> answer) {
  answer_bytes_ += answer.size();
  answer_bytes_ -= record.answer.size();
  record.answer = std::move(answer);
}

void RecordTable::WakeAt(RequestRecord& record, TimePoint at) {
  if (record.state == RequestState::kFinished) {
    at = std::min(at, record.expires);
  }
  record.wake_at = at;
  if (at != kNever) {
    wakeups_.emplace(at, record.id);
  }
}

RequestRecord* RecordTable::PopDue(TimePoint now) {
  while (!wakeups_.empty() && wakeups_.top().first <= now) {
    const auto [at, id] = wakeups_.top();
    wakeups_.pop();
    RequestRecord* record = Find(id);
    if (record == nullptr || record->wake_at != at) {
      continue;
    }
    record->wake_at = kNever;
    if (record->state == RequestState::kFinished && now >= record->expires) {
      Erase(*record);
      continue;
    }
    return record;
  }
  return nullptr;
}

TimePoint RecordTable::NextWake() const {
  return wakeups_.empty() ? kNever : wakeups_.top().first;
}

void RecordTable::Erase(RequestRecord& record) {
  const auto it =
      by_message_.find(MessageKey(record.caller, record.message_id));
  if (it != by_message_.end() && it->second == record.id) {
    by_message_.erase(it);
  }
  if (record.state == RequestState::kFinished) {
    --finished_;
    answer_bytes_ -= record.answer.size();
  }
  records_.erase(RequestId(record.id));
}

// Erases the oldest finished idempotent request whose answer has not been
// cleared, which is safe: a resend of it runs again without a second effect.
// Returns false if there is none.
bool RecordTable::EvictIdempotent() {
  while (!finished_idempotent_.empty()) {
    RequestRecord* record = Find(finished_idempotent_.front());
    finished_idempotent_.pop_front();
    if (record != nullptr && record->idempotent &&
        record->state == RequestState::kFinished) {
      Erase(*record);
      return true;
    }
  }
  return false;
}

// Clears the oldest answers while their total exceeds max_answer_bytes. The
// records stay, so that a resend does not run again.
void RecordTable::EvictAnswers() {
  for (std::deque<RequestId>* it :
       {&finished_idempotent_, &finished_non_idempotent_}) {
    while (answer_bytes_ > options_.max_answer_bytes && !it->empty()) {
      RequestRecord* record = Find(it->front());
      if (record != nullptr && record->state == RequestState::kFinished) {
        answer_bytes_ -= record->answer.size();
        record->answer = {};
      }
      it->pop_front();
    }
    while (!it->empty() && Find(it->front()) == nullptr) {
      it->pop_front();
    }
  }
}

}  // namespace vanillalatch
