#include "vanillalatch/flow/pin_table.h"

#include <algorithm>

namespace vanillalatch {
namespace {

std::uint32_t SecondOf(TimePoint at) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::seconds>(at.time_since_epoch())
          .count());
}

}  // namespace

Result<PinTable> PinTable::Create(PinTableOptions options) {
  if (options.idle < std::chrono::seconds(1) || options.max_flows == 0 ||
      options.expire_step == 0) {
    return Error(ErrorKind::kInvalidArgument,
                 "pin table: idle time below 1 s, or no room");
  }
  return PinTable(options);
}

bool PinTable::IsIdle(const Flow& flow, TimePoint now) const {
  const auto idle =
      std::chrono::duration_cast<std::chrono::seconds>(options_.idle);
  return SecondOf(now) - flow.used_second >
         static_cast<std::uint32_t>(idle.count());
}

std::uint32_t PinTable::IndexOf(EndpointId endpoint) {
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
  it->second.used_second = SecondOf(now);
  return endpoints_[it->second.endpoint];
}

bool PinTable::Put(SocketAddress caller, EndpointId endpoint, TimePoint now) {
  const std::uint64_t key = caller.Packed();
  const auto it = flows_.find(key);
  if (it != flows_.end()) {
    it->second.endpoint = IndexOf(endpoint);
    it->second.used_second = SecondOf(now);
    return true;
  }
  if (flows_.size() >= options_.max_flows) {
    return false;
  }
  flows_.emplace(key, Flow{static_cast<std::uint32_t>(order_.size()),
                           IndexOf(endpoint), SecondOf(now)});
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

// Fills the gap in `order_` with its last flow.
void PinTable::Erase(std::uint64_t caller) {
  const auto it = flows_.find(caller);
  const std::uint32_t place = it->second.place;
  flows_.erase(it);
  order_[place] = order_.back();
  order_.pop_back();
  if (place < order_.size()) {
    flows_.find(order_[place])->second.place = place;
  }
}

void PinTable::ExpireSome(TimePoint now, const Visitor& dropped) {
  const std::size_t steps = std::min(options_.expire_step, order_.size());
  for (std::size_t n = 0; n < steps && !order_.empty(); ++n) {
    if (expire_at_ >= order_.size()) {
      expire_at_ = 0;
    }
    const std::uint64_t caller = order_[expire_at_];
    const Flow& flow = flows_.find(caller)->second;
    if (!IsIdle(flow, now)) {
      ++expire_at_;
      continue;
    }
    const EndpointId endpoint = endpoints_[flow.endpoint];
    Erase(caller);
    dropped(SocketAddress::FromPacked(caller), endpoint);
  }
}

std::size_t PinTable::VisitSome(std::size_t cursor, std::size_t count,
                                const Visitor& visit) const {
  const std::size_t end = std::min(order_.size(), cursor + count);
  for (std::size_t n = cursor; n < end; ++n) {
    const Flow& flow = flows_.find(order_[n])->second;
    visit(SocketAddress::FromPacked(order_[n]), endpoints_[flow.endpoint]);
  }
  return end < order_.size() ? end : 0;
}

std::size_t PinTable::MemoryBytes() const {
  const std::size_t slot =
      sizeof(std::pair<const std::uint64_t, Flow>) + 1;  // One control byte.
  return flows_.capacity() * slot + order_.capacity() * sizeof(std::uint64_t) +
         endpoints_.capacity() * sizeof(EndpointId) +
         endpoint_index_.capacity() *
             (sizeof(std::pair<const EndpointId, std::uint32_t>) + 1);
}

}  // namespace vanillalatch
