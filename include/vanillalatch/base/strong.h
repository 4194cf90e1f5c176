// Strong<Tag, Value>: distinct types for identifiers, so that the compiler
// rejects an identifier of one kind where another kind is expected.
//
//   ServiceId service{7};
//   if (service == other_service) ...
//   absl::flat_hash_map<ServiceId, Service> services;
#ifndef VANILLALATCH_BASE_STRONG_H_
#define VANILLALATCH_BASE_STRONG_H_

#include <compare>
#include <cstdint>
#include <utility>

namespace vanillalatch {

// Wraps one `Value`. Each kind of identifier uses its own `Tag` type.
template <typename Tag, typename Value>
class Strong {
 public:
  constexpr Strong() = default;
  constexpr explicit Strong(Value value) : value_(std::move(value)) {}

  constexpr const Value& value() const { return value_; }

  // clang-tidy 14 reports the zero that a defaulted operator compares with as a
  // null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend constexpr auto operator<=>(const Strong&, const Strong&) = default;

  template <typename H>
  friend H AbslHashValue(H state, const Strong& id) {
    return H::combine(std::move(state), id.value_);
  }

 private:
  Value value_{};
};

// One vanillalatch process on a VM: the stable hash of its name in the
// settings.
using NodeId = Strong<struct NodeIdTag, std::uint64_t>;
// A service of the catalog. An id is never reused, not even after the service
// is deleted.
using ServiceId = Strong<struct ServiceIdTag, std::uint32_t>;
// A class of work of the catalog. An id is never reused.
using ClassId = Strong<struct ClassIdTag, std::uint32_t>;
// One registration of a backend server. A later registration of the same
// address gets a different id.
using EndpointId = Strong<struct EndpointIdTag, std::uint64_t>;
// One request of a caller. The id is the same on every VM that handles the
// request.
using RequestId = Strong<struct RequestIdTag, std::uint64_t>;
// Version of the catalog. It increases by one with each accepted change.
using Revision = Strong<struct RevisionTag, std::uint64_t>;
// Election term of the replicated log.
using Term = Strong<struct TermTag, std::uint64_t>;
// Position in the replicated log. The first entry has index 1.
using LogIndex = Strong<struct LogIndexTag, std::uint64_t>;

}  // namespace vanillalatch

#endif  // VANILLALATCH_BASE_STRONG_H_
