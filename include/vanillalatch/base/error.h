// The closed list of error kinds, and the table from each kind to the answer
// that callers, backend servers and operators get.
//
//   throw Error(ErrorKind::kConflict, "catalog is at revision 7, not 6");
//   ...
//   catch (const Error& e) { reply(AnswerFor(e.kind()).coap_code); }
#ifndef VANILLALATCH_BASE_ERROR_H_
#define VANILLALATCH_BASE_ERROR_H_

#include <cstdint>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

namespace vanillalatch {

enum class ErrorKind : std::uint8_t {
  kInvalidArgument,     // Malformed or contradictory input.
  kNotFound,            // Names something that does not exist.
  kConflict,            // Made from a revision that is no longer current.
  kWrongDataCenter,     // Registration for another data centre.
  kNotLeader,           // This control VM does not lead; try another.
  kNoQuorum,            // No majority of control VMs can be reached.
  kOverloaded,          // Refused by admission; the request was not run.
  kDeadlineUnmeetable,  // Can't be answered in time; the request was not run.
  kNoEndpoint,          // No backend server can take it; it was not run.
  kStopping,            // This VM is shutting down; the request was not run.
  kOutcomeUnknown,      // The request may have run; it is not repeated.
  kAnswerBroken,        // An answer of many blocks can't be completed.
  kDeadlineExceeded,    // Ran out of time after it was sent; may have run.
  kCancelled,           // The caller cancelled.
  kCorrupt,             // Stored or received data fails its checksum.
  kStorage,             // The disk refused a read, write or sync.
  kUnsupported,         // A critical option or a method that is unknown.
  kTooLarge,            // A message above the limit.
  kInternal,            // A fault of this program.
};

// What each kind becomes towards the outside.
struct ErrorAnswer {
  ErrorKind kind;
  std::string_view name;   // Stable name in logs, metrics and --json output.
  std::uint8_t coap_code;  // RFC 7252 code, class in the upper three bits.
  int grpc_code;           // grpc::StatusCode towards operators.
  int exit_code;           // Exit code of the command line.
  bool not_run;            // True: the work surely had no effect.
  std::string_view text;   // One sentence for people.
};

// All kinds, in the order of the enumeration.
std::span<const ErrorAnswer> ErrorAnswers();

// The row of `kind`.
const ErrorAnswer& AnswerFor(ErrorKind kind);

// The exception of this project; carries its kind.
class Error : public std::runtime_error {
 public:
  Error(ErrorKind kind, const std::string& message)
      : std::runtime_error(message), kind_(kind) {}

  ErrorKind kind() const { return kind_; }

 private:
  ErrorKind kind_;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_BASE_ERROR_H_
