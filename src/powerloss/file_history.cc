#include "src/powerloss/file_history.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace vanillalatch::powerloss {
namespace {

constexpr std::uint64_t kLossesThatTakeAllWrites = 4;  // One in so many.

}  // namespace

Result<FileHistory> FileHistory::Parse(std::istream& record) {
  FileHistory history;
  std::string line;
  while (std::getline(record, line) && !record.eof()) {
    if (!history.ParseLine(line)) {
      return Error(ErrorKind::kInvalidArgument,
                   "the line \"" + line + "\" can't be read");
    }
  }
  return history;
}

bool FileHistory::ParseLine(const std::string& line) {
  std::istringstream in(line);
  std::string kind;
  in >> kind;
  if (kind == "sync-names") {
    durable_names_ = names_;
    pending_names_.clear();
    return true;
  }
  std::string name;
  if (kind == "remove") {
    in >> name;
    const auto it = names_.find(name);
    if (it != names_.end()) {
      Rename({it->second, name, ""});
    }
    return !in.fail();
  }
  std::uint64_t number = 0;
  in >> number;
  const Inode inode(number);
  Write write;
  std::string to;
  if (kind == "base") {
    in >> name >> write.size;
    files_[inode].durable.push_back(write);
    names_[name] = inode;
    durable_names_[name] = inode;
  } else if (kind == "create") {
    in >> name;
    Rename({inode, "", name});
  } else if (kind == "write") {
    in >> write.offset >> write.size;
    files_[inode].pending.push_back(write);
  } else if (kind == "sync") {
    SyncFile(inode);
  } else if (kind == "rename") {
    in >> name >> to;
    Rename({inode, name, to});
  } else {
    return false;
  }
  return !in.fail();
}

void FileHistory::Rename(const NameChange& change) {
  Apply(change, names_);
  pending_names_.push_back(change);
}

void FileHistory::SyncFile(Inode inode) {
  File& file = files_[inode];
  std::move(file.pending.begin(), file.pending.end(),
            std::back_inserter(file.durable));
  file.pending.clear();
  // The sync of a new file makes its name durable as well.
  std::erase_if(pending_names_, [&](const NameChange& it) {
    const bool created = it.inode == inode && it.from.empty();
    if (created) {
      Apply(it, durable_names_);
    }
    return created;
  });
}

void FileHistory::Apply(const NameChange& change,
                        std::map<std::string, Inode>& names) {
  const auto from = names.find(change.from);
  if (from != names.end() && from->second == change.inode) {
    names.erase(from);
  }
  if (!change.to.empty()) {
    names[change.to] = change.inode;
  }
}

std::map<std::string, std::string> FileHistory::LosePower(
    std::mt19937_64& random, const ReadContent& read) const {
  std::map<std::string, Inode> names = durable_names_;
  for (const NameChange& it : pending_names_) {
    if (random() % 2 == 0) {
      Apply(it, names);
    }
  }
  const bool all_lost = random() % kLossesThatTakeAllWrites == 0;
  std::map<std::string, std::string> left;
  for (const auto& [name, inode] : names) {
    const auto file = files_.find(inode);
    left[name] =
        file == files_.end()
            ? std::string()
            : ContentAfterLoss(file->second, read(inode), all_lost, random);
  }
  return left;
}

std::string FileHistory::ContentAfterLoss(const File& file,
                                          const std::string& content,
                                          bool all_lost,
                                          std::mt19937_64& random) const {
  std::string left;
  const auto store = [&](std::size_t offset, std::string bytes, bool torn) {
    if (bytes.empty()) {
      return;
    }
    if (torn) {
      bytes.resize(1 + random() % bytes.size());
      bytes.back() = static_cast<char>(bytes.back() ^ 0x40);
    }
    left.resize(std::max(left.size(), offset + bytes.size()));
    left.replace(offset, bytes.size(), bytes);
  };
  const auto bytes_of = [&](const Write& it) {
    // A process that was killed may have recorded a write that it did not do.
    return it.offset < content.size() ? content.substr(it.offset, it.size)
                                      : std::string();
  };
  for (const Write& it : file.durable) {
    store(it.offset, bytes_of(it), false);
  }
  for (const Write& it : file.pending) {
    const std::uint64_t fate = random() % 3;
    if (!all_lost && fate > 0) {
      store(it.offset, bytes_of(it), fate == 1);
    }
  }
  return left;
}

}  // namespace vanillalatch::powerloss
