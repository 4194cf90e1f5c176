// What the callers' stand-in sends: kinds of requests with their weights.
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

struct RequestKind {
  std::string service;
  std::string work_class;
  CoapCode method = kCoapGet;
  std::string path;
  double weight = 1;
  Duration latency{};  // The class' target.
  std::uint32_t success_permille = 0;
  std::size_t size = 0;  // Bytes of a block-wise answer; 0: one message.
};

// Error: kInvalidArgument with file, line and key.
Result<std::vector<RequestKind>> ParseLoadPlan(std::string_view file_name,
                                               std::string_view text);

}  // namespace vanillalatch::standin

#endif  // VANILLALATCH_SRC_STANDIN_LOAD_PLAN_H_
