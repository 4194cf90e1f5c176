// Compares the messages of this build with those of every earlier level, which
// scripts/golden_messages has written. The files contain no comments and no
// values, only names, numbers and types.
#include <google/protobuf/descriptor.pb.h>

#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <map>
#include <set>
#include <string>

#include "catalog.pb.h"
#include "consensus.pb.h"
#include "control.pb.h"
#include "flow.pb.h"
#include "membership.pb.h"
#include "peer.pb.h"
#include "request.pb.h"
#include "vanillalatch/feature/feature_level.h"

namespace vanillalatch {
namespace {

using google::protobuf::DescriptorProto;
using google::protobuf::EnumDescriptorProto;
using google::protobuf::FieldDescriptorProto;
using google::protobuf::FileDescriptorProto;
using google::protobuf::FileDescriptorSet;

// What receivers depend on, by "Message.number" or "Enum.number".
struct Schema {
  std::map<std::string, std::string> fields;
  std::set<std::string> reserved;  // "Message.number".
};

void AddEnum(const EnumDescriptorProto& type, Schema& schema) {
  for (const auto& it : type.value()) {
    schema.fields[type.name() + "." + std::to_string(it.number())] = it.name();
  }
}

void AddMessage(const DescriptorProto& message, Schema& schema) {
  for (const FieldDescriptorProto& it : message.field()) {
    schema.fields[message.name() + "." + std::to_string(it.number())] =
        it.name() + " " + FieldDescriptorProto::Type_Name(it.type()) + " " +
        FieldDescriptorProto::Label_Name(it.label()) + " " + it.type_name();
  }
  for (const auto& it : message.reserved_range()) {
    for (int n = it.start(); n < it.end(); ++n) {
      schema.reserved.insert(message.name() + "." + std::to_string(n));
    }
  }
  for (const DescriptorProto& it : message.nested_type()) {
    AddMessage(it, schema);
  }
  for (const EnumDescriptorProto& it : message.enum_type()) {
    AddEnum(it, schema);
  }
}

void AddFile(const FileDescriptorProto& file, Schema& schema) {
  for (const DescriptorProto& it : file.message_type()) {
    AddMessage(it, schema);
  }
  for (const EnumDescriptorProto& it : file.enum_type()) {
    AddEnum(it, schema);
  }
}

Schema SchemaOfLevel(FeatureLevel level) {
  const std::string path =
      "golden/messages/level-" + std::to_string(level.value()) + ".binpb";
  CAPTURE(path);
  std::ifstream file(path, std::ios::binary);
  FileDescriptorSet files;
  REQUIRE(files.ParseFromIstream(&file));
  REQUIRE(files.file_size() > 0);
  Schema schema;
  for (const FileDescriptorProto& it : files.file()) {
    AddFile(it, schema);
  }
  return schema;
}

Schema PresentSchema() {
  Schema schema;
  for (const auto* it :
       {pb::Catalog::descriptor(), pb::LogEntry::descriptor(),
        pb::ApplyRequest::descriptor(), pb::FlowMessage::descriptor(),
        pb::MembershipMessage::descriptor(), pb::PeerDatagram::descriptor(),
        pb::RequestMessage::descriptor()}) {
    FileDescriptorProto file;
    it->file()->CopyTo(&file);
    AddFile(file, schema);
  }
  return schema;
}

// Guards against a field that is renumbered, retyped or reused: builds of two
// levels would read each other's messages, and stored data, wrongly.
TEST_CASE("every field of an earlier level keeps its number and type",
          "[feature][golden]") {
  const Schema present = PresentSchema();
  for (const FeatureLevelRow& row : FeatureLevels()) {
    const Schema earlier = SchemaOfLevel(row.level);
    for (const auto& [key, field] : earlier.fields) {
      CAPTURE(row.level.value(), key, field);
      const auto it = present.fields.find(key);
      if (it == present.fields.end()) {
        CHECK(present.reserved.contains(key));
      } else {
        CHECK(it->second == field);
      }
    }
  }
}

// Guards against a new field without a level. If this fails: add a row to
// FeatureLevels(), raise kCurrentLevel and run scripts/golden_messages.
TEST_CASE("the messages are those of the current level", "[feature][golden]") {
  const Schema golden = SchemaOfLevel(kCurrentLevel);
  const Schema present = PresentSchema();
  CHECK(golden.fields == present.fields);
  CHECK(golden.reserved == present.reserved);
}

// Guards against a row of the table that leaves out a message: whoever adds the
// next level relies on it.
TEST_CASE("the table names every message that a level changed",
          "[feature][golden]") {
  for (const FeatureLevelRow& row : FeatureLevels()) {
    if (row.level == FeatureLevel{1}) {
      continue;
    }
    const Schema before = SchemaOfLevel(FeatureLevel{row.level.value() - 1});
    std::set<std::string> known;
    for (const auto& [key, field] : before.fields) {
      known.insert(key.substr(0, key.find('.')));
    }
    const std::string named =
        ", " + std::string(row.messages) + ", " + std::string(row.stored) + ",";
    for (const auto& [key, field] : SchemaOfLevel(row.level).fields) {
      const std::string message = key.substr(0, key.find('.'));
      if (known.contains(message) && !before.fields.contains(key)) {
        CAPTURE(row.level.value(), key, field);
        CHECK_THAT(named, Catch::Contains(", " + message + ","));
      }
    }
  }
}

}  // namespace
}  // namespace vanillalatch
