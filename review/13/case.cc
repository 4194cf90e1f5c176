// All spare entry machines are added at once, as planned, while new flows wait
// for a slot. Later they are removed in turn and added again.
#include "../flows3.h"

using namespace review3;

int main() {
  constexpr int kFronts = 3;
  constexpr int kSpares = 3;
  constexpr int kRounds = 7;
  RunFlowCase({.fronts = kFronts,
               .spares = kSpares,
               .routes = 18,
               .load_ms = 95000,
               .quiet_ms = 78000},
              [](FlowWorld& world) {
                for (int round = 0; round < kRounds; ++round) {
                  Record("planned: %d entry machines are added", kSpares);
                  for (int n = kFronts; n < kFronts + kSpares; ++n) {
                    world.site.Start(world.fronts[n], false);
                  }
                  SleepMs(5000);
                  for (int n = kFronts; n < kFronts + kSpares; ++n) {
                    world.site.Signal(world.fronts[n], SIGTERM);
                    Record("planned: SIGTERM to %s",
                           world.fronts[n].name.c_str());
                    SleepMs(1300);
                  }
                  for (int n = kFronts; n < kFronts + kSpares; ++n) {
                    world.site.WaitForExit(world.fronts[n], 6000);
                  }
                  SleepMs(500);
                }
              });
}
