// Prints protobuf messages as JSON, for --json.
#ifndef VANILLALATCH_SRC_CLI_JSON_OUTPUT_H_
#define VANILLALATCH_SRC_CLI_JSON_OUTPUT_H_

#include <google/protobuf/message.h>

#include <ostream>

namespace vanillalatch {

// Prints one message as an indented JSON object. Fields have the names that
// they have in proto/. Scalar fields with the value zero are printed too.
// Throws Error with kInternal if the message can't be converted.
void PrintJson(const google::protobuf::Message& message, std::ostream& out);

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_CLI_JSON_OUTPUT_H_
