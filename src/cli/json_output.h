// Messages as JSON for programs.
#ifndef VANILLALATCH_SRC_CLI_JSON_OUTPUT_H_
#define VANILLALATCH_SRC_CLI_JSON_OUTPUT_H_

#include <google/protobuf/message.h>

#include <ostream>

namespace vanillalatch {

// Prints one message as an indented JSON object, fields by their names in
// proto/, also those that are zero.
void PrintJson(const google::protobuf::Message& message, std::ostream& out);

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_CLI_JSON_OUTPUT_H_
