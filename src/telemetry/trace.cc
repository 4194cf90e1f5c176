#include "vanillalatch/telemetry/trace.h"

#include <opentracing/mocktracer/recorder.h>

#include <array>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <utility>

#include "vanillalatch/base/address.h"
#include "vanillalatch/base/hash.h"

namespace vanillalatch {
namespace {

using opentracing::mocktracer::SpanData;
using std::chrono::duration_cast;
using std::chrono::microseconds;

constexpr std::size_t kIdDigits = 16;

std::string FormatHex(std::uint64_t value) {
  std::array<char, kIdDigits + 1> buf{};
  std::snprintf(buf.data(), buf.size(), "%016llx",
                static_cast<unsigned long long>(value));
  return buf.data();
}

std::string FormatCoapCode(std::uint64_t code) {
  std::array<char, 8> buf{};
  std::snprintf(buf.data(), buf.size(), "%u.%02u",
                static_cast<unsigned>((code >> 5) & 7),
                static_cast<unsigned>(code & 31));
  return buf.data();
}

std::string FormatErrorKind(std::uint64_t kind) {
  return kind < ErrorAnswers().size() ? std::string(ErrorAnswers()[kind].name)
                                      : "unknown";
}

}  // namespace

std::string FormatTraceId(RequestId request) {
  return std::string(kIdDigits, '0') + FormatHex(request.value());
}

std::string FormatRequestId(RequestId request) {
  return FormatHex(request.value());
}

Result<RequestId> ParseRequestId(std::string_view text) {
  const std::string_view original = text;
  if (text.size() == 2 * kIdDigits &&
      text.find_first_not_of('0') >= kIdDigits) {
    text.remove_prefix(kIdDigits);
  }
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [it, ec] = std::from_chars(text.data(), end, value, 16);
  if (text.size() != kIdDigits || ec != std::errc() || it != end) {
    return Error(ErrorKind::kInvalidArgument,
                 "expected a request id of 16 hexadecimal digits or a trace id "
                 "of 32, got \"" +
                     std::string(original) + "\"");
  }
  return RequestId(value);
}

std::string_view HopSubjectName(HopEvent event) {
  switch (event) {
    case HopEvent::kReceived:
      return "caller";
    case HopEvent::kHandedOver:
    case HopEvent::kAccepted:
    case HopEvent::kTakenOver:
      return "vm";
    case HopEvent::kQueued:
      return "ahead";
    case HopEvent::kPlaced:
    case HopEvent::kRetried:
    case HopEvent::kDropped:
      return "endpoint";
    case HopEvent::kAnswered:
    case HopEvent::kReplayed:
      return "code";
    case HopEvent::kRefused:
    case HopEvent::kGivenUp:
      return "kind";
  }
  return "subject";
}

std::string FormatHopSubject(const Hop& hop) {
  const std::string_view name = HopSubjectName(hop.event);
  if (name == "caller") {
    return SocketAddress::FromPacked(hop.subject).ToString();
  }
  if (name == "ahead") {
    return std::to_string(hop.subject);
  }
  if (name == "code") {
    return FormatCoapCode(hop.subject);
  }
  if (name == "kind") {
    return FormatErrorKind(hop.subject);
  }
  return FormatHex(hop.subject);
}

// Writes each finished span as a JSON line.
class TraceWriter::Recorder : public opentracing::mocktracer::Recorder {
 public:
  explicit Recorder(const std::string& path) : file_(path, std::ios::app) {}

  bool ok() const { return file_.good(); }
  void Flush() { file_.flush(); }

  void RecordSpan(SpanData&& span) noexcept override {
    const RequestId request(span.span_context.trace_id);
    nlohmann::ordered_json line = {
        {"traceparent", "00-" + FormatTraceId(request) + "-" +
                            FormatHex(span.span_context.span_id) + "-01"},
        {"parent_span_id", FormatHex(span.references.front().span_id)},
        {"name", span.operation_name},
        {"start_unix_us",
         duration_cast<microseconds>(span.start_timestamp.time_since_epoch())
             .count()},
        {"duration_us", duration_cast<microseconds>(span.duration).count()}};
    for (const auto& [key, value] : span.tags) {
      line["attributes"][key] = value.get<std::string>();
    }
    file_ << line.dump(-1, ' ', false,
                       nlohmann::ordered_json::error_handler_t::replace)
          << '\n';
  }

 private:
  std::ofstream file_;
};

TraceWriter::TraceWriter(std::unique_ptr<Recorder> recorder,
                         std::string_view vm)
    : recorder_(std::move(recorder)), vm_(vm), vm_hash_(StableHash(vm)) {}

TraceWriter::~TraceWriter() = default;

Result<std::unique_ptr<TraceWriter>> TraceWriter::Create(
    const std::string& path, std::string_view vm) {
  auto recorder = std::make_unique<Recorder>(path);
  if (!recorder->ok()) {
    return Error(ErrorKind::kStorage, path + ": can't be opened for writing");
  }
  return std::unique_ptr<TraceWriter>(new TraceWriter(std::move(recorder), vm));
}

void TraceWriter::Write(const Hop& hop, std::int64_t unix_us) {
  const std::uint64_t trace = hop.request.value();
  // A hash of the VM, the time and a count, so that the ids of the spans of one
  // trace differ.
  const std::uint64_t span_id =
      StableHash(vm_hash_ ^ static_cast<std::uint64_t>(unix_us), ++span_count_);
  SpanData span;
  span.span_context = {trace, span_id == 0 ? 1 : span_id, {}};
  span.references = {
      {opentracing::SpanReferenceType::ChildOfRef, trace, trace}};
  span.operation_name = HopEventName(hop.event);
  span.start_timestamp = opentracing::SystemTime(microseconds(unix_us));
  span.duration = opentracing::SteadyClock::duration::zero();
  span.tags["vm"] = vm_;
  span.tags[std::string(HopSubjectName(hop.event))] = FormatHopSubject(hop);
  recorder_->RecordSpan(std::move(span));
}

void TraceWriter::Flush() { recorder_->Flush(); }

}  // namespace vanillalatch
