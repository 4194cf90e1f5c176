#include "src/cli/parse_options.h"

namespace vanillalatch {

namespace po = boost::program_options;

po::variables_map ParseOptions(const std::vector<std::string>& arguments,
                               const po::options_description& options,
                               const char* positional_name,
                               int max_positional) {
  po::positional_options_description positions;
  positions.add(positional_name, max_positional);
  po::variables_map values;
  po::store(po::command_line_parser(arguments)
                .options(options)
                .positional(positions)
                .run(),
            values);
  po::notify(values);
  return values;
}

}  // namespace vanillalatch
