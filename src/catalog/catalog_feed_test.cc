// Tests the distribution of the catalog as differences: a fixed table, random
// histories of changes, losses and restarts, and random input.
#include "vanillalatch/catalog/catalog_feed.h"

#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <vector>

#include "vanillalatch/catalog/packed.h"

namespace vanillalatch {
namespace {

constexpr int kSeeds = 10000;
constexpr int kRandomInputs = 100000;

pb::FlowRoute Route(std::uint32_t n, std::uint32_t timeout_ms) {
  pb::FlowRoute route;
  route.set_name("route-" + std::to_string(n));
  route.set_ip(0xc6120000 + n);
  route.set_port(443);
  route.set_timeout_ms(timeout_ms);
  route.add_shares()->set_service("records");
  return route;
}

pb::Catalog CatalogWithRoutes(std::uint64_t revision, std::uint32_t routes) {
  pb::Catalog catalog;
  catalog.set_revision(revision);
  catalog.mutable_flows()->set_version(revision);
  catalog.mutable_flows()->set_document("the operator's text");
  for (std::uint32_t n = 0; n < routes; ++n) {
    *catalog.mutable_flows()->add_routes() = Route(n, 500);
  }
  return catalog;
}

PackedList DeltasFrom(CatalogFeed& feed, std::uint64_t held) {
  PackedList deltas;
  feed.AddDeltas(held, deltas);
  return deltas;
}

std::size_t Bytes(const PackedList& deltas) {
  std::size_t bytes = 0;
  for (const pb::Packed& it : deltas) {
    bytes += it.data().size();
  }
  return bytes;
}

// What a receiver must hold, whatever way led there.
std::string Expected(const pb::Catalog& catalog) {
  return CatalogImage::Encode(catalog).Decode()->SerializeAsString();
}

TEST_CASE("a VM gets the differences from its revision, or the whole catalog",
          "[catalog][feed]") {
  struct Row {
    std::uint64_t held;
    int deltas;
    std::uint64_t first_from;
  };
  const Row row = GENERATE(Row{5, 0, 0}, Row{4, 1, 4}, Row{2, 3, 2},
                           Row{1, 1, 0}, Row{0, 1, 0}, Row{9, 0, 0});
  CatalogFeed feed;
  for (std::uint64_t revision = 2; revision <= 5; ++revision) {
    feed.Update(CatalogWithRoutes(revision, 20 + revision));
  }
  const PackedList deltas = DeltasFrom(feed, row.held);
  CAPTURE(row.held);
  REQUIRE(deltas.size() == row.deltas);
  if (row.deltas > 0) {
    pb::CatalogDelta first;
    REQUIRE(UnpackMessage(deltas[0], first).ok());
    CHECK(first.from_revision() == row.first_from);
  }
}

TEST_CASE("the document stays on the control VM, and a change costs little",
          "[catalog][feed]") {
  CatalogFeed feed;
  feed.Update(CatalogWithRoutes(1, 1900));
  CatalogReceiver receiver;
  const PackedList whole = DeltasFrom(feed, 0);
  REQUIRE(receiver.Receive(whole).value());
  CHECK(receiver.catalog().flows().document().empty());
  CHECK(receiver.catalog().flows().routes_size() == 1900);
  pb::Catalog next = CatalogWithRoutes(2, 1900);
  next.mutable_flows()->mutable_routes(7)->set_timeout_ms(900);
  feed.Update(next);
  const PackedList change = DeltasFrom(feed, 1);
  REQUIRE(receiver.Receive(change).value());
  CHECK(receiver.catalog().SerializeAsString() == Expected(next));
  CHECK(Bytes(change) * 20 < Bytes(whole));
}

TEST_CASE("many small differences give way to the whole catalog",
          "[catalog][feed]") {
  CatalogFeed feed;
  for (std::uint64_t revision = 1; revision <= 400; ++revision) {
    pb::Catalog catalog = CatalogWithRoutes(revision, 1900);
    for (pb::FlowRoute& it : *catalog.mutable_flows()->mutable_routes()) {
      it.set_timeout_ms(static_cast<std::uint32_t>(revision));
    }
    feed.Update(catalog);
  }
  CHECK(DeltasFrom(feed, 300).size() == 1);
  CHECK(DeltasFrom(feed, 399).size() == 1);
}

TEST_CASE("what arrives late, doubled or damaged changes nothing",
          "[catalog][feed]") {
  CatalogFeed feed;
  feed.Update(CatalogWithRoutes(1, 5));
  const PackedList first = DeltasFrom(feed, 0);
  feed.Update(CatalogWithRoutes(2, 6));
  const PackedList second = DeltasFrom(feed, 1);
  feed.Update(CatalogWithRoutes(3, 7));
  const PackedList third = DeltasFrom(feed, 2);
  CatalogReceiver receiver;
  REQUIRE(receiver.Receive(first).value());
  REQUIRE(receiver.Receive(second).value());
  const std::string held = receiver.catalog().SerializeAsString();
  PackedList chain;
  SECTION("an older whole catalog") { chain = first; }
  SECTION("the same difference again") { chain = second; }
  SECTION("a cut difference") {
    chain = third;
    chain[0].mutable_data()->resize(chain[0].data().size() / 2);
  }
  SECTION("a wrong size") {
    chain = third;
    chain[0].set_size(chain[0].size() + 1);
  }
  SECTION("a size above the limit") {
    chain = third;
    chain[0].set_size(0xffffffff);
  }
  SECTION("a size that the data can't hold") {
    chain = third;
    chain[0].set_size(1 << 20);
  }
  SECTION("a wrong digest") {
    pb::CatalogDelta delta;
    REQUIRE(UnpackMessage(third[0], delta).ok());
    delta.set_digest(delta.digest() + 1);
    *chain.Add() = PackMessage(delta);
  }
  SECTION("an entry that can't be parsed") {
    pb::CatalogDelta delta;
    delta.set_from_revision(0);
    delta.set_revision(9);
    CatalogImage image = CatalogImage::Encode(CatalogWithRoutes(9, 1));
    delta = CatalogImage::Difference(CatalogImage(), image);
    delta.mutable_changed(0)->set_value("\xff\xff\xff");
    *chain.Add() = PackMessage(delta);
  }
  const Result<bool> newer = receiver.Receive(chain);
  CHECK((!newer.ok() || !*newer));
  CHECK(receiver.catalog().SerializeAsString() == held);
  // The way back is the whole catalog.
  REQUIRE(receiver.Receive(DeltasFrom(feed, receiver.revision())).value());
  CHECK(receiver.catalog().revision() == 3);
}

// Random histories: several feeds, as on several control VMs, that skip
// revisions and restart; a receiver that asks any of them, loses replies, gets
// them twice or late, and restarts.
class RandomHistory {
 public:
  explicit RandomHistory(std::uint64_t seed) : random_(seed), feeds_(3) {
    catalogs_.push_back(pb::Catalog());
  }

  void Run() {
    for (int n = 0; n < 20; ++n) {
      Change();
      Ask();
    }
    feeds_[0].Update(catalogs_.back());
    const std::uint64_t before = receiver_.catalog().revision();
    receiver_.Receive(DeltasFrom(feeds_[0], receiver_.revision())).value();
    CHECK(receiver_.catalog().revision() >= before);
    CHECK(receiver_.catalog().SerializeAsString() ==
          Expected(catalogs_.back()));
  }

 private:
  std::uint64_t Below(std::uint64_t limit) { return random_() % limit; }

  void Change() {
    pb::Catalog next = catalogs_.back();
    next.set_revision(next.revision() + 1);
    auto& routes = *next.mutable_flows()->mutable_routes();
    for (std::uint64_t n = Below(4); n > 0; --n) {
      *routes.Add() = Route(static_cast<std::uint32_t>(Below(30)),
                            static_cast<std::uint32_t>(Below(9)));
    }
    while (routes.size() > 0 && Below(3) == 0) {
      routes.DeleteSubrange(
          static_cast<int>(Below(static_cast<std::uint64_t>(routes.size()))),
          1);
    }
    if (Below(4) == 0) {
      pb::Service& service = *next.add_services();
      service.set_id(static_cast<std::uint32_t>(next.services_size()));
      service.set_name("service-" + std::to_string(Below(5)));
    }
    if (Below(8) == 0) {
      next.clear_services();
    }
    catalogs_.push_back(next);
  }

  void Ask() {
    CatalogFeed& feed = feeds_[Below(feeds_.size())];
    if (Below(10) == 0) {
      feed = CatalogFeed();
    }
    feed.Update(catalogs_[catalogs_.size() - 1 - Below(2)]);
    if (Below(12) == 0) {
      receiver_ = CatalogReceiver();
    }
    if (feed.revision() == 0) {
      return;
    }
    const PackedList deltas = DeltasFrom(feed, receiver_.revision());
    old_replies_.push_back(deltas);
    const std::uint64_t before = receiver_.catalog().revision();
    if (Below(4) != 0) {
      CHECK(receiver_.Receive(deltas).ok());
    }
    if (Below(4) == 0) {
      (void)receiver_.Receive(old_replies_[Below(old_replies_.size())]);
    }
    CHECK(receiver_.catalog().revision() >= before);
    const std::uint64_t revision = receiver_.catalog().revision();
    if (revision > 0) {
      CHECK(receiver_.catalog().SerializeAsString() ==
            Expected(catalogs_[revision]));
    }
  }

  std::mt19937_64 random_;
  std::vector<pb::Catalog> catalogs_;  // By revision.
  std::vector<CatalogFeed> feeds_;
  CatalogReceiver receiver_;
  std::vector<PackedList> old_replies_;
};

TEST_CASE("differences equal the whole catalog in random histories",
          "[catalog][feed][random]") {
  for (int seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    RandomHistory(static_cast<std::uint64_t>(seed)).Run();
  }
}

// A changed bit of the compression header may leave the content as it was; any
// other input is refused.
TEST_CASE("random input changes nothing unless its content is the true one",
          "[catalog][feed][random]") {
  CatalogFeed feed;
  feed.Update(CatalogWithRoutes(1, 3));
  CatalogReceiver receiver;
  REQUIRE(receiver.Receive(DeltasFrom(feed, 0)).value());
  const std::string held = receiver.catalog().SerializeAsString();
  feed.Update(CatalogWithRoutes(2, 4));
  const PackedList valid = DeltasFrom(feed, 1);
  std::mt19937_64 random(1);
  const std::string next = Expected(CatalogWithRoutes(2, 4));
  for (int n = 0; n < kRandomInputs; ++n) {
    CatalogReceiver each = receiver;
    PackedList deltas = valid;
    std::string& data = *deltas[0].mutable_data();
    if (n % 2 == 0) {
      data[random() % data.size()] ^= static_cast<char>(1 + random() % 255);
    } else {
      for (char& it : data) {
        it = static_cast<char>(random());
      }
    }
    const Result<bool> newer = each.Receive(deltas);
    const std::string result = each.catalog().SerializeAsString();
    if (result != (newer.ok() ? next : held)) {
      FAIL("input " << n << " led to another catalog");
    }
  }
}

}  // namespace
}  // namespace vanillalatch
