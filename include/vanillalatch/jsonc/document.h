// JSON with comments that remembers where each value stands, so that every
// refusal names the file, the line, the key and what was expected.
//
//   JsonDocument file = JsonDocument::Parse("vm.json", text).value();
//   const JsonValue& root = file.root();
//   root.CheckKeys({"vm", "metrics"});
//   std::string vm = root.At("vm").Name();
//   if (const JsonValue* it = root.Find("metrics")) Use(it->Address());
//
// The typed accessors throw Error with kInvalidArgument and the message
// "FILE:LINE: KEY: expected ..., got ...".
#ifndef VANILLALATCH_JSONC_DOCUMENT_H_
#define VANILLALATCH_JSONC_DOCUMENT_H_

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "vanillalatch/base/address.h"
#include "vanillalatch/base/result.h"
#include "vanillalatch/base/time.h"

namespace vanillalatch {
namespace internal {
class JsonTreeBuilder;
}  // namespace internal

class JsonValue {
 public:
  enum class Type : std::uint8_t {
    kNull,
    kBool,
    kInteger,
    kDecimal,
    kString,
    kArray,
    kObject
  };

  Type type() const { return type_; }
  // One-based line of the value's first character.
  int line() const { return line_; }
  // Path from the root, for example "services[1].name".
  const std::string& path() const { return path_; }

  // Any text, also an empty one.
  const std::string& Text() const;
  // A name: 1 to 63 letters, digits, '.', '_' or '-', a letter or digit first.
  std::string Name() const;
  // One of `choices`; returns its position.
  std::size_t Choice(std::initializer_list<std::string_view> choices) const;
  // true or false.
  bool Flag() const;
  // A whole number from `min` to `max`.
  std::int64_t Integer(std::int64_t min, std::int64_t max) const;
  // "100ms", "10s" or "2m", from `min` to `max`.
  Duration Time(Duration min, Duration max) const;
  // "99.9%", in thousandths, from `min` to `max`.
  std::uint32_t Permille(std::uint32_t min, std::uint32_t max) const;
  // "A.B.C.D:PORT" of one machine: no wildcard, broadcast or multicast
  // address, and no port zero.
  SocketAddress Address() const;
  // The elements of an array.
  const std::vector<JsonValue>& Items() const;

  // Refuses every member of an object whose key is not in `known`.
  void CheckKeys(std::initializer_list<std::string_view> known) const;
  // A member of an object; nullptr if it is absent.
  const JsonValue* Find(std::string_view key) const;
  // A member of an object that must be present.
  const JsonValue& At(std::string_view key) const;
  // The keys of an object in the order of the file.
  std::vector<std::string_view> Keys() const;

  // Throws the refusal of this value.
  [[noreturn]] void Fail(std::string_view expectation) const;

 private:
  friend class internal::JsonTreeBuilder;

  void Require(Type type) const;
  std::string Shown() const;

  Type type_ = Type::kNull;
  int line_ = 1;
  std::shared_ptr<const std::string> file_;
  std::string path_;
  std::string text_;  // Of a string; else the literal as it is shown.
  std::int64_t integer_ = 0;
  std::string key_;  // If it is a member of an object.
  std::vector<JsonValue> children_;
};

class JsonDocument {
 public:
  // Error: kInvalidArgument for text that is no JSON or repeats a key.
  static Result<JsonDocument> Parse(std::string_view file_name,
                                    std::string_view text);

  const JsonValue& root() const { return root_; }

 private:
  explicit JsonDocument(JsonValue root) : root_(std::move(root)) {}

  JsonValue root_;
};

// The whole content of a file. Error: kNotFound.
Result<std::string> ReadWholeFile(const std::string& path);

// A duration as files and people write it: "100ms", "10s" or "2m".
std::string FormatDuration(Duration duration);

}  // namespace vanillalatch

#endif  // VANILLALATCH_JSONC_DOCUMENT_H_
