// Tests which of several registrations at one address are used, when some are
// of services that nothing has named so far.
#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "vanillalatch/registry/registry.h"

namespace vanillalatch {
namespace {

using std::chrono::seconds;

const TimePoint kStart{seconds(100)};
constexpr SocketAddress kAddress{0x0A000001U, 80};
// After three lifetimes without a report.
constexpr Duration kUntilLapsed = seconds(31);
constexpr ServiceId kRecords{1};
constexpr ServiceId kPlans{2};

enum class Action : std::uint8_t { kUnnamed, kNamed, kLeave, kWait };

// One step of a row; steps are one second apart.
struct Step {
  Action action;     // Registers at the address, unless it is another one.
  const char* name;  // kLeave: ends this endpoint. kWait: unused.
  ServiceId service;
  std::uint64_t epoch;
};

struct Row {
  const char* what;
  std::vector<Step> steps;
  std::vector<std::string> records;  // The endpoints listed at the end.
  std::vector<std::string> plans;
  std::string holder;  // Of the address; empty: none.
};

std::vector<std::string> NamesOf(const Registry& registry, ServiceId service) {
  std::vector<std::string> names;
  for (const Endpoint& it : registry.EndpointsOf(service)) {
    names.push_back(it.name +
                    (it.state == EndpointState::kLeaving ? " leaving" : ""));
  }
  std::sort(names.begin(), names.end());
  return names;
}

// Advances `now` if the step waits. A report may be refused.
void Play(TimePoint& now, const Step& step, Registry& vm) {
  if (step.action == Action::kWait) {
    now += kUntilLapsed;
  }
  vm.OnTick(now);
  if (step.action == Action::kLeave) {
    REQUIRE(vm.FindByName(step.name) != nullptr);
    vm.BeginLeave(now, vm.FindByName(step.name)->id).value();
  } else if (step.action != Action::kWait) {
    Registration it;
    it.name = step.name;
    it.service = step.service;
    it.address = kAddress;
    it.epoch = step.epoch;
    it.claims_address = step.action == Action::kNamed;
    static_cast<void>(vm.Register(now, it));
  }
}

void Exchange(TimePoint now, Registry& from, Registry& to) {
  for (const pb::LeaseUpdate& it : from.LeasesAndTombstones(now)) {
    to.MergeLease(now, it, true);
  }
}

// Guards against a report for a service that nothing names, which takes a
// living endpoint out of use, and against an endpoint that stays unknown once
// its service is named. Reports reach two VMs in turn.
TEST_CASE("a registration of an unnamed service displaces no other one") {
  using enum Action;
  const Row row = GENERATE(values<Row>({
      {"the id and address of a living endpoint",
       {{kNamed, "a", kRecords, 5},
        {kUnnamed, "a", kPlans, 5},
        {kNamed, "a", kRecords, 5}},
       {"a"},
       {"a"},
       "a"},
      {"the same with a later start",
       {{kNamed, "a", kRecords, 5},
        {kUnnamed, "a", kPlans, 9},
        {kNamed, "a", kRecords, 5}},
       {"a"},
       {"a"},
       "a"},
      {"before anything is named",
       {{kUnnamed, "a", kRecords, 5},
        {kUnnamed, "a", kPlans, 9},
        {kNamed, "a", kRecords, 5}},
       {"a"},
       {"a"},
       "a"},
      {"while the endpoint's lease has lapsed",
       {{kNamed, "a", kRecords, 5},
        {kWait, "", kRecords, 0},
        {kUnnamed, "a", kPlans, 9},
        {kNamed, "a", kRecords, 5}},
       {"a"},
       {"a"},
       "a"},
      {"an endpoint whose service is named later is known from its first "
       "report",
       {{kUnnamed, "b", kPlans, 5}},
       {},
       {"b"},
       ""},
      {"and holds its address from the first report after that",
       {{kUnnamed, "b", kPlans, 5}, {kNamed, "b", kPlans, 5}},
       {},
       {"b"},
       "b"},
      {"the address of an endpoint that crashed is used again",
       {{kNamed, "a", kRecords, 5}, {kNamed, "b", kPlans, 9}},
       {},
       {"b"},
       "b"},
      {"the same, by a service that is named later",
       {{kNamed, "a", kRecords, 5},
        {kUnnamed, "b", kPlans, 9},
        {kNamed, "b", kPlans, 9}},
       {},
       {"b"},
       "b"},
      {"the same, before anything is named",
       {{kUnnamed, "a", kRecords, 5},
        {kUnnamed, "b", kPlans, 9},
        {kNamed, "b", kPlans, 9}},
       {},
       {"b"},
       "b"},
      {"the same, where no start times are stated",
       {{kUnnamed, "a", kRecords, 0},
        {kNamed, "a", kRecords, 0},
        {kUnnamed, "b", kPlans, 0},
        {kNamed, "b", kPlans, 0}},
       {},
       {"b"},
       "b"},
      {"a late report of the endpoint that crashed",
       {{kNamed, "a", kRecords, 5},
        {kUnnamed, "b", kPlans, 9},
        {kNamed, "b", kPlans, 9},
        {kNamed, "a", kRecords, 5}},
       {},
       {"b"},
       "b"},
      {"the end of an endpoint whose id another service has too",
       {{kNamed, "a", kRecords, 5},
        {kUnnamed, "a", kPlans, 9},
        {kLeave, "a", kRecords, 0}},
       {"a leaving"},
       {"a"},
       "a"},
  }));
  CAPTURE(row.what);
  RegistryOptions options;
  options.epochs_are_start_times = true;
  options.contact_timeout = std::chrono::hours(24);  // As in a fleet.
  const std::vector<std::unique_ptr<Registry>> vms = [&] {
    std::vector<std::unique_ptr<Registry>> all;
    all.push_back(Registry::Create(options).value());
    all.push_back(Registry::Create(options).value());
    return all;
  }();
  TimePoint now = kStart;
  for (std::size_t n = 0; n < row.steps.size(); ++n) {
    Registry& vm = *vms[n % vms.size()];
    Registry& other = *vms[(n + 1) % vms.size()];
    Play(now, row.steps[n], vm);
    other.OnTick(now);
    Exchange(now, vm, other);
    Exchange(now, other, vm);
    now += seconds(1);
  }
  for (const auto& vm : vms) {
    CHECK(NamesOf(*vm, kRecords) == row.records);
    CHECK(NamesOf(*vm, kPlans) == row.plans);
    const Endpoint* holder = vm->FindByAddress(kAddress);
    CHECK((holder == nullptr ? "" : holder->name) == row.holder);
  }
}

}  // namespace
}  // namespace vanillalatch
