#include "vanillalatch/request/request_record.h"

#include "charts/charts.h"
#include "vanillalatch/base/hash.h"
#include "vanillalatch/chart/chart.h"

namespace vanillalatch {
namespace {

using RequestChart = Chart<RequestState, RequestEvent>;

const RequestChart& GetRequestChart() {
  static const RequestChart chart =
      RequestChart::Create(
          charts::kRequest,
          {"held", "parked", "queued", "placed", "sent", "finished"},
          {"take", "submit", "place", "send", "park", "hand_over", "finish"})
          .value();
  return chart;
}

std::uint64_t HashBytes(ByteSpan bytes) {
  return StableHash(
      {reinterpret_cast<const char*>(bytes.data()), bytes.size()});
}

}  // namespace

void Advance(RequestRecord& record, RequestEvent event) {
  const std::optional<RequestState> next =
      GetRequestChart().Next(record.state, event);
  if (!next) {
    throw Error(ErrorKind::kInternal,
                "request record in state " +
                    std::to_string(static_cast<int>(record.state)) +
                    " cannot handle event " +
                    std::to_string(static_cast<int>(event)));
  }
  record.state = *next;
}

RequestId ComputeRequestId(SocketAddress caller, const CoapMessage& message,
                           ByteSpan datagram) {
  const std::optional<std::uint64_t> id = message.UintOption(kOptionRequestId);
  if (id && *id != 0) {
    return RequestId{*id};
  }
  const std::uint64_t hash = StableHash(caller.Packed(), HashBytes(datagram));
  return RequestId{hash == 0 ? 1 : hash};
}

std::uint64_t ComputeFingerprint(const CoapMessage& message) {
  std::uint64_t hash = StableHash(message.code, HashBytes(message.payload));
  for (const CoapMessage::OptionValue& it : message.options()) {
    if (it.number != kOptionDeadline && it.number != kOptionIssued) {
      hash = StableHash(hash, StableHash(it.number, HashBytes(it.value)));
    }
  }
  return hash;
}

}  // namespace vanillalatch
