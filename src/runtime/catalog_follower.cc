#include "src/runtime/catalog_follower.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <random>
#include <utility>

#include "vanillalatch/runtime/reactor.h"
#include "vanillalatch/telemetry/log.h"

namespace vanillalatch {
namespace {

// Longer than the one second for which a control VM holds a call while it has
// nothing newer.
constexpr Duration kSyncTimeout = std::chrono::milliseconds(1700);
// For a VM that has just started. A control VM answers it within 0.1 s, but may
// itself be starting.
constexpr Duration kStartupSyncTimeout = std::chrono::milliseconds(600);
// The delay before the next control VM is called after a failure. It is short
// because it delays the start of a whole fleet.
constexpr Duration kRetryDelay = std::chrono::milliseconds(50);

}  // namespace

CatalogFollower::CatalogFollower(const std::vector<SocketAddress>& addresses)
    : current_index_(std::random_device()()), last_quorum_contact_(Now()) {
  seeds_.reserve(addresses.size());
  for (const SocketAddress& it : addresses) {
    seeds_.push_back(it.ToString());
  }
  addresses_ = seeds_;
}

void CatalogFollower::Run(const MakeRequest& make_request,
                          const HandleReply& handle_reply) {
  while (!stopped_) {
    if (!SyncOnce(make_request, handle_reply)) {
      ++current_index_;
      boost::this_fiber::sleep_for(kRetryDelay);
    }
  }
}

bool CatalogFollower::SyncOnce(const MakeRequest& make_request,
                               const HandleReply& handle_reply) {
  const std::string address = addresses_[current_index_ % addresses_.size()];
  const pb::SyncRequest request = make_request();
  const std::optional<pb::SyncReply> reply = client_.Sync(
      address, request,
      request.wants_endpoints() ? kStartupSyncTimeout : kSyncTimeout);
  if (reply && (reply->has_catalog() || reply->endpoints_size() > 0)) {
    handle_reply(*reply);
  }
  const bool connected = reply && reply->from_quorum();
  if (connected != connected_) {
    connected_ = connected;
    LogEvent(connected ? LogLevel::kInfo : LogLevel::kWarn,
             connected ? "control_regained" : "control_lost",
             {{"control", address},
              {"answered", reply.has_value()},
              {"revision", request.revision()}});
  }
  if (!connected) {
    return false;
  }
  last_quorum_contact_ = Now();
  UpdateAddresses(*reply);
  return true;
}

// Retains the seeds, because all control VMs that the group names may fail
// later.
void CatalogFollower::UpdateAddresses(const pb::SyncReply& reply) {
  std::vector<std::string> next(reply.control_addresses().begin(),
                                reply.control_addresses().end());
  for (const std::string& it : seeds_) {
    if (std::find(next.begin(), next.end(), it) == next.end()) {
      next.push_back(it);
    }
  }
  const std::string current = addresses_[current_index_ % addresses_.size()];
  const auto it = std::find(next.begin(), next.end(), current);
  if (it != next.end()) {
    current_index_ = static_cast<std::size_t>(it - next.begin());
  }
  addresses_ = std::move(next);
}

}  // namespace vanillalatch
