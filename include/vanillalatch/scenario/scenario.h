// The scenario language: one step a line, "VERB ARGUMENT... [key=value...]".
// Lines that start with # are comments. `seed=N` steps set the seed. Times are
// written 200ms, 3s or 50us.
//
//   # Two operators race on one revision.
//   seed 7
//   control 3
//   run 3s
//   apply alice base=0 file=one.json
//   expect revision 1
//
// A world binds verbs to one set of decision libraries:
//
//   class ControlWorld {
//    public:
//     explicit ControlWorld(std::uint64_t seed);
//     void Do(const scenario::Step& step);   // throws scenario::Failure
//     std::string Journal() const;           // what happened, for golden files
//   };
//   scenario::RunFile<ControlWorld>("scenarios/control/race.scn");
#ifndef VANILLALATCH_SCENARIO_SCENARIO_H_
#define VANILLALATCH_SCENARIO_SCENARIO_H_

#include <concepts>
#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "vanillalatch/base/time.h"

namespace vanillalatch::scenario {

// An expectation that does not hold, or a step that can't be carried out.
class Failure : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Step {
  int line = 0;
  std::string text;  // As written, for messages.
  std::string verb;
  std::vector<std::string> words;  // Plain arguments in order.
  std::map<std::string, std::string, std::less<>> named;  // key=value.

  // Argument `n`; throws Failure if it is missing.
  const std::string& Word(std::size_t n) const;
  std::uint64_t Number(std::size_t n) const;
  Duration Time(std::size_t n) const;
  // Named arguments with a default.
  std::string Named(std::string_view key, std::string_view fallback) const;
  std::uint64_t NamedNumber(std::string_view key, std::uint64_t fallback) const;
  Duration NamedTime(std::string_view key, Duration fallback) const;
};

struct Script {
  std::string path;
  std::uint64_t seed = 1;
  std::vector<Step> steps;  // Without the seed step.
};

// Reads 200ms, 3s, 50us, 2min. Throws Failure.
Duration ParseTime(std::string_view text);

// Throws Failure with path and line.
Script ParseScript(const std::string& path, std::string_view text);
Script ReadScript(const std::string& path);

// The .scn files of a folder in alphabetical order.
std::vector<std::string> ScriptsIn(const std::string& folder);

// Compares `journal` with the .golden file beside the script, if there is
// one; throws Failure with the first difference. With the environment
// variable VANILLALATCH_UPDATE_GOLDEN set, writes the file instead.
void CheckGolden(const std::string& script_path, std::string_view journal);

template <typename W>
concept World = std::constructible_from<W, std::uint64_t> &&
    requires(W world, const Step& step) {
  world.Do(step);
  { world.Journal() } -> std::convertible_to<std::string>;
};

// Runs every step. Throws Failure that names the seed, the step and the last
// lines of the journal.
template <World W>
void RunScript(const Script& script);

template <World W>
void RunFile(const std::string& path) {
  RunScript<W>(ReadScript(path));
}

namespace internal {
// The message of a failed step.
std::string Explain(const Script& script, const Step& step,
                    std::string_view what, std::string_view journal);
}  // namespace internal

template <World W>
void RunScript(const Script& script) {
  W world(script.seed);
  for (const Step& it : script.steps) {
    try {
      world.Do(it);
    } catch (const std::exception& e) {
      throw Failure(internal::Explain(script, it, e.what(), world.Journal()));
    }
  }
  CheckGolden(script.path, world.Journal());
}

}  // namespace vanillalatch::scenario

#endif  // VANILLALATCH_SCENARIO_SCENARIO_H_
