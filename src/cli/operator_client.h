// Client of the operators' API of control VMs. Calls the leader among them and
// retries a call that failed or was not answered. A change that is sent again
// keeps its change id, so it is applied once.
//
//   auto client = OperatorClient::Create(addresses, timeout).value();
//   pb::Catalog catalog = client->Get().catalog();
#ifndef VANILLALATCH_SRC_CLI_OPERATOR_CLIENT_H_
#define VANILLALATCH_SRC_CLI_OPERATOR_CLIENT_H_

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "control.grpc.pb.h"
#include "vanillalatch/base/address.h"
#include "vanillalatch/base/result.h"
#include "vanillalatch/base/time.h"

namespace vanillalatch {

// Not thread-safe.
class OperatorClient {
 public:
  // `addresses` are those of one or more control VMs; `timeout` bounds each
  // call with all its retries. Error: kInvalidArgument without addresses.
  static Result<std::unique_ptr<OperatorClient>> Create(
      const std::vector<SocketAddress>& addresses, Duration timeout);

  // These call the operation of the same name. They throw Error: kNoQuorum if
  // no control VM could answer for a majority in time, kInvalidArgument if the
  // call itself is invalid. Other errors of an operation are in its reply.
  pb::ApplyReply Apply(const pb::ApplyRequest& request);
  pb::GetReply Get();
  pb::HistoryReply History(std::uint32_t limit);
  pb::StatusReply Status();

  // Returns the hops of a request that one entry VM has recorded. Throws Error
  // with kDeadlineExceeded if the call fails.
  pb::ExplainReply Explain(const std::string& admin_address,
                           const std::string& request_id);

 private:
  template <typename Request, typename Reply>
  using Method = grpc::Status (pb::Control::Stub::*)(grpc::ClientContext*,
                                                     const Request&, Reply*);

  OperatorClient(std::vector<std::string> addresses, Duration timeout);

  // Calls control VMs until one answers for a majority or the timeout is over.
  template <typename Request, typename Reply>
  Reply Call(const Request& request, Method<Request, Reply> method);
  // Returns the address to call: that of the leader if a reply named one.
  std::string CurrentAddress() const;
  // Makes the next call go to a control VM of the list: the next one if the
  // last call went to the list, the same one if it went to the leader.
  void MoveToNextAddress();

  std::vector<std::string> addresses_;
  Duration timeout_;
  std::size_t next_index_ = 0;
  std::string leader_;  // Address; empty: unknown.
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_CLI_OPERATOR_CLIENT_H_
