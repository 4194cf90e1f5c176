// The request records of one entry VM: a bounded table with lookup by request
// id or by the caller's CoAP message id, and a timer per record.
//
//   RecordTableOptions options;
//   auto table = RecordTable::Create(options).value();
//   RequestRecord* record = table.Insert(id, now);  // nullptr: full
//   table.WakeAt(*record, now + std::chrono::milliseconds(20));
//   while (RequestRecord* it = table.PopDue(now)) ...
#ifndef VANILLALATCH_REQUEST_RECORD_TABLE_H_
#define VANILLALATCH_REQUEST_RECORD_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "vanillalatch/base/result.h"
#include "vanillalatch/request/request_record.h"

namespace vanillalatch {

struct RecordTableOptions {
  std::size_t max_records = 100'000;
  // Total size of the answers stored for replay. Above it, the oldest answers
  // are cleared, those to idempotent requests first; their records stay.
  std::size_t max_answer_bytes = 64 << 20;
  // How long a finished record is stored if its request is not idempotent, and
  // how long if it is; the latter may be evicted earlier, see Insert(). The
  // default is EXCHANGE_LIFETIME of RFC 7252.
  Duration retention = std::chrono::seconds(247);
  Duration idempotent_retention = std::chrono::seconds(247);
};

class RecordTable {
 public:
  // Error: kInvalidArgument if max_records is 0.
  static Result<RecordTable> Create(RecordTableOptions options);

  // Adds a record in state kHeld. The table must not have one with this id. If
  // the table is full, erases the oldest finished idempotent request whose
  // answer has not been cleared; returns nullptr if there is none. The pointer
  // stays valid until the record is erased.
  RequestRecord* Insert(RequestId id, TimePoint now);
  // Returns nullptr if the table has no such record.
  RequestRecord* Find(RequestId id);
  // Returns the caller's latest request with this message id; nullptr if none.
  RequestRecord* FindByMessage(SocketAddress caller, std::uint16_t message_id);
  // Makes FindByMessage() find the record by its caller and message id.
  void IndexMessage(const RequestRecord& record);

  // Moves the record to kFinished, stores the answer for replay, clears the
  // caller's datagram and schedules the erasure of the record. Throws Error
  // kInternal if the record is finished already.
  void Finish(RequestRecord& record, TimePoint now,
              std::vector<std::uint8_t> answer);

  // Replaces the stored answer of a finished request.
  void ReplaceAnswer(RequestRecord& record, std::vector<std::uint8_t> answer);

  // Sets when PopDue() returns the record; replaces an earlier time. kNever
  // cancels, except that a finished record still expires.
  void WakeAt(RequestRecord& record, TimePoint at);
  // Returns the next record that is due, and clears its time; nullptr if none
  // is due. Erases expired records instead of returning them.
  RequestRecord* PopDue(TimePoint now);
  // Returns when PopDue() must be called next; kNever if nothing is scheduled.
  TimePoint NextWake() const;

  // Returns the number of records, and of those that are not finished.
  std::size_t size() const { return records_.size(); }
  std::size_t open_count() const { return records_.size() - finished_; }

  // Calls `visit` with each record; `visit` may change but not erase records.
  template <typename Visitor>
  void ForEach(Visitor visit) {
    for (auto& [id, record] : records_) {
      visit(*record);
    }
  }
  template <typename Visitor>
  void ForEach(Visitor visit) const {
    for (const auto& [id, record] : records_) {
      visit(std::as_const(*record));
    }
  }

 private:
  using Wakeup = std::pair<TimePoint, RequestId>;

  explicit RecordTable(RecordTableOptions options) : options_(options) {}
  void Erase(RequestRecord& record);
  bool EvictIdempotent();
  void EvictAnswers();

  RecordTableOptions options_;
  absl::flat_hash_map<RequestId, std::unique_ptr<RequestRecord>> records_;
  absl::flat_hash_map<std::uint64_t, RequestId> by_message_;
  std::priority_queue<Wakeup, std::vector<Wakeup>, std::greater<>> wakeups_;
  // Finished requests whose answers have not been cleared, oldest first. The
  // answers to idempotent requests are cleared first.
  std::deque<RequestId> finished_idempotent_;
  std::deque<RequestId> finished_non_idempotent_;
  std::size_t finished_ = 0;
  std::size_t answer_bytes_ = 0;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_REQUEST_RECORD_TABLE_H_
