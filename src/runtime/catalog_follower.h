// Receives newer catalogs for an entry VM: makes the Sync calls of a SyncPlan
// over gRPC and reads the replies. The connections of calls that have ended are
// closed, unless the next call is made to the same control VM.
//
//   CatalogFollower follower(vm, addresses);
//   follower.Run(make_request, handle_news);   // In a fiber, until Stop().
#ifndef VANILLALATCH_SRC_RUNTIME_CATALOG_FOLLOWER_H_
#define VANILLALATCH_SRC_RUNTIME_CATALOG_FOLLOWER_H_

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "vanillalatch/base/address.h"
#include "vanillalatch/base/time.h"
#include "vanillalatch/catalog/catalog_feed.h"
#include "vanillalatch/control/sync_plan.h"
#include "vanillalatch/rpc/control_client.h"
#include "vanillalatch/runtime/wakeup.h"

namespace vanillalatch {

// What a reply of a control VM contained.
struct CatalogNews {
  std::string control;                   // gRPC address of the control VM.
  bool from_quorum = false;              // It is in contact with a majority.
  const pb::Catalog* catalog = nullptr;  // nullptr: none that is newer.
  std::vector<pb::LeaseUpdate> endpoints;
  bool endpoints_whole = false;  // The list of endpoints is complete.
};

class CatalogFollower {
 public:
  // Returns the next request: it reports to the control VMs the revision that
  // this VM has in force, and its state.
  using MakeRequest = std::function<pb::SyncRequest()>;
  // Receives a newer catalog or endpoints.
  using HandleNews = std::function<void(const CatalogNews&)>;

  // `vm`: name of this VM. `addresses`: gRPC addresses of the control VMs to
  // contact first. The addresses of the others are received from them.
  CatalogFollower(const std::string& vm,
                  const std::vector<SocketAddress>& addresses);

  // Makes calls until Stop(), and returns once they have ended. Suspends the
  // calling fiber. The functions are called by other fibers of this thread.
  void Run(const MakeRequest& make_request, const HandleNews& handle_news);
  void Stop() {
    stopped_ = true;
    wakeup_.Interrupt();
  }

  // Sets the gRPC addresses of the control VMs that are members of the fleet.
  void SetMembers(std::vector<std::string> addresses) {
    plan_.SetMembers(std::move(addresses));
  }
  // Sets the revision in force and the highest one above it that a peer states;
  // 0: none does.
  void SetRevisions(std::uint64_t in_force, std::uint64_t newer);

  // See SyncPlan.
  TimePoint last_quorum_contact() const { return plan_.last_quorum_contact(); }
  std::string followed() const { return plan_.followed(); }

 private:
  // Performs one call.
  void Call(const SyncStart& start, pb::SyncRequest request,
            const HandleNews& handle_news);
  // Returns what the reply contains. A damaged part is logged and left out.
  CatalogNews Read(const pb::SyncReply& reply);

  SyncPlan plan_;
  ControlClient client_;
  CatalogReceiver receiver_;
  Wakeup wakeup_;
  std::size_t open_calls_ = 0;
  bool stopped_ = false;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_RUNTIME_CATALOG_FOLLOWER_H_
