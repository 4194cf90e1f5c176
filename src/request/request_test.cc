#include <catch2/catch.hpp>

#include "vanillalatch/request/record_table.h"

namespace vanillalatch {
namespace {

TEST_CASE("a record rejects events that its chart does not allow",
          "[request]") {
  RequestRecord record;
  Advance(record, RequestEvent::kTake);
  Advance(record, RequestEvent::kSubmit);
  Advance(record, RequestEvent::kPlace);
  Advance(record, RequestEvent::kSend);
  CHECK(record.state == RequestState::kSent);
  CHECK_THROWS_AS(Advance(record, RequestEvent::kHandOver), Error);
  Advance(record, RequestEvent::kFinish);
  CHECK_THROWS_AS(Advance(record, RequestEvent::kFinish), Error);
}

TEST_CASE("a finished record is erased after its retention", "[request]") {
  RecordTableOptions options;
  options.retention = std::chrono::seconds(10);
  RecordTable table = RecordTable::Create(options).value();
  const TimePoint start(std::chrono::hours(1));
  RequestRecord* record = table.Insert(RequestId{1}, start);
  record->idempotent = false;
  table.Finish(*record, start, {1, 2, 3, 4});
  CHECK(table.PopDue(start + std::chrono::seconds(9)) == nullptr);
  CHECK(table.Find(RequestId{1}) != nullptr);
  CHECK(table.PopDue(start + std::chrono::seconds(10)) == nullptr);
  CHECK(table.Find(RequestId{1}) == nullptr);
}

TEST_CASE("a full table evicts idempotent requests only", "[request]") {
  RecordTableOptions options;
  options.max_records = 2;
  RecordTable table = RecordTable::Create(options).value();
  const TimePoint now(std::chrono::hours(1));
  table.Finish(*table.Insert(RequestId{1}, now), now, {});
  RequestRecord* non_idempotent = table.Insert(RequestId{2}, now);
  non_idempotent->idempotent = false;
  table.Finish(*non_idempotent, now, {});
  CHECK(table.Insert(RequestId{3}, now) != nullptr);
  CHECK(table.Find(RequestId{1}) == nullptr);
  CHECK(table.Insert(RequestId{4}, now) == nullptr);
  CHECK(table.Find(RequestId{2}) != nullptr);
}

}  // namespace
}  // namespace vanillalatch
