// Decides which control VMs an entry VM asks for newer catalogs, and when.
// Performs no I/O and reads no clock: its owner passes in the time and the
// outcome of each call, and makes the calls that it returns.
//
// A Sync call is a long poll. Once the group is found, two of them are open, to
// different control VMs, so that a single one that is lost, frozen or behind
// its group delays no catalog. A poll that is overdue is repeated elsewhere
// while it is still open. If a peer states a newer catalog than this VM has,
// further control VMs are asked at once.
//
//   SyncPlan plan({.vm = "e1", .seeds = {"10.1.0.2:7000"}}, now);
//   for (const SyncStart& it : plan.TakeCalls(now)) { Call(it); }
//   plan.OnOutcome(now, id, outcome);
//   SleepUntil(plan.NextWake());
#ifndef VANILLALATCH_CONTROL_SYNC_PLAN_H_
#define VANILLALATCH_CONTROL_SYNC_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "vanillalatch/base/strong.h"
#include "vanillalatch/base/time.h"

namespace vanillalatch {

// Identifies one call of a plan.
using SyncCallId = Strong<struct SyncCallIdTag, std::uint64_t>;

struct SyncPlanOptions {
  // Name of this VM. It ranks the control VMs, so that the entry VMs are
  // distributed over them.
  std::string vm;
  std::vector<std::string> seeds;  // gRPC addresses from the settings.
};

// A call to make.
struct SyncStart {
  SyncCallId id;
  std::string address;  // gRPC address of the control VM.
  Duration timeout{};   // The call has failed if it takes longer.
};

// How a call ended.
struct SyncOutcome {
  bool answered = false;     // The fields below are from the reply.
  bool from_quorum = false;  // The control VM is in contact with a majority.
  // Of the control VM; may be below that of this VM.
  std::uint64_t revision = 0;
  // The control VMs of the group, as far as this one knows.
  std::vector<std::string> control_addresses;
};

class SyncPlan {
 public:
  // Above the time for which a control VM holds a call.
  static constexpr Duration kTimeout = std::chrono::milliseconds(1700);
  static constexpr Duration kOverdueAfter = std::chrono::milliseconds(1200);
  // The same while the VM starts, as such calls are not held for as long. The
  // timeout doubles with each failure in a row, up to kMaxDoublings times.
  static constexpr Duration kStartTimeout = std::chrono::milliseconds(600);
  static constexpr Duration kStartOverdueAfter = std::chrono::milliseconds(400);
  // The delay after a failure; it doubles likewise. It is short because it
  // delays the start of a whole fleet.
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(50);
  static constexpr int kMaxDoublings = 2;
  // A control VM that failed is called again after this time if there are
  // others; the time doubles with each failure in a row.
  static constexpr Duration kFirstAvoidance = std::chrono::seconds(1);
  static constexpr int kMaxAvoidanceDoublings = 3;
  // If a peer states a newer catalog: the delay before another control VM is
  // asked, in which an open poll may bring it. It doubles with each such call.
  static constexpr Duration kFirstExtraDelay = std::chrono::milliseconds(30);
  static constexpr int kMaxExtraDoublings = 5;
  static constexpr std::size_t kMaxOpenCalls = 4;
  // Of each kind: of the group, stated by a VM without a majority, of members.
  static constexpr std::size_t kMaxAddresses = 16;

  SyncPlan(SyncPlanOptions options, TimePoint now);

  // Returns the calls to start now.
  std::vector<SyncStart> TakeCalls(TimePoint now);
  // Must be called once for each call that was started.
  void OnOutcome(TimePoint now, SyncCallId id, const SyncOutcome& outcome);
  // When TakeCalls() has to be called next; any other call may change it.
  TimePoint NextWake() const;

  // Sets whether the VM starts: control VMs then answer calls early.
  void SetStarting(bool starting) { starting_ = starting; }
  // Sets the gRPC addresses of the control VMs among the members of the fleet.
  void SetMembers(std::vector<std::string> addresses);
  // Sets the revision in force and the highest one above it that a peer states;
  // 0: none does.
  void SetRevisions(TimePoint now, std::uint64_t in_force, std::uint64_t newer);

  // Whether a control VM that is in contact with a majority answers. Not set
  // until one did, or as many calls have failed as addresses are known.
  std::optional<bool> connected() const { return connected_; }
  // The address of such a control VM; empty if there is none.
  std::string followed() const;
  // When such a control VM last answered; before the first answer, when the
  // plan was created.
  TimePoint last_quorum_contact() const { return last_quorum_contact_; }
  // The addresses to which calls are open.
  std::vector<std::string> OpenAddresses() const;

 private:
  struct Call {
    std::string address;
    TimePoint overdue_at;
    bool is_extra = false;    // Is not repeated when it ends.
    bool is_overdue = false;  // Counts as lost, although it is still open.
  };
  // What is known about a control VM by its answers.
  struct ControlRecord {
    bool confirmed = false;   // Its last answer came from a majority.
    bool was_behind = false;  // Its last answer was older than this VM's.
    int failures = 0;         // In a row.
    TimePoint avoided_until = TimePoint::min();
  };

  std::size_t WantedPolls() const;
  // The polls that are open and not overdue.
  std::size_t ActivePolls() const;
  bool IsOpen(const std::string& address) const;
  // Every known address once, those of the group first.
  std::vector<std::string> Candidates() const;
  // The control VM to call next; nullopt if calls to all of them are open.
  std::optional<std::string> SelectAddress(TimePoint now) const;
  std::uint64_t RankOf(const std::string& address) const;
  SyncStart StartCall(TimePoint now, const std::string& address, bool is_extra);
  void OnSuccess(TimePoint now, const Call& call, const SyncOutcome& outcome);
  void OnFailure(TimePoint now, const Call& call, const SyncOutcome& outcome);
  // A poll to a control VM whose last answer came from a majority is open, or
  // about to start.
  bool HasConfirmedPoll() const;
  TimePoint NextPollAt() const;
  TimePoint AvoidedUntil(const std::string& address) const;

  const std::string vm_;
  const std::vector<std::string> seeds_;
  std::vector<std::string> group_;  // As a majority has stated it.
  std::vector<std::string> hints_;  // Stated without a majority.
  std::vector<std::string> members_;
  std::map<std::string, ControlRecord> records_;
  std::map<SyncCallId, Call> calls_;  // Open.
  std::uint64_t last_id_ = 0;
  bool starting_ = true;
  // The control VM that the next poll goes to, as its last answer came from a
  // majority and no other poll is open.
  std::optional<std::string> next_address_;
  TimePoint next_poll_;
  int failures_ = 0;  // In a row, of all control VMs.
  std::optional<bool> connected_;
  std::string followed_;
  TimePoint last_quorum_contact_;
  std::uint64_t revision_ = 0;
  std::uint64_t newer_ = 0;
  TimePoint next_extra_ = kNever;
  int extras_ = 0;  // Since a peer stated the newer catalog.
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_CONTROL_SYNC_PLAN_H_
