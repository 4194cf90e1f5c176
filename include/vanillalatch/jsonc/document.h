// A parser for JSON with comments. Each value keeps its file and line, so that
// every error names the file, the line, the key and what was expected.
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

// One value of a parsed document: a scalar, an array or an object.
class JsonValue {
 public:
  enum class Type : std::uint8_t {
    kNull,
    kBool,
    kInteger,
    kDecimal,  // Has a fraction or exponent, or exceeds int64.
    kString,
    kArray,
    kObject
  };

  Type type() const { return type_; }
  // Returns the one-based line of the value's first character.
  int line() const { return line_; }
  // Returns the path from the root, for example "services[1].name".
  const std::string& path() const { return path_; }

  // Returns a string, which may be empty.
  const std::string& Text() const;
  // Returns a string that is a valid name: 1 to 63 letters, digits, '.', '_' or
  // '-', starting with a letter or digit.
  std::string Name() const;
  // Returns the index in `choices` of a string that is one of them.
  std::size_t Choice(std::initializer_list<std::string_view> choices) const;
  // Returns a boolean.
  bool Flag() const;
  // Returns an integer from `min` to `max`, both included.
  std::int64_t Integer(std::int64_t min, std::int64_t max) const;
  // Returns a number, which may have a fraction, from `min` to `max`, both
  // included.
  double Number(double min, double max) const;
  // Returns a duration, written "100ms", "10s" or "2m", from `min` to `max`,
  // both included.
  Duration Time(Duration min, Duration max) const;
  // Returns a percentage, written "99.9%", in thousandths (999) from `min` to
  // `max`, both included.
  std::uint32_t Permille(std::uint32_t min, std::uint32_t max) const;
  // Returns the socket address of one machine, written "A.B.C.D:PORT".
  // Wildcard, broadcast and multicast addresses and port 0 are errors.
  SocketAddress Address() const;
  // Returns the elements of an array.
  const std::vector<JsonValue>& Items() const;

  // Throws if an object has a member whose key is not in `allowed_keys`, unless
  // the document ignores unknown keys; it then records the key.
  void CheckKeys(std::initializer_list<std::string_view> allowed_keys) const;
  // Returns a member of an object, or nullptr if it is absent.
  const JsonValue* Find(std::string_view key) const;
  // Returns a member of an object; throws if it is absent.
  const JsonValue& At(std::string_view key) const;
  // Returns the keys of an object in file order.
  std::vector<std::string_view> Keys() const;

  // Throws the error of this value: "FILE:LINE: PATH: expected EXPECTATION, got
  // VALUE".
  [[noreturn]] void Fail(std::string_view expectation) const;

 private:
  friend class internal::JsonTreeBuilder;

  friend class JsonDocument;

  // Makes CheckKeys() of this value and of all values in it add to `keys`.
  void RecordUnknownKeys(const std::shared_ptr<std::vector<std::string>>& keys);
  // Throws unless the value has `type`.
  void CheckType(Type type) const;
  // Returns the value as error messages show it.
  std::string ValueForError() const;

  Type type_ = Type::kNull;
  int line_ = 1;
  std::shared_ptr<const std::string> file_;
  std::string path_;
  // The content of a string; for other types the text shown in error messages.
  std::string text_;
  std::int64_t integer_ = 0;
  std::string key_;  // Set if the parent is an object.
  // Shared by all values of the document. Absent: unknown keys are errors.
  std::shared_ptr<std::vector<std::string>> ignored_keys_;
  std::vector<JsonValue> children_;  // Array elements or object members.
};

// A parsed file.
class JsonDocument {
 public:
  // Parses `text`; `file_name` appears in error messages only. Error:
  // kInvalidArgument for text that is not JSON with comments or that repeats a
  // key within an object.
  static Result<JsonDocument> Parse(std::string_view file_name,
                                    std::string_view text);

  const JsonValue& root() const { return root_; }

  // From now on, CheckKeys() does not throw. It adds "FILE:LINE: PATH" of each
  // unknown key to the returned list.
  std::shared_ptr<const std::vector<std::string>> IgnoreUnknownKeys();

 private:
  explicit JsonDocument(JsonValue root) : root_(std::move(root)) {}

  JsonValue root_;
};

// Returns the content of a file. Error: kNotFound if it can't be read.
Result<std::string> ReadWholeFile(const std::string& path);

// Formats a duration as Time() parses it, in the largest unit of which it is a
// multiple: "100ms", "10s" or "2m". Fractions of a millisecond are dropped.
std::string FormatDuration(Duration duration);

}  // namespace vanillalatch

#endif  // VANILLALATCH_JSONC_DOCUMENT_H_
