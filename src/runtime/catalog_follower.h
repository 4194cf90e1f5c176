// Keeps an entry VM's catalog up to date: one open call to one control VM,
// then to the next when that one fails or seems cut off.
//
//   CatalogFollower follower(addresses);
//   follower.Run(report, take);   // In a fiber, until Stop().
#ifndef VANILLALATCH_SRC_RUNTIME_CATALOG_FOLLOWER_H_
#define VANILLALATCH_SRC_RUNTIME_CATALOG_FOLLOWER_H_

#include <functional>
#include <string>
#include <vector>

#include "vanillalatch/base/address.h"
#include "vanillalatch/base/time.h"
#include "vanillalatch/rpc/control_client.h"

namespace vanillalatch {

class CatalogFollower {
 public:
  // What this VM has in force, as the control VMs are told.
  using Report = std::function<pb::SyncRequest()>;
  // What is newer than the report said.
  using Take = std::function<void(const pb::SyncReply&)>;

  // gRPC addresses of control VMs to begin with; others are learned.
  explicit CatalogFollower(const std::vector<SocketAddress>& addresses);

  // Suspends the calling fiber between calls; returns after Stop().
  void Run(const Report& report, const Take& take);
  void Stop() { stopped_ = true; }

  // When a control VM in touch with a majority answered last.
  TimePoint last_quorum() const { return last_quorum_; }

 private:
  // False if another control VM is to be asked.
  bool SyncOnce(const Report& report, const Take& take);
  void Learn(const pb::SyncReply& reply);

  std::vector<std::string> seeds_;
  std::vector<std::string> addresses_;
  std::size_t at_;
  ControlClient client_;
  TimePoint last_quorum_;
  bool connected_ = false;
  bool stopped_ = false;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_RUNTIME_CATALOG_FOLLOWER_H_
