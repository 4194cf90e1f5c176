// Builds a tree of JsonValue from the events of the JSON parser and the line
// that the parser has reached.
#ifndef VANILLALATCH_SRC_JSONC_TREE_BUILDER_H_
#define VANILLALATCH_SRC_JSONC_TREE_BUILDER_H_

#include <cstddef>
#include <iterator>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "vanillalatch/jsonc/document.h"

namespace vanillalatch::internal {

// The line of the character that was read last.
class LineCounter {
 public:
  void OnRead(char c) {
    line_ += after_newline_ ? 1 : 0;
    after_newline_ = c == '\n';
  }
  int line() const { return line_; }

 private:
  int line_ = 1;
  bool after_newline_ = false;
};

// Walks over text and tells a counter about each character that it passes.
class CountingIterator {
 public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  CountingIterator(const char* at, LineCounter* lines)
      : at_(at), lines_(lines) {}

  reference operator*() const { return *at_; }
  CountingIterator& operator++() {
    lines_->OnRead(*at_++);
    return *this;
  }
  friend bool operator==(const CountingIterator& a, const CountingIterator& b) {
    return a.at_ == b.at_;
  }

 private:
  const char* at_;
  LineCounter* lines_;
};

// The names of its functions are those that the parser calls.
class JsonTreeBuilder {
 public:
  JsonTreeBuilder(std::string_view file_name, const LineCounter& lines)
      : file_(std::make_shared<const std::string>(file_name)), lines_(lines) {}

  using Json = nlohmann::json;

  bool null();
  bool boolean(bool value);
  bool number_integer(Json::number_integer_t value);
  bool number_unsigned(Json::number_unsigned_t value);
  bool number_float(Json::number_float_t value, const std::string& literal);
  bool string(std::string& value);
  bool binary(Json::binary_t& value);
  bool start_object(std::size_t size);
  bool key(std::string& value);
  bool end_object();
  bool start_array(std::size_t size);
  bool end_array();
  bool parse_error(std::size_t position, const std::string& token,
                   const Json::exception& e);

  JsonValue TakeRoot() { return std::move(root_); }

 private:
  [[noreturn]] void FailHere(const std::string& what) const;
  JsonValue& Add(JsonValue::Type type, std::string text);
  bool Open(JsonValue::Type type);

  std::shared_ptr<const std::string> file_;
  const LineCounter& lines_;
  JsonValue root_;
  // The open arrays and objects; a parent's children stay in place while one
  // of them is open.
  std::vector<JsonValue*> open_;
  std::string next_key_;
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_JSONC_TREE_BUILDER_H_
