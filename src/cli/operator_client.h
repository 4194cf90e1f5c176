// Asks control VMs on behalf of an operator: finds the leader, and asks again
// when an answer was lost. A resent change keeps its change id, so it is
// applied once.
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

class OperatorClient {
 public:
  // `timeout` bounds each call with all its repetitions. Error:
  // kInvalidArgument without addresses.
  static Result<std::unique_ptr<OperatorClient>> Create(
      const std::vector<SocketAddress>& addresses, Duration timeout);

  // Each throws Error: kNoQuorum if no control VM of a majority answered in
  // time, else the kind that the control VM gave.
  pb::ApplyReply Apply(const pb::ApplyRequest& request);
  pb::GetReply Get();
  pb::HistoryReply History(std::uint32_t limit);
  pb::StatusReply Status();

  // Asks one entry VM for the hops of a request. Throws Error with
  // kDeadlineExceeded if it does not answer.
  pb::ExplainReply Explain(const std::string& admin_address,
                           const std::string& request_id);

 private:
  template <typename Request, typename Reply>
  using Method = grpc::Status (pb::Control::Stub::*)(grpc::ClientContext*,
                                                     const Request&, Reply*);

  OperatorClient(std::vector<std::string> addresses, Duration timeout);

  // Calls until a control VM answers for the majority.
  template <typename Request, typename Reply>
  Reply Call(const Request& request, Method<Request, Reply> method);
  // The control VM to ask now: the leader if one was named.
  std::string Target() const;
  // The next control VM of the list is asked from now on.
  void TryNext();

  std::vector<std::string> addresses_;
  Duration timeout_;
  std::size_t next_ = 0;
  std::string leader_;  // Empty: not known.
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_CLI_OPERATOR_CLIENT_H_
