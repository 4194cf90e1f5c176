// The files of a control VM, as the decisions see them. What was written is
// lost in a crash unless Sync() returned before.
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

// Every function throws Error(kStorage) when the disk refuses.
class Disk {
 public:
  virtual ~Disk() = default;
  // The whole file; nullopt if it does not exist.
  virtual std::optional<std::string> Read(std::string_view name) = 0;
  virtual void Append(std::string_view name, std::string_view bytes) = 0;
  virtual void Sync(std::string_view name) = 0;
  // Replaces the file as one step and syncs it: after a crash either the old
  // or the new content is there.
  virtual void Replace(std::string_view name, std::string_view bytes) = 0;
  virtual void Remove(std::string_view name) = 0;
};

// Files in one folder, which is created if missing. Error: kStorage.
Result<std::unique_ptr<Disk>> OpenDisk(const std::string& folder);

}  // namespace vanillalatch

#endif  // VANILLALATCH_STORAGE_DISK_H_
