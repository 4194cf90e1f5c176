// Request tracing: writes one span of zero duration for each hop of a request,
// as JSON lines. The trace id is derived from the request id, so that the spans
// of several VMs form one trace although the VMs exchange no trace context.
//
//   auto traces = TraceWriter::Create("traces.jsonl", "entry-north-1").value();
//   for (const Hop& it : node.TakeHops()) traces->Write(it, UnixUs(it.at));
//   traces->Flush();
//
// writes
//
//   {"traceparent":"00-0000000000000000b7ad6b7169203331-00f067aa0ba902b7-01",
//    "parent_span_id":"b7ad6b7169203331","name":"placed",
//    "start_unix_us":1700000000000000,"duration_us":0,
//    "attributes":{"endpoint":"00000000000000a1","vm":"entry-north-1"}}
#ifndef VANILLALATCH_TELEMETRY_TRACE_H_
#define VANILLALATCH_TELEMETRY_TRACE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "vanillalatch/base/hop.h"
#include "vanillalatch/base/result.h"
#include "vanillalatch/base/strong.h"

namespace vanillalatch {

// Returns the W3C trace id of a request: 32 hexadecimal digits.
std::string FormatTraceId(RequestId request);

// Returns 16 hexadecimal digits, the format that `ctl explain` accepts.
std::string FormatRequestId(RequestId request);

// Parses a request id of 16 hexadecimal digits, or the request's trace id
// of 32. Error: kInvalidArgument for any other text.
Result<RequestId> ParseRequestId(std::string_view text);

// Returns what the subject of a hop means: "caller", "vm", "endpoint", "ahead"
// (the number of requests ahead in the queue), "code" (the CoAP code) or "kind"
// (the error kind).
std::string_view HopSubjectName(HopEvent event);

// Returns the subject of a hop in readable form: an address, an id, a count, a
// CoAP code such as "2.05", or the name of an error kind.
std::string FormatHopSubject(const Hop& hop);

// Writes the spans of one VM to a file. Not thread-safe.
class TraceWriter {
 public:
  // Opens the file for appending; `vm` is the name of this VM. Error: kStorage
  // if the file can't be opened for writing.
  static Result<std::unique_ptr<TraceWriter>> Create(const std::string& path,
                                                     std::string_view vm);
  ~TraceWriter();

  // Writes the span of `hop`. `unix_us` is the time of the hop in microseconds
  // since the Unix epoch.
  void Write(const Hop& hop, std::int64_t unix_us);
  // Passes all buffered spans to the operating system.
  void Flush();

 private:
  class Recorder;
  TraceWriter(std::unique_ptr<Recorder> recorder, std::string_view vm);

  std::unique_ptr<Recorder> recorder_;
  std::string vm_;
  std::uint64_t vm_hash_;
  std::uint64_t span_count_ = 0;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_TELEMETRY_TRACE_H_
