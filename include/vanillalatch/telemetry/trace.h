// Traces: one span for each hop of a request, as JSON lines. The trace id is
// the request's id, so spans of several VMs belong together without any
// message between them.
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

// The W3C trace id of a request: 32 hexadecimal digits.
std::string TraceIdText(RequestId request);

// Sixteen hexadecimal digits, as `ctl explain` takes them.
std::string RequestIdText(RequestId request);

// Error: kInvalidArgument unless it is sixteen hexadecimal digits; the 32 of a
// trace id are taken as well.
Result<RequestId> ParseRequestId(std::string_view text);

// What the subject of a hop is: "caller", "vm", "endpoint", "ahead", "code" or
// "kind".
std::string_view HopSubjectName(HopEvent event);

// The subject of a hop for people: an address, an id, a count, "2.05" or the
// name of an error kind.
std::string HopSubjectText(const Hop& hop);

// Not safe for several threads at once.
class TraceWriter {
 public:
  // Appends to the file. Error: kStorage if it can't be written.
  static Result<std::unique_ptr<TraceWriter>> Create(const std::string& path,
                                                     std::string_view vm);
  ~TraceWriter();

  // `unix_us` is the time of the hop, microseconds since 1970.
  void Write(const Hop& hop, std::int64_t unix_us);
  // Gives what was written to the operating system.
  void Flush();

 private:
  class Recorder;
  TraceWriter(std::unique_ptr<Recorder> recorder, std::string_view vm);

  std::unique_ptr<Recorder> recorder_;
  std::string vm_;
  std::uint64_t span_prefix_;
  std::uint64_t spans_ = 0;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_TELEMETRY_TRACE_H_
