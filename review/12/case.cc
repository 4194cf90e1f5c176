// A manifest moves routes from overloaded services to idle ones, as planned,
// while new flows wait for a slot.
#include "../flows3.h"

using namespace review3;

int main() {
  RunFlowCase(
      {.fronts = 6, .routes = 12, .has_idle_services = true, .load_ms = 14000},
      [](FlowWorld& world) {
        if (!Replace(world.site, world.operators,
                     world.Manifest(12, world.idle_routes), 4000)) {
          Finish(kCouldNotRun, "the second manifest was not acknowledged");
        }
        Record(
            "planned: manifest 12 is acknowledged; it moves each "
            "route from its busy service to an idle one");
      });
}
