// The last report of each entry VM, as its Sync calls brought it.
//
//   reports.Note(now, request);
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
  void Note(TimePoint now, const pb::SyncRequest& request);
  // Adds every report that is not too old.
  void AddTo(TimePoint now, pb::StatusReply& reply);

 private:
  struct Report {
    pb::SyncRequest request;
    TimePoint at;
  };
  std::map<std::string, Report> reports_;  // By VM.
};

// Adds what another control VM knows to `reply`; the youngest report of each
// entry VM stays, ordered by name.
void MergeStatus(const pb::StatusReply& part, pb::StatusReply& reply);

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_CONTROL_ENTRY_REPORTS_H_
