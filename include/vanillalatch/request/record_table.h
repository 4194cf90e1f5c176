// The request records of one entry VM: bounded in number, found by identity
// or by the caller's message id, woken when something is due.
//
//   auto table = RecordTable::Create(options).value();
//   RequestRecord* record = table.Insert(id, now);  // nullptr: full
//   table.WakeAt(*record, now + kPeerResend);
//   while (RequestRecord* it = table.NextDue(now)) ...
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
  std::size_t max_answer_bytes = 64 << 20;  // Kept for replay.
  // How long final answers are kept: of requests that may not be repeated,
  // and of those that may.
  Duration keep = std::chrono::seconds(247);
  Duration keep_idempotent = std::chrono::seconds(247);
};

class RecordTable {
 public:
  // Error: kInvalidArgument without room for a record.
  static Result<RecordTable> Create(RecordTableOptions options);

  // nullptr if the table is full of records that may not be dropped. The
  // pointer stays valid until the record is erased.
  RequestRecord* Insert(RequestId id, TimePoint now);
  RequestRecord* Find(RequestId id);
  // The latest request of a caller with this message id.
  RequestRecord* FindByMessage(SocketAddress caller, std::uint16_t message_id);
  // Makes the record known by its caller and message id.
  void IndexMessage(const RequestRecord& record);

  // Moves the record to finished, with the answer to replay, and sets its end.
  void Finish(RequestRecord& record, TimePoint now,
              std::vector<std::uint8_t> answer);

  // Changes the recorded answer of a finished request.
  void ReplaceAnswer(RequestRecord& record, std::vector<std::uint8_t> answer);

  void WakeAt(RequestRecord& record, TimePoint at);
  // Takes the next record that is due. Records whose time to be forgotten has
  // come are erased instead of returned.
  RequestRecord* NextDue(TimePoint now);
  TimePoint NextWake() const;

  std::size_t size() const { return records_.size(); }
  std::size_t open() const { return records_.size() - finished_; }

  // Calls `visit` with each record; it may change but not erase records.
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
  using Due = std::pair<TimePoint, RequestId>;

  explicit RecordTable(RecordTableOptions options) : options_(options) {}
  void Erase(RequestRecord& record);
  bool MakeRoom();
  void DropAnswers();

  RecordTableOptions options_;
  absl::flat_hash_map<RequestId, std::unique_ptr<RequestRecord>> records_;
  absl::flat_hash_map<std::uint64_t, RequestId> by_message_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  // Finished requests, oldest first; those that are idempotent go first.
  std::deque<RequestId> finished_idempotent_;
  std::deque<RequestId> finished_once_;
  std::size_t finished_ = 0;
  std::size_t answer_bytes_ = 0;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_REQUEST_RECORD_TABLE_H_
