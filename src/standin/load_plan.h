// Load plans: the kinds of requests that simulated callers send, and how often
// they send each kind. A plan is a JSON file:
//
//   {
//     "kinds": [{
//       "service": "records", "class": "notes", "method": "POST",
//       "path": "/notes", "weight": 3, "latency": "250ms", "success": "99.9%"
//     }, {
//       "service": "plans", "class": "files", "method": "GET",
//       "path": "/files", "weight": 1, "latency": "1s", "success": "98%",
//       "size": 8000
//     }]
//   }
#ifndef VANILLALATCH_SRC_STANDIN_LOAD_PLAN_H_
#define VANILLALATCH_SRC_STANDIN_LOAD_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "vanillalatch/base/result.h"
#include "vanillalatch/base/time.h"
#include "vanillalatch/wire/coap.h"

namespace vanillalatch::standin {

// A kind of request. Simulated callers send each kind in proportion to its
// weight.
struct RequestKind {
  std::string service;
  std::string work_class;
  CoapCode method = kCoapGet;
  std::string path;
  double weight = 1;
  Duration latency_target{};  // Latency target of the class.
  // Share of requests that must be answered within the latency target.
  std::uint32_t success_permille = 0;
  std::size_t answer_bytes = 0;  // Of a block-wise answer; 0: not block-wise.
};

// Parses the text of a load plan. `file_name` is used only in errors. Error:
// kInvalidArgument with file, line and key.
Result<std::vector<RequestKind>> ParseLoadPlan(std::string_view file_name,
                                               std::string_view text);

}  // namespace vanillalatch::standin

#endif  // VANILLALATCH_SRC_STANDIN_LOAD_PLAN_H_
