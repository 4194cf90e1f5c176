// Runs scripted tests in a simulated system with virtual time. A script has one
// step per line, "VERB ARGUMENT... [key=value...]". Lines that start with # are
// comments. The step `seed N` sets the seed of the random numbers; it is 1 by
// default. Durations are written 50us, 200ms, 3s or 2min.
//
//   # Two operators change the same revision concurrently.
//   seed 7
//   control 3
//   run 3s
//   apply alice base=0 file=one.json
//   expect revision 1
//
// A World is the simulated system. It carries out the verbs of its scripts by
// calling the libraries under test:
//
//   class ControlWorld {
//    public:
//     explicit ControlWorld(std::uint64_t seed);
//     void Do(const scenario::Step& step);   // throws scenario::Failure
//     std::string Journal() const;           // log of events so far
//   };
//   scenario::RunFile<ControlWorld>("scenarios/control/race.scn");
//
// The journal is compared with the golden file of the script, if it has one.
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

// Thrown for an expectation that does not hold, a step that can't be carried
// out or a script that can't be read.
class Failure : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// One step of a script.
struct Step {
  int line = 0;      // One-based.
  std::string text;  // The line as written, for error messages.
  std::string verb;
  std::vector<std::string> words;  // Positional arguments in order.
  std::map<std::string, std::string, std::less<>> named;  // key=value.

  // Return the positional argument with the zero-based index `n`, as text, as a
  // number or as a duration. Throw Failure if it is missing or malformed.
  const std::string& Word(std::size_t n) const;
  std::uint64_t Number(std::size_t n) const;
  Duration Time(std::size_t n) const;
  // Return the named argument `key`, or `fallback` if it is absent. Throw
  // Failure if it is malformed.
  std::string Named(std::string_view key, std::string_view fallback) const;
  std::uint64_t NamedNumber(std::string_view key, std::uint64_t fallback) const;
  Duration NamedTime(std::string_view key, Duration fallback) const;
};

// A parsed script.
struct Script {
  std::string path;  // For error messages and to find the golden file.
  std::uint64_t seed = 1;
  std::vector<Step> steps;  // Without `seed` steps.
};

// Parses a duration such as 50us, 200ms, 3s or 2min. Throws Failure.
Duration ParseTime(std::string_view text);

// Parses the text of a script. Throws Failure if a seed is missing or
// malformed.
Script ParseScript(const std::string& path, std::string_view text);
// Reads and parses a script file. Throws Failure.
Script ReadScript(const std::string& path);

// Returns the paths of the .scn files of a folder in alphabetical order.
std::vector<std::string> ListScripts(const std::string& folder);

// Compares `journal` with the golden file: the path of the script with the
// extension .golden. Does nothing if there is no such file. Throws Failure with
// the first different line. If the environment variable
// VANILLALATCH_UPDATE_GOLDEN is set, overwrites the file instead.
void CheckGolden(const std::string& script_path, std::string_view journal);

// A simulated system, see the top of this file.
template <typename W>
concept World = std::constructible_from<W, std::uint64_t> &&
    requires(W world, const Step& step) {
  world.Do(step);
  { world.Journal() } -> std::convertible_to<std::string>;
};

// Runs every step in a new World and checks the golden file. A failed step
// throws Failure with the seed, the step and the last lines of the journal.
template <World W>
void RunScript(const Script& script);

// Reads a script file and runs it.
template <World W>
void RunFile(const std::string& path) {
  RunScript<W>(ReadScript(path));
}

namespace internal {
// Returns the error message of a failed step; `what` is the reason.
std::string FailureMessage(const Script& script, const Step& step,
                           std::string_view what, std::string_view journal);
}  // namespace internal

template <World W>
void RunScript(const Script& script) {
  W world(script.seed);
  for (const Step& it : script.steps) {
    try {
      world.Do(it);
    } catch (const std::exception& e) {
      throw Failure(
          internal::FailureMessage(script, it, e.what(), world.Journal()));
    }
  }
  CheckGolden(script.path, world.Journal());
}

}  // namespace vanillalatch::scenario

#endif  // VANILLALATCH_SCENARIO_SCENARIO_H_
