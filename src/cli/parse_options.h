// Parses the arguments of a command: options and positional arguments.
//
//   // The positional arguments are the values of the option "file".
//   const po::variables_map values =
//       ParseOptions(arguments, options, "file", -1);
#ifndef VANILLALATCH_SRC_CLI_PARSE_OPTIONS_H_
#define VANILLALATCH_SRC_CLI_PARSE_OPTIONS_H_

#include <boost/program_options.hpp>
#include <string>
#include <vector>

namespace vanillalatch {

// The positional arguments, of which there may be `max_positional` (-1: any
// number), become values of the option `positional_name`. Throws
// boost::program_options::error.
boost::program_options::variables_map ParseOptions(
    const std::vector<std::string>& arguments,
    const boost::program_options::options_description& options,
    const char* positional_name, int max_positional);

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_CLI_PARSE_OPTIONS_H_
