// The interface to the files of a control VM. Written data may be lost in a
// crash until Sync() has returned.
//
//   disk.Append("log", record);
//   disk.Sync("log");
#ifndef VANILLALATCH_STORAGE_DISK_H_
#define VANILLALATCH_STORAGE_DISK_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "vanillalatch/base/result.h"

namespace vanillalatch {

// A flat set of named files. Every function throws Error(kStorage) if the
// operating system reports an error.
class Disk {
 public:
  virtual ~Disk() = default;
  // Returns the content of the file; nullopt if it does not exist.
  virtual std::optional<std::string> Read(std::string_view name) = 0;
  // Appends to the file, which is created if missing. Not durable until Sync().
  virtual void Append(std::string_view name, std::string_view bytes) = 0;
  // Makes everything appended to the file so far durable.
  virtual void Sync(std::string_view name) = 0;
  // Replaces the file atomically and syncs it: after a crash it has either the
  // old or the new content.
  virtual void Replace(std::string_view name, std::string_view bytes) = 0;
  // Removes the file if it exists.
  virtual void Remove(std::string_view name) = 0;
  // Makes durable which files there are, and which content a replaced file has.
  // Needed only for changes of an earlier process or after an error.
  virtual void SyncNames() = 0;
};

// Opens a folder as a disk; creates it if missing. Error: kStorage.
Result<std::unique_ptr<Disk>> OpenDisk(const std::string& folder);

}  // namespace vanillalatch

#endif  // VANILLALATCH_STORAGE_DISK_H_
