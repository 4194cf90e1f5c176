#include "src/packetflow/dispatcher_choice.h"

#include <catch2/catch.hpp>
#include <vector>

#include "vanillalatch/placement/rendezvous.h"

namespace vanillalatch::internal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr ServiceId kService{1};
constexpr NodeId kSelf{4};

// Three VMs besides this one, and the order in which they would dispatch.
class Choice {
 public:
  Choice() {
    for (std::uint64_t id = 1; id <= 4; ++id) {
      Member member;
      member.id = NodeId(id);
      member.dispatches = id != kSelf.value();
      members_.push_back(member);
    }
  }

  NodeId Rank(std::size_t rank) const {
    return DispatcherOf(kService, members_, rank).value();
  }
  NodeId Chosen() const { return choice_.For(now_, kService, members_, kSelf); }
  void Run(Duration time) { now_ += time; }
  TimePoint now() const { return now_; }
  DispatcherChoice& choice() { return choice_; }

 private:
  std::vector<Member> members_;
  DispatcherChoice choice_;
  TimePoint now_{seconds(100)};
};

TEST_CASE("a VM that is gone is not asked until it is heard", "[packetflow]") {
  Choice it;
  CHECK(it.Chosen() == it.Rank(0));
  it.choice().OnSilent(it.now(), it.Rank(0));
  CHECK(it.Chosen() == it.Rank(1));
  it.Run(seconds(60));
  CHECK(it.Chosen() == it.Rank(1));
  it.choice().OnHeard(it.Rank(0));
  CHECK(it.Chosen() == it.Rank(0));
}

TEST_CASE("a slow VM that is heard all the time is asked ever less often",
          "[packetflow]") {
  Choice it;
  int asked = 0;
  for (int n = 0; n < 600; ++n) {  // Six seconds, a flow each 10 ms.
    it.Run(milliseconds(10));
    it.choice().OnHeard(it.Rank(0));
    if (it.Chosen() == it.Rank(0)) {
      ++asked;
      it.choice().OnSilent(it.now(), it.Rank(0));
    }
  }
  // Five times in 0 to 7.5 s, where pauses are 0.5, 1, 2 and 4 s.
  CHECK(asked <= 5);
  // It answers in time again: asked as any other.
  it.Run(seconds(5));
  it.choice().OnHeard(it.Rank(0));
  it.choice().OnTaken(it.Rank(0));
  CHECK(it.Chosen() == it.Rank(0));
  it.choice().OnSilent(it.now(), it.Rank(0));
  it.choice().OnHeard(it.Rank(0));
  it.Run(milliseconds(500));
  CHECK(it.Chosen() == it.Rank(0));
}

TEST_CASE("a VM that declines is asked again soon", "[packetflow]") {
  Choice it;
  it.choice().OnDeclined(it.now(), it.Rank(0));
  CHECK(it.Chosen() == it.Rank(1));
  it.Run(milliseconds(100));
  CHECK(it.Chosen() == it.Rank(0));
}

}  // namespace
}  // namespace vanillalatch::internal
