#include "src/cli/json_output.h"

#include <google/protobuf/util/json_util.h>

#include <string>

#include "vanillalatch/base/error.h"

namespace vanillalatch {

void PrintJson(const google::protobuf::Message& message, std::ostream& out) {
  google::protobuf::util::JsonPrintOptions options;
  options.add_whitespace = true;
  options.always_print_primitive_fields = true;
  options.preserve_proto_field_names = true;
  std::string text;
  const auto status =
      google::protobuf::util::MessageToJsonString(message, &text, options);
  if (!status.ok()) {
    throw Error(ErrorKind::kInternal, status.ToString());
  }
  out << text;
}

}  // namespace vanillalatch
