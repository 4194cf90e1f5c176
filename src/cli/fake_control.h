// Test support: a control VM with replies set by the test, and functions that
// run the command line against it.
//
//   FakeControl control;
//   const CommandResult result = RunCtlAgainst(control, {"status"});
#ifndef VANILLALATCH_SRC_CLI_FAKE_CONTROL_H_
#define VANILLALATCH_SRC_CLI_FAKE_CONTROL_H_

#include <grpcpp/grpcpp.h>

#include <functional>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "control.grpc.pb.h"
#include "src/cli/command_line.h"
#include "vanillalatch/catalog/state_machine.h"

namespace vanillalatch {

inline constexpr const char* kCatalogPath = "examples/sheets/catalog.json";

// A gRPC server of the services of control VMs and entry VMs, on a free port of
// the loopback address.
class FakeControl : public pb::Control::Service, public pb::Admin::Service {
 public:
  FakeControl() {
    grpc::ServerBuilder builder;
    builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(),
                             &port_);
    builder.RegisterService(static_cast<pb::Control::Service*>(this));
    builder.RegisterService(static_cast<pb::Admin::Service*>(this));
    server_ = builder.BuildAndStart();
  }
  ~FakeControl() override { server_->Shutdown(); }

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

  // Handles Apply(); must be set before a test calls it.
  std::function<grpc::Status(const pb::Change&, pb::ApplyReply&)> apply;
  // The replies of the other operations.
  pb::GetReply get;
  pb::StatusReply status;
  pb::HistoryReply history;
  pb::ExplainReply hops;

 private:
  grpc::Status Apply(grpc::ServerContext* context,
                     const pb::ApplyRequest* request,
                     pb::ApplyReply* reply) override {
    return apply(request->change(), *reply);
  }
  grpc::Status Get(grpc::ServerContext* context, const pb::GetRequest* request,
                   pb::GetReply* reply) override {
    *reply = get;
    return grpc::Status::OK;
  }
  grpc::Status Status(grpc::ServerContext* context,
                      const pb::StatusRequest* request,
                      pb::StatusReply* reply) override {
    *reply = status;
    return grpc::Status::OK;
  }
  grpc::Status History(grpc::ServerContext* context,
                       const pb::HistoryRequest* request,
                       pb::HistoryReply* reply) override {
    *reply = history;
    return grpc::Status::OK;
  }
  grpc::Status Explain(grpc::ServerContext* context,
                       const pb::ExplainRequest* request,
                       pb::ExplainReply* reply) override {
    *reply = hops;
    return grpc::Status::OK;
  }

  int port_ = 0;
  std::unique_ptr<grpc::Server> server_;
};

// The exit code of a command and what it printed.
struct CommandResult {
  int exit_code;
  std::string out;
  std::string err;
};

// Runs a command line; the command serve does nothing.
inline CommandResult Run(const std::vector<std::string>& arguments) {
  std::ostringstream out;
  std::ostringstream err;
  const auto serve = [](const Settings&, const std::string&) { return 0; };
  const int exit_code = RunCommandLine(arguments, serve, Console{out, err});
  return {exit_code, out.str(), err.str()};
}

// Runs `ctl` with the address of `control`.
inline CommandResult RunCtlAgainst(const FakeControl& control,
                                   std::vector<std::string> arguments) {
  arguments.insert(arguments.begin(), {"ctl", "--control", control.address()});
  return Run(arguments);
}

// Makes `control` apply changes to `state`, as a control VM does.
inline void ApplyChangesTo(CatalogState& state, FakeControl& control) {
  control.apply = [&](const pb::Change& change, pb::ApplyReply& reply) {
    *reply.mutable_outcome() = state.Apply(change);
    *reply.mutable_catalog() = state.catalog();
    *control.get.mutable_catalog() = state.catalog();
    return grpc::Status::OK;
  };
}

// Returns the status of a serving entry VM with `revision` in force.
inline pb::EntryStatus MakeEntryStatus(const std::string& vm,
                                       const std::string& data_center,
                                       std::uint64_t revision) {
  pb::EntryStatus entry;
  entry.mutable_last_sync()->set_vm(vm);
  entry.mutable_last_sync()->set_data_center(data_center);
  entry.mutable_last_sync()->set_revision(revision);
  entry.mutable_last_sync()->set_state("serving");
  entry.set_age_ms(120);
  return entry;
}

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_CLI_FAKE_CONTROL_H_
