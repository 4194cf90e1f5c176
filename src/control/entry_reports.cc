#include "src/control/entry_reports.h"

#include <algorithm>
#include <utility>

namespace vanillalatch::internal {
namespace {

// A VM that has sent no report for longer is left out of the status.
constexpr Duration kReportRetention = std::chrono::minutes(10);

std::uint32_t Milliseconds(Duration duration) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace

void EntryReports::Record(TimePoint now, const pb::SyncRequest& request) {
  reports_[request.vm()] = Report{request, now};
}

void EntryReports::AddTo(TimePoint now, pb::StatusReply& reply) {
  std::erase_if(reports_, [&](const auto& it) {
    return now - it.second.received_at > kReportRetention;
  });
  for (const auto& [vm, report] : reports_) {
    pb::EntryStatus& entry = *reply.add_entries();
    *entry.mutable_last_sync() = report.request;
    entry.set_age_ms(Milliseconds(now - report.received_at));
  }
}

void MergeStatus(const pb::StatusReply& partial_status,
                 pb::StatusReply& reply) {
  std::map<std::string, pb::EntryStatus> entries;
  for (const pb::StatusReply* source :
       {static_cast<const pb::StatusReply*>(&reply), &partial_status}) {
    for (const pb::EntryStatus& it : source->entries()) {
      const auto [at, added] = entries.try_emplace(it.last_sync().vm(), it);
      if (!added && it.age_ms() < at->second.age_ms()) {
        at->second = it;
      }
    }
  }
  reply.clear_entries();
  for (auto& [vm, entry] : entries) {
    *reply.add_entries() = std::move(entry);
  }
  for (const pb::ControlStatus& it : partial_status.controls()) {
    *reply.add_controls() = it;
  }
}

}  // namespace vanillalatch::internal
