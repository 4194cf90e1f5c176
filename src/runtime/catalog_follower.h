// Receives newer catalogs for an entry VM. One Sync call to one control VM is
// open at a time; the control VM answers it when it has a newer catalog, or
// after one second. If the call fails, or the control VM is not in contact with
// a majority of its group, the follower calls the next control VM. While it is
// connected, it has no connection to another one. It waits longer after each
// failure, so that a fleet which starts at once does not overload the control
// VMs.
//
//   CatalogFollower follower(addresses);
//   follower.Run(make_request, handle_reply);   // In a fiber, until Stop().
#ifndef VANILLALATCH_SRC_RUNTIME_CATALOG_FOLLOWER_H_
#define VANILLALATCH_SRC_RUNTIME_CATALOG_FOLLOWER_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "vanillalatch/base/address.h"
#include "vanillalatch/base/time.h"
#include "vanillalatch/catalog/catalog_feed.h"
#include "vanillalatch/rpc/control_client.h"

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

  // `addresses`: gRPC addresses of the control VMs to contact first. The
  // addresses of the others are received from them.
  explicit CatalogFollower(const std::vector<SocketAddress>& addresses);

  // Calls control VMs in a loop. Suspends the calling fiber during each call
  // and returns after Stop().
  void Run(const MakeRequest& make_request, const HandleNews& handle_news);
  void Stop() { stopped_ = true; }

  // When a control VM that is in contact with a majority last answered. Before
  // the first such answer: when the follower was created.
  TimePoint last_quorum_contact() const { return last_quorum_contact_; }
  // gRPC address of the control VM that this VM follows; empty if none that is
  // in contact with a majority has answered the last call.
  std::string followed() const {
    return connected_.value_or(false)
               ? addresses_[current_index_ % addresses_.size()]
               : std::string();
  }

 private:
  // Performs one call. Returns false if the next call must go to another
  // control VM.
  bool SyncOnce(const MakeRequest& make_request, const HandleNews& handle_news);
  // Returns what the reply contains. A damaged part is logged and left out.
  CatalogNews Read(const pb::SyncReply& reply);
  // Replaces the addresses of the control VMs by those in the reply.
  void UpdateAddresses(const pb::SyncReply& reply);

  std::vector<std::string> seeds_;  // The addresses from the settings.
  std::vector<std::string> addresses_;
  // Position in addresses_, modulo its size; starts at random so that the entry
  // VMs are distributed over the control VMs.
  std::size_t current_index_;
  ControlClient client_;
  CatalogReceiver receiver_;
  int failures_ = 0;  // Since the last successful call.
  TimePoint last_quorum_contact_;
  // Whether the last call reached a control VM that is in contact with a
  // majority; not set until one did or every address has failed.
  std::optional<bool> connected_;
  std::size_t calls_ = 0;  // Since the start.
  bool stopped_ = false;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_RUNTIME_CATALOG_FOLLOWER_H_
