#include "vanillalatch/base/error.h"

#include <array>
#include <cstddef>

namespace vanillalatch {
namespace {

// Encodes a CoAP code; EncodeCoapCode(5, 3) is the code printed as 5.03.
constexpr std::uint8_t EncodeCoapCode(int code_class, int detail) {
  return static_cast<std::uint8_t>((code_class << 5) | detail);
}

// The texts are sent to callers as the payload of error answers.
constexpr std::array kAnswers = std::to_array<ErrorAnswer>({
    {ErrorKind::kInvalidArgument, "invalid_argument", EncodeCoapCode(4, 0), 3,
     2, true, "The input is not valid."},
    {ErrorKind::kNotFound, "not_found", EncodeCoapCode(4, 4), 5, 3, true,
     "It does not exist."},
    {ErrorKind::kConflict, "conflict", EncodeCoapCode(4, 9), 10, 4, true,
     "Somebody else changed the catalog first."},
    {ErrorKind::kWrongDataCenter, "wrong_data_center", EncodeCoapCode(4, 3), 9,
     2, true, "It belongs to another data centre."},
    {ErrorKind::kNotLeader, "not_leader", EncodeCoapCode(5, 3), 14, 5, true,
     "This control VM is not the leader."},
    {ErrorKind::kNoQuorum, "no_quorum", EncodeCoapCode(5, 3), 14, 5, false,
     "No majority of control VMs can be reached."},
    {ErrorKind::kOverloaded, "overloaded", EncodeCoapCode(5, 3), 8, 6, true,
     "Refused because of load; it was not run."},
    {ErrorKind::kDeadlineUnmeetable, "deadline_unmeetable",
     EncodeCoapCode(5, 3), 8, 6, true,
     "It can't be answered in time; it was not run."},
    {ErrorKind::kNoEndpoint, "no_endpoint", EncodeCoapCode(5, 3), 14, 6, true,
     "No backend server can take it; it was not run."},
    {ErrorKind::kStopping, "stopping", EncodeCoapCode(5, 3), 14, 6, true,
     "The VM is shutting down; it was not run."},
    {ErrorKind::kOutcomeUnknown, "outcome_unknown", EncodeCoapCode(5, 4), 2, 7,
     false, "It may have run; it will not be repeated."},
    {ErrorKind::kAnswerBroken, "answer_broken", EncodeCoapCode(5, 2), 15, 7,
     false, "The answer can't be completed; fetch it again from the start."},
    {ErrorKind::kDeadlineExceeded, "deadline_exceeded", EncodeCoapCode(5, 4), 4,
     7, false, "It ran out of time after it was sent."},
    {ErrorKind::kCancelled, "cancelled", EncodeCoapCode(5, 4), 1, 7, false,
     "The caller cancelled it."},
    {ErrorKind::kCorrupt, "corrupt", EncodeCoapCode(5, 0), 15, 8, false,
     "The data fails its checksum."},
    {ErrorKind::kStorage, "storage", EncodeCoapCode(5, 0), 13, 8, false,
     "The disk refused an operation."},
    {ErrorKind::kUnsupported, "unsupported", EncodeCoapCode(4, 2), 12, 2, true,
     "A critical option or method is not known."},
    {ErrorKind::kTooLarge, "too_large", EncodeCoapCode(4, 13), 11, 2, true,
     "The message is above the limit."},
    {ErrorKind::kInternal, "internal", EncodeCoapCode(5, 0), 13, 70, false,
     "A fault of this program."},
});

}  // namespace

std::span<const ErrorAnswer> ErrorAnswers() { return kAnswers; }

const ErrorAnswer& AnswerFor(ErrorKind kind) {
  return kAnswers.at(static_cast<std::size_t>(kind));
}

}  // namespace vanillalatch
