// Tests planned stops and replacements of control VMs: as soon as a VM has
// stopped, the group has to tolerate the loss of another one.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "src/control/control_world.h"

namespace vanillalatch {
namespace {

struct Row {
  std::string name;
  std::string script;
};

void RunRows(const std::vector<Row>& rows) {
  for (const Row& it : rows) {
    CAPTURE(it.name);
    CHECK_NOTHROW(scenario::RunScript<ControlWorld>(
        scenario::ParseScript(it.name, it.script)));
  }
}

// Guards against a stopped voter that stays in a group of an even size: the
// loss of one disk then ended the group for good.
TEST_CASE("a disk is lost right after a planned replacement",
          "[control][replacement]") {
  const std::string three =
      "fleet 3 snapshot=16\n"
      "expect voters c1,c2,c3 within=3s\n"
      "changes 5\n"
      "add-control c4\n"
      "expect voters c1,c2,c3,c4 within=3s\n";
  const std::string five =
      "fleet 5 snapshot=16\n"
      "expect voters c1,c2,c3,c4,c5 within=5s\n"
      "changes 5\n"
      "add-control c6\n"
      "expect voters c1,c2,c3,c4,c5,c6 within=3s\n";
  RunRows({
      {"a follower stops", three + "stop c2 within=3s\n"
                                   "changes 1\n"
                                   "lose-disk c3\n"
                                   "seeds c1,c4\n"
                                   "start c3\n"
                                   "expect voters c1,c3,c4 within=8s\n"
                                   "changes 1\n"},
      {"the leader stops", three + "expect leader is=c1\n"
                                   "stop c1 within=3s\n"
                                   "expect leader within=1s not=c1\n"
                                   "lose-disk c2\n"
                                   "seeds c3,c4\n"
                                   "start c2\n"
                                   "expect voters c2,c3,c4 within=8s\n"
                                   "changes 1\n"},
      {"three are replaced one after the other",
       three + "stop c1 within=3s\n"
               "add-control c5\n"
               "expect voters c2,c3,c4,c5 within=3s\n"
               "stop c2 within=3s\n"
               "seeds c3,c4,c5\n"
               "add-control c6\n"
               "expect voters c3,c4,c5,c6 within=3s\n"
               "stop c3 within=3s\n"
               "lose-disk c4\n"
               "seeds c5,c6\n"
               "start c4\n"
               "expect voters c4,c5,c6 within=8s\n"
               "changes 1\n"},
      {"two successors, then two stops at once",
       three + "add-control c5\n"
               "expect voters c1,c2,c3,c4,c5 within=3s\n"
               "stop c2 within=3s\n"
               "stop c3 within=3s\n"
               "run 100ms\n"
               "lose-disk c4\n"
               "seeds c1,c5\n"
               "start c4\n"
               "expect voters c1,c4,c5 within=8s\n"
               "changes 1\n"},
      {"one of five control VMs", five + "stop c2 within=3s\n"
                                         "lose-disk c3\n"
                                         "lose-disk c4\n"
                                         "changes 1\n"},
      {"messages are lost", "net loss=10 duplicate=10 delay=5ms\n" + three +
                                "stop c2 within=3s\n"
                                "lose-disk c3\n"
                                "seeds c1,c4\n"
                                "start c3\n"
                                "expect voters c1,c3,c4 within=8s\n"},
  });
}

// Guards against a learner that waits until a voter that has stopped as planned
// counts as silent.
TEST_CASE("a successor that still learns replaces a voter that stops",
          "[control][replacement]") {
  RunRows({
      {"three control VMs",
       "fleet 3 snapshot=16\n"
       "expect voters c1,c2,c3 within=3s\n"
       "changes 20\n"
       "add-control c4\n"
       "stop c2 within=3s\n"
       "expect voters c1,c3,c4 within=1s\n"
       "changes 1\n"},
      {"the leader",
       "fleet 3 snapshot=16\n"
       "expect voters c1,c2,c3 within=3s\n"
       "changes 20\n"
       "add-control c4\n"
       "stop c1 within=3s\n"
       "expect voters c2,c3,c4 within=2s\n"
       "changes 1\n"},
  });
}

// Guards against a VM that a planned restart costs its vote for longer than
// needed, and against a stop that waits without a reason.
TEST_CASE("a control VM that is rolled is a voter again soon",
          "[control][replacement]") {
  RunRows({
      {"a group of an odd size keeps it",
       "fleet 3 snapshot=16\n"
       "expect voters c1,c2,c3 within=3s\n"
       "stop c2 within=100ms\n"
       "run 1s\n"
       "expect voters c1,c2,c3\n"
       "start c2\n"
       "run 1s\n"
       "expect voters c1,c2,c3\n"},
      {"a group of an even size admits it again",
       "fleet 4 snapshot=16\n"
       "expect voters c1,c2,c3,c4 within=4s\n"
       "changes 3\n"
       "stop c2 within=500ms\n"
       "run 500ms\n"
       "expect voters c1,c3,c4\n"
       "start c2\n"
       "expect voters c1,c2,c3,c4 within=2s\n"},
      {"the leader of an even group",
       "fleet 4 snapshot=16\n"
       "expect voters c1,c2,c3,c4 within=4s\n"
       "stop c1 within=1s\n"
       "run 100ms\n"
       "expect voters c2,c3,c4\n"
       "start c1\n"
       "expect voters c1,c2,c3,c4 within=2s\n"},
      {"no leader answers",
       "fleet 4 snapshot=16\n"
       "expect voters c1,c2,c3,c4 within=4s\n"
       "isolate c2\n"
       "stop c2 within=2500ms\n"},
      {"the leader is of an earlier build",
       "fleet 4 snapshot=16 level=6\n"
       "expect voters c1,c2,c3,c4 within=4s\n"
       "build c2 7\n"
       "run 2s\n"
       "stop c2 within=100ms\n"
       "expect voters c1,c3,c4 within=4s\n"},
  });
}

// Guards against a group that tolerates no loss without telling its operator.
TEST_CASE("the leader states which voters are silent and what is tolerated",
          "[control][replacement]") {
  RunRows({
      {"a voter fails",
       "fleet 3 snapshot=16\n"
       "expect voters c1,c2,c3 within=3s\n"
       "expect group 3 tolerates=1 within=1s\n"
       "add-control c4\n"
       "expect group 4 tolerates=1 within=3s\n"
       "crash c2\n"
       "expect group 4 silent=c2 tolerates=0 within=1500ms\n"
       "expect group 3 tolerates=1 within=2s\n"},
  });
}

}  // namespace
}  // namespace vanillalatch
