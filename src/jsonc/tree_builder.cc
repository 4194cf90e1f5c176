#include "src/jsonc/tree_builder.h"

#include <limits>
#include <utility>

namespace vanillalatch::internal {

using Type = JsonValue::Type;

namespace {

// A tree of 100,000 levels would overflow the stack when it is destroyed.
constexpr std::size_t kMaxNestingLevels = 64;

}  // namespace

void JsonTreeBuilder::FailAtCurrentLine(const std::string& what) const {
  throw Error(ErrorKind::kInvalidArgument,
              *file_ + ":" + std::to_string(lines_.line()) + ": " + what);
}

JsonValue& JsonTreeBuilder::AddValue(Type type, std::string text) {
  JsonValue value;
  value.type_ = type;
  value.line_ = lines_.line();
  value.file_ = file_;
  value.text_ = std::move(text);
  if (open_containers_.empty()) {
    root_ = std::move(value);
    return root_;
  }
  JsonValue& parent = *open_containers_.back();
  if (parent.type_ == Type::kArray) {
    value.path_ =
        parent.path_ + "[" + std::to_string(parent.children_.size()) + "]";
  } else {
    value.path_ =
        parent.path_.empty() ? next_key_ : parent.path_ + "." + next_key_;
    value.key_ = std::move(next_key_);
  }
  parent.children_.push_back(std::move(value));
  return parent.children_.back();
}

bool JsonTreeBuilder::OpenContainer(Type type) {
  if (open_containers_.size() >= kMaxNestingLevels) {
    FailAtCurrentLine("expected at most " + std::to_string(kMaxNestingLevels) +
                      " nested levels");
  }
  open_containers_.push_back(
      &AddValue(type, type == Type::kArray ? "an array" : "an object"));
  return true;
}

bool JsonTreeBuilder::null() {
  AddValue(Type::kNull, "null");
  return true;
}

bool JsonTreeBuilder::boolean(bool value) {
  AddValue(Type::kBool, value ? "true" : "false");
  return true;
}

bool JsonTreeBuilder::number_integer(Json::number_integer_t value) {
  AddValue(Type::kInteger, std::to_string(value)).integer_ = value;
  return true;
}

bool JsonTreeBuilder::number_unsigned(Json::number_unsigned_t value) {
  if (value >
      static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())) {
    AddValue(Type::kDecimal, std::to_string(value));
    return true;
  }
  return number_integer(static_cast<std::int64_t>(value));
}

bool JsonTreeBuilder::number_float(Json::number_float_t value,
                                   const std::string& literal) {
  AddValue(Type::kDecimal, literal);
  return true;
}

bool JsonTreeBuilder::string(std::string& value) {
  AddValue(Type::kString, value);
  return true;
}

bool JsonTreeBuilder::binary(Json::binary_t& value) {
  FailAtCurrentLine("binary data is not expected");
}

bool JsonTreeBuilder::start_object(std::size_t size) {
  return OpenContainer(Type::kObject);
}

bool JsonTreeBuilder::key(std::string& value) {
  const JsonValue& parent = *open_containers_.back();
  if (parent.Find(value) != nullptr) {
    const std::string path =
        parent.path_.empty() ? value : parent.path_ + "." + value;
    FailAtCurrentLine(path + ": expected each key once, got it twice");
  }
  next_key_ = value;
  return true;
}

bool JsonTreeBuilder::end_object() {
  open_containers_.pop_back();
  return true;
}

bool JsonTreeBuilder::start_array(std::size_t size) {
  return OpenContainer(Type::kArray);
}

bool JsonTreeBuilder::end_array() {
  open_containers_.pop_back();
  return true;
}

bool JsonTreeBuilder::parse_error(std::size_t position,
                                  const std::string& token,
                                  const Json::exception& e) {
  std::string text = e.what();
  const std::size_t details = text.find("syntax error");
  if (details != std::string::npos) {
    text = text.substr(details);
  }
  FailAtCurrentLine("expected JSON with comments, got a " + text);
}

}  // namespace vanillalatch::internal
