#include "src/runtime/catalog_follower.h"

#include <boost/fiber/fiber.hpp>
#include <utility>

#include "vanillalatch/catalog/packed.h"
#include "vanillalatch/feature/feature_level.h"
#include "vanillalatch/runtime/reactor.h"
#include "vanillalatch/telemetry/log.h"

namespace vanillalatch {
namespace {

void LogRefusal(const pb::SyncReply& reply, const char* part,
                const Error& error) {
  LogEvent(LogLevel::kWarn, "catalog_refused",
           {{"part", part},
            {"revision", reply.committed_revision()},
            {"kind", std::string(AnswerFor(error.kind()).name)},
            {"reason", std::string(error.what())}});
}

std::vector<std::string> ToStrings(
    const std::vector<SocketAddress>& addresses) {
  std::vector<std::string> texts;
  texts.reserve(addresses.size());
  for (const SocketAddress& it : addresses) {
    texts.push_back(it.ToString());
  }
  return texts;
}

}  // namespace

CatalogFollower::CatalogFollower(const std::string& vm,
                                 const std::vector<SocketAddress>& addresses)
    : plan_({vm, ToStrings(addresses)}, Now()) {}

void CatalogFollower::Run(const MakeRequest& make_request,
                          const HandleNews& handle_news) {
  while (!stopped_) {
    for (const SyncStart& it : plan_.TakeCalls(Now())) {
      pb::SyncRequest request = make_request();
      plan_.SetStarting(request.wants_endpoints());
      ++open_calls_;
      boost::fibers::fiber([this, it, request = std::move(request),
                            &handle_news]() mutable {
        Call(it, std::move(request), handle_news);
        --open_calls_;
        wakeup_.Interrupt();
      }).detach();
    }
    client_.DisconnectOthers(plan_.OpenAddresses());
    wakeup_.SleepUntil(plan_.NextWake());
  }
  while (open_calls_ > 0) {
    wakeup_.SleepUntil(kNever);
  }
}

void CatalogFollower::SetRevisions(std::uint64_t in_force,
                                   std::uint64_t newer) {
  plan_.SetRevisions(Now(), in_force, newer);
  wakeup_.BringForward(plan_.NextWake());
}

CatalogNews CatalogFollower::Read(const pb::SyncReply& reply) {
  CatalogNews news;
  const std::uint64_t revision = receiver_.catalog().revision();
  if (reply.has_catalog()) {
    receiver_.Set(reply.catalog());
  }
  // Of two polls that are open, the later answer may bring nothing newer.
  if (reply.deltas_size() > 0 &&
      (reply.committed_revision() > revision || receiver_.revision() == 0)) {
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

void CatalogFollower::Call(const SyncStart& start, pb::SyncRequest request,
                           const HandleNews& handle_news) {
  request.set_accepts_packed(true);
  request.set_level(kCurrentLevel.value());
  if (receiver_.revision() == 0) {
    request.set_revision(0);  // Differences need an image to start from.
  }
  const std::optional<pb::SyncReply> reply =
      client_.Sync(start.address, request, start.timeout);
  SyncOutcome outcome;
  if (reply) {
    CatalogNews news = Read(*reply);
    news.control = start.address;
    news.from_quorum = reply->from_quorum();
    if (news.catalog != nullptr || !news.endpoints.empty()) {
      handle_news(news);
    }
    // A damaged catalog counts as a failure: without the delay, this VM would
    // ask for the whole catalog in a loop.
    outcome.answered = reply->deltas_size() == 0 || receiver_.revision() > 0;
    outcome.from_quorum = reply->from_quorum();
    outcome.revision = reply->committed_revision();
    outcome.control_addresses = {reply->control_addresses().begin(),
                                 reply->control_addresses().end()};
  } else {
    client_.Disconnect(start.address);
  }
  const std::optional<bool> was_connected = plan_.connected();
  plan_.OnOutcome(Now(), start.id, outcome);
  const std::optional<bool> connected = plan_.connected();
  if (connected && connected != was_connected) {
    LogEvent(*connected ? LogLevel::kInfo : LogLevel::kWarn,
             *connected ? "control_regained" : "control_lost",
             {{"control", start.address},
              {"answered", reply.has_value()},
              {"revision", request.revision()}});
  }
}

}  // namespace vanillalatch
