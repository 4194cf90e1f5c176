// The closed list of error kinds, and a table of how each kind is reported to
// callers, backend servers and operators.
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
  kConflict,            // Based on a state that is no longer current.
  kWrongDataCenter,     // Registration for another data centre.
  kNotLeader,           // This control VM is not the leader; try another.
  kNoQuorum,            // No majority of control VMs can be reached.
  kOverloaded,          // Refused by admission; the request was not run.
  kDeadlineUnmeetable,  // Cannot be answered in time; the request was not run.
  kNoEndpoint,          // No backend server can take the request; not run.
  kStopping,            // This VM is shutting down; the request was not run.
  kOutcomeUnknown,      // The request may have run; it is not sent again.
  kAnswerBroken,        // A blockwise (RFC 7959) answer cannot be completed.
  kDeadlineExceeded,    // Timed out after it was sent; it may have run.
  kCancelled,           // The caller cancelled.
  kCorrupt,             // Stored or received data fails its checksum.
  kStorage,             // A read, write or sync of the disk failed.
  kUnsupported,         // An unknown critical option or an unknown method.
  kTooLarge,            // A message exceeds the size limit.
  kInternal,            // A defect in this program.
};

// How one error kind is reported.
struct ErrorAnswer {
  ErrorKind kind;
  std::string_view name;   // Stable name in logs, metrics and --json output.
  std::uint8_t coap_code;  // RFC 7252 code, class in the upper three bits.
  int grpc_code;           // grpc::StatusCode in replies to operators.
  int exit_code;           // Exit code of the command-line tool.
  bool not_run;            // True: the operation certainly had no effect.
  std::string_view text;   // One sentence for people; sent to callers.
};

// Returns the rows of all kinds, in the order of the enumeration.
std::span<const ErrorAnswer> ErrorAnswers();

// Returns the row of `kind`.
const ErrorAnswer& AnswerFor(ErrorKind kind);

// The exception type of this project. what() returns the message.
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
