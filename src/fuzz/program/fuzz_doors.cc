// Feeds a door with bytes.
//
//   fuzz_doors DOOR CORPUS RUNS SEED   the corpus, then RUNS seeded changes
//
// Built with libFuzzer, it takes libFuzzer's arguments, and the environment
// variable FUZZ_DOOR names the door.
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <string>
#include <vector>

#include "src/fuzz/doors.h"

using vanillalatch::fuzz::Door;
using vanillalatch::fuzz::FindDoor;

#ifdef VL_LIBFUZZER

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  static const Door& door = [&]() -> const Door& {
    const char* name = std::getenv("FUZZ_DOOR");
    const Door* found = FindDoor(name == nullptr ? "" : name);
    if (found == nullptr) {
      std::cerr << "FUZZ_DOOR names no door\n";
      std::exit(2);
    }
    return *found;
  }();
  door({reinterpret_cast<const char*>(data), size});
  return 0;
}

#else

namespace {

std::vector<std::string> ReadCorpus(const std::string& folder) {
  std::vector<std::filesystem::path> paths;
  for (const auto& it : std::filesystem::directory_iterator(folder)) {
    paths.push_back(it.path());
  }
  std::sort(paths.begin(), paths.end());
  std::vector<std::string> inputs;
  for (const auto& it : paths) {
    std::ifstream in(it, std::ios::binary);
    inputs.emplace_back(std::istreambuf_iterator<char>(in),
                        std::istreambuf_iterator<char>());
  }
  return inputs;
}

// Changes, repeats, removes and moves parts of `text`.
void Change(std::string& text, std::mt19937_64& random) {
  const auto below = [&](std::size_t n) {
    return n == 0 ? 0 : static_cast<std::size_t>(random() % n);
  };
  for (std::size_t n = 1 + below(4); n > 0; --n) {
    const std::size_t at = below(text.size() + 1);
    const std::size_t size = below(
        std::min<std::size_t>(text.size() - at, std::size_t{1} << below(9)) +
        1);
    const std::string part = text.substr(at, size);
    switch (below(6)) {
      case 0:
        text.insert(at, 1, static_cast<char>(random()));
        break;
      case 1:
        text.erase(at, size);
        break;
      case 2:
        for (std::size_t it = below(2'000); it > 0 && !part.empty(); --it) {
          text.insert(at, part);
        }
        break;
      case 3:
        text.insert(below(text.size() + 1), part);
        break;
      case 4:
        text.insert(at, std::to_string(random() >> below(64)));
        break;
      default:
        if (at < text.size()) {
          text[at] = static_cast<char>(random());
        }
    }
    constexpr std::size_t kMaxBytes = 200'000;
    text.resize(std::min(text.size(), kMaxBytes));
  }
}

}  // namespace

int main(int argc, char** argv) {
  const Door* door = argc == 5 ? FindDoor(argv[1]) : nullptr;
  if (door == nullptr) {
    std::cerr << "usage: fuzz_doors DOOR CORPUS RUNS SEED\n";
    return 2;
  }
  const std::vector<std::string> corpus = ReadCorpus(argv[2]);
  for (const std::string& it : corpus) {
    (*door)(it);
  }
  std::mt19937_64 random(std::stoull(argv[4]));
  const std::uint64_t runs = std::stoull(argv[3]);
  for (std::uint64_t n = 0; n < runs && !corpus.empty(); ++n) {
    std::string text = corpus[random() % corpus.size()];
    Change(text, random);
    (*door)(text);
  }
  std::cout << argv[1] << ": " << corpus.size() << " files, " << runs
            << " changes\n";
  return 0;
}

#endif
