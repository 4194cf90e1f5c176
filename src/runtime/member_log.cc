#include "src/runtime/member_log.h"

#include "src/runtime/publisher.h"
#include "vanillalatch/telemetry/log.h"

namespace vanillalatch {

void MemberLog::Review(TimePoint now, const MemberList& members) {
  if (members.version() == version_) {
    return;
  }
  version_ = members.version();
  for (const Member& it : members.members()) {
    const auto [known, added] = states_.try_emplace(it.id, it.state);
    if (!added && known->second == it.state) {
      continue;
    }
    known->second = it.state;
    if (lines_.TryAcquire(now)) {
      LogEvent(LogLevel::kInfo, "member_changed",
               {{"member", it.name},
                {"state", MemberStateName(it.state)},
                {"incarnation", it.incarnation},
                {"left_out", lines_.TakeLeftOutCount()}});
    }
  }
}

}  // namespace vanillalatch
