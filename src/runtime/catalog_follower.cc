#include "src/runtime/catalog_follower.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <random>
#include <utility>

#include "vanillalatch/catalog/packed.h"
#include "vanillalatch/feature/feature_level.h"
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
// The delay and the timeout of a VM that has just started double with each
// failure in a row, at most this often.
constexpr int kMaxDoublings = 2;

void LogRefusal(const pb::SyncReply& reply, const char* part,
                const Error& error) {
  LogEvent(LogLevel::kWarn, "catalog_refused",
           {{"part", part},
            {"revision", reply.committed_revision()},
            {"kind", std::string(AnswerFor(error.kind()).name)},
            {"reason", std::string(error.what())}});
}

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
                          const HandleNews& handle_news) {
  while (!stopped_) {
    if (SyncOnce(make_request, handle_news)) {
      failures_ = 0;
      continue;
    }
    ++current_index_;
    boost::this_fiber::sleep_for(kRetryDelay * (1 << failures_));
    failures_ = std::min(failures_ + 1, kMaxDoublings);
  }
}

CatalogNews CatalogFollower::Read(const pb::SyncReply& reply) {
  CatalogNews news;
  const std::uint64_t revision = receiver_.catalog().revision();
  if (reply.has_catalog()) {
    receiver_.Set(reply.catalog());
  }
  if (reply.deltas_size() > 0) {
    const Result<bool> received = receiver_.Receive(reply.deltas());
    if (!received.ok()) {
      LogRefusal(reply, "catalog", received.error());
    }
  }
  if (receiver_.catalog().revision() > revision) {
    news.catalog = &receiver_.catalog();
  }
  pb::KeptEndpoints endpoints;
  *endpoints.mutable_endpoints() = reply.endpoints();
  Result<bool> unpacked = true;
  if (reply.has_packed_endpoints()) {
    unpacked = UnpackMessage(reply.packed_endpoints(), endpoints);
  }
  if (!unpacked.ok()) {
    LogRefusal(reply, "endpoints", unpacked.error());
    return news;
  }
  news.endpoints = {endpoints.endpoints().begin(), endpoints.endpoints().end()};
  news.endpoints_whole = reply.endpoints_whole();
  return news;
}

bool CatalogFollower::SyncOnce(const MakeRequest& make_request,
                               const HandleNews& handle_news) {
  const std::string address = addresses_[current_index_ % addresses_.size()];
  pb::SyncRequest request = make_request();
  request.set_accepts_packed(true);
  request.set_level(kCurrentLevel.value());
  if (receiver_.revision() == 0) {
    request.set_revision(0);  // Differences need an image to start from.
  }
  const std::optional<pb::SyncReply> reply = client_.Sync(
      address, request,
      request.wants_endpoints() ? kStartupSyncTimeout * (1 << failures_)
                                : kSyncTimeout);
  if (reply) {
    CatalogNews news = Read(*reply);
    news.control = address;
    news.from_quorum = reply->from_quorum();
    if (news.catalog != nullptr || !news.endpoints.empty()) {
      handle_news(news);
    }
  } else {
    client_.Disconnect(address);
  }
  const bool connected = reply && reply->from_quorum();
  // At the start, a control VM may be starting as well: a loss is logged once
  // every one has failed.
  const bool is_start = !connected_ && ++calls_ < addresses_.size();
  if (connected != connected_ && (connected || !is_start)) {
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
  client_.DisconnectOthers(address);
  last_quorum_contact_ = Now();
  UpdateAddresses(*reply);
  // A damaged catalog counts as a failure: without the delay, this VM would ask
  // for the whole catalog in a loop.
  const bool is_damaged = reply->deltas_size() > 0 && receiver_.revision() == 0;
  return !is_damaged;
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
