#include <catch2/catch.hpp>

#include "vanillalatch/request/record_table.h"

namespace vanillalatch {
namespace {

TEST_CASE("a record moves along its chart only", "[request]") {
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

TEST_CASE("records are forgotten in time", "[request]") {
  RecordTableOptions options;
  options.keep = std::chrono::seconds(10);
  RecordTable table = RecordTable::Create(options).value();
  const TimePoint start(std::chrono::hours(1));
  RequestRecord* record = table.Insert(RequestId{1}, start);
  record->idempotent = false;
  table.Finish(*record, start, {1, 2, 3, 4});
  CHECK(table.NextDue(start + std::chrono::seconds(9)) == nullptr);
  CHECK(table.Find(RequestId{1}) != nullptr);
  CHECK(table.NextDue(start + std::chrono::seconds(10)) == nullptr);
  CHECK(table.Find(RequestId{1}) == nullptr);
}

TEST_CASE("a full table forgets idempotent requests only", "[request]") {
  RecordTableOptions options;
  options.max_records = 2;
  RecordTable table = RecordTable::Create(options).value();
  const TimePoint now(std::chrono::hours(1));
  table.Finish(*table.Insert(RequestId{1}, now), now, {});
  RequestRecord* once = table.Insert(RequestId{2}, now);
  once->idempotent = false;
  table.Finish(*once, now, {});
  CHECK(table.Insert(RequestId{3}, now) != nullptr);
  CHECK(table.Find(RequestId{1}) == nullptr);
  CHECK(table.Insert(RequestId{4}, now) == nullptr);
  CHECK(table.Find(RequestId{2}) != nullptr);
}

}  // namespace
}  // namespace vanillalatch
