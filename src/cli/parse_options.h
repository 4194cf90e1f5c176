// Reads the arguments of a command: options, and the words without a name.
//
//   const po::variables_map values = ParseOptions(arguments, options, "file",
//   -1);
#ifndef VANILLALATCH_SRC_CLI_PARSE_OPTIONS_H_
#define VANILLALATCH_SRC_CLI_PARSE_OPTIONS_H_

#include <boost/program_options.hpp>
#include <string>
#include <vector>

namespace vanillalatch {

// Words without a name count as values of `positional_name`, `positional` of
// them; -1: all. Throws boost::program_options::error.
boost::program_options::variables_map ParseOptions(
    const std::vector<std::string>& arguments,
    const boost::program_options::options_description& options,
    const char* positional_name, int positional);

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_CLI_PARSE_OPTIONS_H_
