// Rewrites the data folder of a control VM that was killed, as a loss of power
// could have left it:
//
//   lose_power FOLDER RECORD SEED
//
// RECORD is the folder in which vanillalatch_recorded has noted what it wrote
// and synced. The next process goes on with the same record.
#include <sys/stat.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <string>

#include "src/powerloss/file_history.h"

namespace {

namespace fs = std::filesystem;
using vanillalatch::powerloss::FileHistory;
using vanillalatch::powerloss::Inode;

std::string ReadFile(const fs::path& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) {
    std::cerr << "usage: lose_power FOLDER RECORD SEED\n";
    return 2;
  }
  const fs::path folder(argv[1]);
  const fs::path record(argv[2]);
  std::mt19937_64 random(std::stoull(argv[3]));
  std::ifstream lines(record / "lines");
  const auto history = FileHistory::Parse(lines);
  if (!history.ok()) {
    std::cerr << "lose_power: " << history.error().what() << "\n";
    return 1;
  }
  const auto left = history->LosePower(random, [&](Inode it) {
    return ReadFile(record / std::to_string(it.value()));
  });
  for (const fs::path& it : {folder, record}) {
    fs::remove_all(it);
    fs::create_directories(it);
  }
  std::ofstream out(record / "lines");
  for (const auto& [name, content] : left) {
    const fs::path path = folder / name;
    std::ofstream(path, std::ios::binary) << content;
    struct stat info {};
    stat(path.c_str(), &info);
    fs::create_hard_link(path, record / std::to_string(info.st_ino));
    out << "base " << info.st_ino << " " << name << " " << content.size()
        << "\n";
  }
  return 0;
}
