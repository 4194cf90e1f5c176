#include "vanillalatch/flow/pin_table.h"

#include <algorithm>

namespace vanillalatch {
namespace {

std::uint32_t ToSeconds(TimePoint at) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::seconds>(at.time_since_epoch())
          .count());
}

}  // namespace

Result<PinTable> PinTable::Create(PinTableOptions options) {
  if (options.idle_timeout < std::chrono::seconds(1) ||
      options.max_flows == 0 || options.expire_batch == 0) {
    return Error(ErrorKind::kInvalidArgument,
                 "pin table: idle_timeout must be at least 1 s, max_flows and "
                 "expire_batch must not be zero");
  }
  return PinTable(options);
}

bool PinTable::IsIdle(const Flow& flow, TimePoint now) const {
  const auto timeout =
      std::chrono::duration_cast<std::chrono::seconds>(options_.idle_timeout);
  return ToSeconds(now) - flow.last_used_second >
         static_cast<std::uint32_t>(timeout.count());
}

std::uint32_t PinTable::FindOrAddEndpoint(EndpointId endpoint) {
  const auto [it, added] = endpoint_index_.try_emplace(
      endpoint, static_cast<std::uint32_t>(endpoints_.size()));
  if (added) {
    endpoints_.push_back(endpoint);
  }
  return it->second;
}

std::optional<EndpointId> PinTable::Touch(SocketAddress caller, TimePoint now) {
  const auto it = flows_.find(caller.Packed());
  if (it == flows_.end() || IsIdle(it->second, now)) {
    return std::nullopt;
  }
  it->second.last_used_second = ToSeconds(now);
  return endpoints_[it->second.endpoint_index];
}

bool PinTable::Put(SocketAddress caller, EndpointId endpoint, TimePoint now) {
  const std::uint64_t key = caller.Packed();
  const auto it = flows_.find(key);
  if (it != flows_.end()) {
    it->second.endpoint_index = FindOrAddEndpoint(endpoint);
    it->second.last_used_second = ToSeconds(now);
    return true;
  }
  if (flows_.size() >= options_.max_flows) {
    return false;
  }
  flows_.emplace(key, Flow{static_cast<std::uint32_t>(order_.size()),
                           FindOrAddEndpoint(endpoint), ToSeconds(now)});
  order_.push_back(key);
  return true;
}

bool PinTable::Remove(SocketAddress caller) {
  if (!flows_.contains(caller.Packed())) {
    return false;
  }
  Erase(caller.Packed());
  return true;
}

// Moves the last element of `order_` into the gap.
void PinTable::Erase(std::uint64_t caller) {
  const auto it = flows_.find(caller);
  const std::uint32_t order_index = it->second.order_index;
  flows_.erase(it);
  order_[order_index] = order_.back();
  order_.pop_back();
  if (order_index < order_.size()) {
    flows_.find(order_[order_index])->second.order_index = order_index;
  }
}

void PinTable::ExpireSome(TimePoint now, const Visitor& dropped) {
  const std::size_t steps = std::min(options_.expire_batch, order_.size());
  for (std::size_t n = 0; n < steps && !order_.empty(); ++n) {
    if (next_expiry_index_ >= order_.size()) {
      next_expiry_index_ = 0;
    }
    const std::uint64_t caller = order_[next_expiry_index_];
    const Flow& flow = flows_.find(caller)->second;
    if (!IsIdle(flow, now)) {
      ++next_expiry_index_;
      continue;
    }
    const EndpointId endpoint = endpoints_[flow.endpoint_index];
    Erase(caller);
    dropped(SocketAddress::FromPacked(caller), endpoint);
  }
}

std::size_t PinTable::VisitSome(std::size_t cursor, std::size_t count,
                                const Visitor& visit) const {
  const std::size_t end = std::min(order_.size(), cursor + count);
  for (std::size_t n = cursor; n < end; ++n) {
    const Flow& flow = flows_.find(order_[n])->second;
    visit(SocketAddress::FromPacked(order_[n]),
          endpoints_[flow.endpoint_index]);
  }
  return end < order_.size() ? end : 0;
}

std::size_t PinTable::MemoryBytes() const {
  const std::size_t slot =
      sizeof(std::pair<const std::uint64_t, Flow>) + 1;  // Plus a control byte.
  return flows_.capacity() * slot + order_.capacity() * sizeof(std::uint64_t) +
         endpoints_.capacity() * sizeof(EndpointId) +
         endpoint_index_.capacity() *
             (sizeof(std::pair<const EndpointId, std::uint32_t>) + 1);
}

}  // namespace vanillalatch
