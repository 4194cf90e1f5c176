// Logs each change of the state that a VM of a fleet attributes to another VM.
//
//   MemberLog log;
//   log.LogChanges(Now(), peers->members());
#ifndef VANILLALATCH_SRC_RUNTIME_MEMBER_LOG_H_
#define VANILLALATCH_SRC_RUNTIME_MEMBER_LOG_H_

#include <cstdint>
#include <map>

#include "vanillalatch/membership/member_list.h"
#include "vanillalatch/telemetry/log_rate_limiter.h"

namespace vanillalatch {

class MemberLog {
 public:
  // Logs the members whose state has changed since the last call.
  void LogChanges(TimePoint now, const MemberList& members);

 private:
  // All VMs of a data centre may fail at the same time.
  static constexpr std::uint32_t kMaxLinesPerSecond = 50;

  // The state of each member at the last call.
  std::map<NodeId, MemberState> states_;
  std::uint64_t logged_version_ = 0;
  LogRateLimiter limiter_{kMaxLinesPerSecond};
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_RUNTIME_MEMBER_LOG_H_
