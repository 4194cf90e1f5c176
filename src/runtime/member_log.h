// Logs what a VM of a fleet believes of the others, each time it changes.
//
//   MemberLog log;
//   log.Review(Now(), peers->members());
#ifndef VANILLALATCH_SRC_RUNTIME_MEMBER_LOG_H_
#define VANILLALATCH_SRC_RUNTIME_MEMBER_LOG_H_

#include <cstdint>
#include <map>

#include "vanillalatch/membership/member_list.h"
#include "vanillalatch/telemetry/log_rate_limiter.h"

namespace vanillalatch {

class MemberLog {
 public:
  void Review(TimePoint now, const MemberList& members);

 private:
  // A data centre of VMs may go at once.
  static constexpr std::uint32_t kLines = 50;

  std::map<NodeId, MemberState> states_;
  std::uint64_t version_ = 0;
  LogRateLimiter lines_{kLines};
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_RUNTIME_MEMBER_LOG_H_
