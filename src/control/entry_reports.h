// Stores the last report of each entry VM. The reports arrive with Sync calls.
//
//   reports.Record(now, request);
//   reports.AddTo(now, reply);
#ifndef VANILLALATCH_SRC_CONTROL_ENTRY_REPORTS_H_
#define VANILLALATCH_SRC_CONTROL_ENTRY_REPORTS_H_

#include <map>
#include <string>

#include "control.pb.h"
#include "vanillalatch/base/time.h"

namespace vanillalatch::internal {

class EntryReports {
 public:
  // Replaces the report of the VM that sent `request`.
  void Record(TimePoint now, const pb::SyncRequest& request);
  // Deletes the reports that are older than the retention time, and adds the
  // others to `reply`.
  void AddTo(TimePoint now, pb::StatusReply& reply);

 private:
  struct Report {
    pb::SyncRequest request;
    TimePoint received_at;
  };
  std::map<std::string, Report> reports_;  // By VM.
};

// Merges the status of another control VM into `reply`. Of each entry VM the
// latest report stays; the reports are ordered by VM name.
void MergeStatus(const pb::StatusReply& partial_status, pb::StatusReply& reply);

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_CONTROL_ENTRY_REPORTS_H_
