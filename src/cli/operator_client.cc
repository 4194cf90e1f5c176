#include "src/cli/operator_client.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

namespace vanillalatch {
namespace {

using Clock = std::chrono::system_clock;

// Timeout of one call to one VM. Bounds the delay that a failed leader causes.
constexpr Clock::duration kAttemptTimeout = std::chrono::seconds(2);
constexpr Clock::duration kRetryInterval = std::chrono::milliseconds(100);

const std::string& ErrorKindOf(const pb::ApplyReply& reply) {
  return reply.outcome().error_kind();
}

template <typename Reply>
const std::string& ErrorKindOf(const Reply& reply) {
  return reply.error_kind();
}

// Returns the reason that a control VM gives with its error kind, or nothing.
std::string ReasonText(const pb::ApplyReply& reply) {
  return ": " + reply.outcome().message();
}

template <typename Reply>
std::string ReasonText(const Reply& reply) {
  return "";
}

// True for errors after which the call is repeated. A change whose outcome is
// unknown is sent again with the same change id.
bool IsRetryable(std::string_view error_kind) {
  return error_kind == AnswerFor(ErrorKind::kNotLeader).name ||
         error_kind == AnswerFor(ErrorKind::kNoQuorum).name ||
         error_kind == AnswerFor(ErrorKind::kOutcomeUnknown).name ||
         error_kind == AnswerFor(ErrorKind::kStopping).name;
}

// True for errors that a retry, or a call to another control VM, would return
// again.
bool IsPermanent(grpc::StatusCode code) {
  return code == grpc::INVALID_ARGUMENT || code == grpc::UNIMPLEMENTED ||
         code == grpc::OUT_OF_RANGE || code == grpc::PERMISSION_DENIED;
}

std::shared_ptr<grpc::Channel> ChannelTo(const std::string& address) {
  return grpc::CreateChannel(address, grpc::InsecureChannelCredentials());
}

}  // namespace

Result<std::unique_ptr<OperatorClient>> OperatorClient::Create(
    const std::vector<SocketAddress>& addresses, Duration timeout) {
  if (addresses.empty()) {
    return Error(ErrorKind::kInvalidArgument,
                 "expected --control ADDRESS:PORT, or the environment variable "
                 "VANILLALATCH_CONTROL with addresses separated by commas");
  }
  std::vector<std::string> texts;
  texts.reserve(addresses.size());
  for (const SocketAddress& it : addresses) {
    texts.push_back(it.ToString());
  }
  return std::unique_ptr<OperatorClient>(
      new OperatorClient(std::move(texts), timeout));
}

OperatorClient::OperatorClient(std::vector<std::string> addresses,
                               Duration timeout)
    : addresses_(std::move(addresses)), timeout_(timeout) {}

std::string OperatorClient::CurrentAddress() const {
  return leader_.empty() ? addresses_[next_index_ % addresses_.size()]
                         : leader_;
}

void OperatorClient::MoveToNextAddress() {
  if (leader_.empty()) {
    ++next_index_;
  }
  leader_.clear();
}

template <typename Request, typename Reply>
Reply OperatorClient::Call(const Request& request,
                           Method<Request, Reply> method) {
  const Clock::time_point deadline =
      Clock::now() + std::chrono::duration_cast<Clock::duration>(timeout_);
  std::string last_error;
  while (Clock::now() < deadline) {
    const std::string target = CurrentAddress();
    const auto stub = pb::Control::NewStub(ChannelTo(target));
    grpc::ClientContext context;
    const Clock::time_point attempt_end = Clock::now() + kAttemptTimeout;
    context.set_deadline(std::min(deadline, attempt_end));
    Reply reply;
    const grpc::Status status = ((*stub).*method)(&context, request, &reply);
    if (status.ok() && !IsRetryable(ErrorKindOf(reply))) {
      return reply;
    }
    if (IsPermanent(status.error_code())) {
      throw Error(ErrorKind::kInvalidArgument, status.error_message());
    }
    // An attempt that the caller's own timeout cuts off says nothing new.
    const bool is_cut_off =
        status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED &&
        deadline < attempt_end;
    if (!is_cut_off || last_error.empty()) {
      last_error = target + ": " +
                   (status.ok() ? ErrorKindOf(reply) + ReasonText(reply)
                                : status.error_message());
    }
    const bool new_leader = status.ok() && !reply.leader_address().empty() &&
                            reply.leader_address() != target;
    if (new_leader && leader_ != reply.leader_address()) {
      leader_ = reply.leader_address();
      continue;
    }
    MoveToNextAddress();
    std::this_thread::sleep_for(kRetryInterval);
  }
  throw Error(
      ErrorKind::kNoQuorum,
      "no control VM answered for a majority within " +
          std::to_string(
              std::chrono::duration_cast<std::chrono::seconds>(timeout_)
                  .count()) +
          " s; last: " + (last_error.empty() ? "no answer" : last_error));
}

pb::ApplyReply OperatorClient::Apply(const pb::ApplyRequest& request) {
  return Call<pb::ApplyRequest, pb::ApplyReply>(request,
                                                &pb::Control::Stub::Apply);
}

pb::GetReply OperatorClient::Get() {
  return Call<pb::GetRequest, pb::GetReply>({}, &pb::Control::Stub::Get);
}

pb::HistoryReply OperatorClient::History(std::uint32_t limit) {
  pb::HistoryRequest request;
  request.set_limit(limit);
  return Call<pb::HistoryRequest, pb::HistoryReply>(
      request, &pb::Control::Stub::History);
}

pb::StatusReply OperatorClient::Status() {
  return Call<pb::StatusRequest, pb::StatusReply>({},
                                                  &pb::Control::Stub::Status);
}

pb::ExplainReply OperatorClient::Explain(const std::string& admin_address,
                                         const std::string& request_id) {
  const auto stub = pb::Admin::NewStub(ChannelTo(admin_address));
  grpc::ClientContext context;
  context.set_deadline(Clock::now() + kAttemptTimeout);
  pb::ExplainRequest request;
  request.set_request_id(request_id);
  pb::ExplainReply reply;
  const grpc::Status status = stub->Explain(&context, request, &reply);
  if (!status.ok()) {
    throw Error(ErrorKind::kDeadlineExceeded,
                admin_address + ": " + status.error_message());
  }
  return reply;
}

}  // namespace vanillalatch
