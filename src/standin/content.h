// The contents of the answers of simulated backend servers. Simulated callers
// compare against them to check that an answer is complete, belongs to their
// request and comes from the right service.
#ifndef VANILLALATCH_SRC_STANDIN_CONTENT_H_
#define VANILLALATCH_SRC_STANDIN_CONTENT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace vanillalatch::standin {

// Returns a short answer, such as "service=records key=a1 endpoint=records-1".
// It begins with AnswerPrefix().
std::string AnswerText(std::string_view service, std::string_view key,
                       std::string_view endpoint);

// Returns the part that is the same in the answers of all endpoints, such as
// "service=records key=a1 ".
std::string AnswerPrefix(std::string_view service, std::string_view key);

// Returns `size` bytes that begin with AnswerPrefix(). They depend only on the
// arguments, so that every endpoint answers the same.
std::string LargeContent(std::string_view service, std::string_view key,
                         std::size_t size);

// Returns the ETag of a large answer.
std::uint64_t EntityTag(std::string_view content);

}  // namespace vanillalatch::standin

#endif  // VANILLALATCH_SRC_STANDIN_CONTENT_H_
