#include "src/runtime/catalog_follower.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <random>
#include <utility>

#include "vanillalatch/runtime/reactor.h"
#include "vanillalatch/telemetry/log.h"

namespace vanillalatch {
namespace {

// Longer than a control VM holds a call that has nothing newer, one second.
constexpr Duration kSyncTimeout = std::chrono::milliseconds(1700);
// A VM that has just started is answered within 0.1 s, by a control VM that may
// be starting as well.
constexpr Duration kFirstSyncTimeout = std::chrono::milliseconds(600);
// Between control VMs that fail: a start of the whole fleet waits for it.
constexpr Duration kSyncPause = std::chrono::milliseconds(50);

}  // namespace

CatalogFollower::CatalogFollower(const std::vector<SocketAddress>& addresses)
    : at_(std::random_device()()), last_quorum_(Now()) {
  seeds_.reserve(addresses.size());
  for (const SocketAddress& it : addresses) {
    seeds_.push_back(it.ToString());
  }
  addresses_ = seeds_;
}

void CatalogFollower::Run(const Report& report, const Take& take) {
  while (!stopped_) {
    if (!SyncOnce(report, take)) {
      ++at_;
      boost::this_fiber::sleep_for(kSyncPause);
    }
  }
}

bool CatalogFollower::SyncOnce(const Report& report, const Take& take) {
  const std::string address = addresses_[at_ % addresses_.size()];
  const pb::SyncRequest request = report();
  const std::optional<pb::SyncReply> reply = client_.Sync(
      address, request,
      request.wants_endpoints() ? kFirstSyncTimeout : kSyncTimeout);
  if (reply && (reply->has_catalog() || reply->endpoints_size() > 0)) {
    take(*reply);
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
  last_quorum_ = Now();
  Learn(*reply);
  return true;
}

// Seeds stay in the list: those that the group names may all be gone later.
void CatalogFollower::Learn(const pb::SyncReply& reply) {
  std::vector<std::string> next(reply.control_addresses().begin(),
                                reply.control_addresses().end());
  for (const std::string& it : seeds_) {
    if (std::find(next.begin(), next.end(), it) == next.end()) {
      next.push_back(it);
    }
  }
  const std::string current = addresses_[at_ % addresses_.size()];
  const auto it = std::find(next.begin(), next.end(), current);
  if (it != next.end()) {
    at_ = static_cast<std::size_t>(it - next.begin());
  }
  addresses_ = std::move(next);
}

}  // namespace vanillalatch
