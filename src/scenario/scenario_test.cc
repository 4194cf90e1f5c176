#include "vanillalatch/scenario/scenario.h"

#include <catch2/catch.hpp>

namespace vanillalatch::scenario {
namespace {

// A World with a running total: `add N [times=K]` adds to it, any other verb
// expects its value.
class CountingWorld {
 public:
  explicit CountingWorld(std::uint64_t seed) : total_(seed) {}
  void Do(const Step& step) {
    if (step.verb == "add") {
      total_ += step.Number(0) * step.NamedNumber("times", 1);
      journal_ += "total " + std::to_string(total_) + "\n";
    } else if (total_ != step.Number(0)) {
      throw Failure("total is " + std::to_string(total_));
    }
  }
  std::string Journal() const { return journal_; }

 private:
  std::uint64_t total_;
  std::string journal_;
};

TEST_CASE("a script runs step by step", "[scenario]") {
  CHECK_NOTHROW(RunScript<CountingWorld>(
      ParseScript("x.scn", "# sums\nseed 5\nadd 2 times=3\n\nexpect 11\n")));
}

TEST_CASE("a failure names seed, line, step and what came before",
          "[scenario]") {
  try {
    RunScript<CountingWorld>(
        ParseScript("x.scn", "seed 5\nadd 2\nexpect 11\n"));
    FAIL("no failure");
  } catch (const Failure& e) {
    const std::string text = e.what();
    CHECK(text.find("x.scn:3 (seed 5): expect 11") != std::string::npos);
    CHECK(text.find("total is 7") != std::string::npos);
    CHECK(text.find("before it:\ntotal 7") != std::string::npos);
  }
}

TEST_CASE("times are read with their unit", "[scenario]") {
  CHECK(ParseTime("200ms") == std::chrono::milliseconds(200));
  CHECK(ParseTime("3s") == std::chrono::seconds(3));
  CHECK(ParseTime("50us") == std::chrono::microseconds(50));
  CHECK(ParseTime("2min") == std::chrono::minutes(2));
  CHECK_THROWS_AS(ParseTime("12"), Failure);
  CHECK_THROWS_AS(ParseTime("xs"), Failure);
}

}  // namespace
}  // namespace vanillalatch::scenario
