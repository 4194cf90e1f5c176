// SAX handler that builds a tree of JsonValue, with the line number of each
// value, from the events of the nlohmann JSON parser.
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

// Tracks the line number of the character that was read last.
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

// Input iterator over text that reports each character to a LineCounter when
// the parser moves past it. The parser itself does not report lines.
class LineCountingIterator {
 public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  LineCountingIterator(const char* at, LineCounter* lines)
      : at_(at), lines_(lines) {}

  reference operator*() const { return *at_; }
  LineCountingIterator& operator++() {
    lines_->OnRead(*at_++);
    return *this;
  }
  friend bool operator==(const LineCountingIterator& a,
                         const LineCountingIterator& b) {
    return a.at_ == b.at_;
  }

 private:
  const char* at_;
  LineCounter* lines_;
};

// Implements the SAX interface of nlohmann::json, which defines the names of
// the handler functions.
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
  // Throws an error at the parser's current line.
  [[noreturn]] void FailAtCurrentLine(const std::string& what) const;
  // Appends a value to the innermost open array or object.
  JsonValue& AddValue(JsonValue::Type type, std::string text);
  // Appends an array or object whose elements follow. Returns true, as the SAX
  // interface demands.
  bool OpenContainer(JsonValue::Type type);

  std::shared_ptr<const std::string> file_;
  const LineCounter& lines_;
  JsonValue root_;
  // The open arrays and objects, outermost first. The pointers stay valid, as
  // no sibling is appended to a parent's children while one of them is open.
  std::vector<JsonValue*> open_containers_;
  std::string next_key_;
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_JSONC_TREE_BUILDER_H_
