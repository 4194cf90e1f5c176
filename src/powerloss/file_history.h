// FileHistory: what a process has done to the files of one folder, and which
// files a loss of power may leave of them. Lines of the record:
//
//   base INODE NAME SIZE      a durable file at the start of the record
//   create INODE NAME
//   write INODE OFFSET SIZE   an append
//   sync INODE
//   rename INODE FROM TO
//   remove NAME
//   sync-names                a sync of the folder
#ifndef VANILLALATCH_SRC_POWERLOSS_FILE_HISTORY_H_
#define VANILLALATCH_SRC_POWERLOSS_FILE_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <istream>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "vanillalatch/base/result.h"
#include "vanillalatch/base/strong.h"

namespace vanillalatch::powerloss {

struct InodeTag;
using Inode = Strong<InodeTag, std::uint64_t>;

class FileHistory {
 public:
  // Returns the content of a file as the process left it.
  using ReadContent = std::function<std::string(Inode)>;

  // Error: kInvalidArgument if a line can't be read. A last line without its
  // end is ignored: the process was killed while it wrote it.
  static Result<FileHistory> Parse(std::istream& record);

  // Returns the files after a loss of power, by name. Of what was not synced,
  // each write is stored, torn or lost, and each name is kept or lost. Some
  // losses take every write that was not synced.
  std::map<std::string, std::string> LosePower(std::mt19937_64& random,
                                               const ReadContent& read) const;

 private:
  struct Write {
    std::size_t offset = 0;
    std::size_t size = 0;
  };
  struct File {
    std::vector<Write> durable;
    std::vector<Write> pending;
  };
  // A change of names: `inode` gets the name `to` instead of `from`. One of
  // them is empty if it is created or removed.
  struct NameChange {
    Inode inode;
    std::string from;
    std::string to;
  };

  bool ParseLine(const std::string& line);
  void Rename(const NameChange& change);
  void SyncFile(Inode inode);
  static void Apply(const NameChange& change,
                    std::map<std::string, Inode>& names);
  std::string ContentAfterLoss(const File& file, const std::string& content,
                               bool all_lost, std::mt19937_64& random) const;

  std::map<Inode, File> files_;
  std::map<std::string, Inode> names_;  // As the process sees them.
  std::map<std::string, Inode> durable_names_;
  std::vector<NameChange> pending_names_;
};

}  // namespace vanillalatch::powerloss

#endif  // VANILLALATCH_SRC_POWERLOSS_FILE_HISTORY_H_
