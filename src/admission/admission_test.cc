#include <catch2/catch.hpp>
#include <set>

#include "vanillalatch/admission/answer_time.h"
#include "vanillalatch/admission/retry_after_schedule.h"
#include "vanillalatch/admission/retry_budget.h"
#include "vanillalatch/admission/slot_use.h"

namespace vanillalatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("Answer times are unknown without recent answers") {
  AnswerTime time(16);
  const TimePoint now(seconds(100));
  CHECK_FALSE(time.HasRecentSample(now));
  time.Add(now, milliseconds(20));
  CHECK(time.HasRecentSample(now + AnswerTime::kMaxSampleAge));
  CHECK_FALSE(
      time.HasRecentSample(now + AnswerTime::kMaxSampleAge + milliseconds(1)));
}

TEST_CASE("Answer times follow a change of speed") {
  AnswerTime time(16);
  for (int i = 0; i < 50; ++i) {
    time.Add(TimePoint(), milliseconds(20));
  }
  CHECK(time.mean() == milliseconds(20));
  for (int i = 0; i < 5; ++i) {
    time.Add(TimePoint(), milliseconds(100));
  }
  CHECK(time.mean() > milliseconds(40));
  CHECK(time.upper_estimate() > time.mean());
}

TEST_CASE("Retries are at most ten and a tenth of the recent work") {
  struct Row {
    int first_attempts;
    int retries;
  };
  const auto row = GENERATE(
      values<Row>({{0, 10}, {9, 10}, {10, 11}, {100, 20}, {5000, 510}}));
  RetryBudget budget;
  for (int i = 0; i < row.first_attempts; ++i) {
    budget.OnFirstAttempt(TimePoint());
  }
  int taken = 0;
  while (budget.Take(TimePoint(seconds(1)))) {
    ++taken;
  }
  CHECK(taken == row.retries);
  // First attempts of earlier windows don't add to the constant minimum.
  int later = 0;
  while (budget.Take(TimePoint(seconds(30)))) {
    ++later;
  }
  CHECK(later == 10);
}

TEST_CASE("Retry-after times of refused callers are staggered") {
  RetryAfterSchedule schedule(7);
  const TimePoint now(seconds(1));
  std::set<Duration> times;
  for (int i = 0; i < 1000; ++i) {
    const Duration delay =
        schedule.NextDelay(now, milliseconds(200), milliseconds(2));
    CHECK(delay >= RetryAfterSchedule::kMinDelay);
    CHECK(delay <= RetryAfterSchedule::kMaxDelay);
    times.insert(delay);
  }
  CHECK(times.size() > 990);
  // A thousand callers, 2 ms apart, take two seconds.
  CHECK(*times.rbegin() >= milliseconds(2000));
  CHECK(*times.rbegin() <= milliseconds(2200) * 5 / 4);
}

TEST_CASE("Retry-after times stay bounded however many are refused") {
  RetryAfterSchedule schedule(7);
  std::set<Duration> times;
  for (int i = 0; i < 1000; ++i) {
    times.insert(schedule.NextDelay(TimePoint(), seconds(100), seconds(1)));
  }
  CHECK(*times.rbegin() <= RetryAfterSchedule::kMaxDelay);
  CHECK(*times.begin() >= RetryAfterSchedule::kMaxDelay / 2);
  CHECK(times.size() > 990);
}

TEST_CASE("Average slot use follows a change of use within a second") {
  SlotUse use;
  use.Start(TimePoint());
  use.Start(TimePoint());
  CHECK(use.busy() == 2);
  CHECK(use.AverageAt(TimePoint()) == Approx(0));
  CHECK(use.AverageAt(TimePoint(seconds(1))) > 1.6);
  use.Stop(TimePoint(seconds(5)));
  use.Stop(TimePoint(seconds(5)));
  CHECK(use.AverageAt(TimePoint(seconds(6))) < 0.4);
}

}  // namespace
}  // namespace vanillalatch
