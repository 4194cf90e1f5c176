#include "src/runtime/member_log.h"

#include "src/runtime/publisher.h"
#include "vanillalatch/telemetry/log.h"

namespace vanillalatch {

void MemberLog::LogChanges(TimePoint now, const MemberList& members) {
  if (members.version() == logged_version_) {
    return;
  }
  logged_version_ = members.version();
  for (const Member& it : members.members()) {
    const auto [entry, added] = states_.try_emplace(it.id, it.state);
    if (!added && entry->second == it.state) {
      continue;
    }
    entry->second = it.state;
    if (limiter_.TryAcquire(now)) {
      LogEvent(LogLevel::kInfo, "member_changed",
               {{"member", it.name},
                {"state", MemberStateName(it.state)},
                {"incarnation", it.incarnation},
                {"left_out", limiter_.TakeLeftOutCount()}});
    }
  }
}

}  // namespace vanillalatch
