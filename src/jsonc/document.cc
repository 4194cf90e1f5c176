#include "vanillalatch/jsonc/document.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <sstream>
#include <utility>

#include "src/jsonc/tree_builder.h"

namespace vanillalatch {
namespace {

constexpr std::size_t kMaxNameLength = 63;

struct TimeUnit {
  std::string_view suffix;
  Duration unit;
};

// A suffix that ends with another suffix stands before it: "ms" before "s".
constexpr std::array kTimeUnits = {
    TimeUnit{"ms", std::chrono::milliseconds(1)},
    TimeUnit{"s", std::chrono::seconds(1)},
    TimeUnit{"m", std::chrono::minutes(1)},
};

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

// Parses an unsigned integer of at most nine digits; returns -1 for other text.
std::int64_t ParseDigits(std::string_view text) {
  constexpr std::size_t kMaxDigits = 9;
  std::int64_t value = -1;
  if (text.empty() || text.size() > kMaxDigits || text.front() == '-') {
    return -1;
  }
  const char* end = text.data() + text.size();
  const auto [it, ec] = std::from_chars(text.data(), end, value);
  return ec == std::errc() && it == end ? value : -1;
}

// Parses a percentage such as "99.9%" and returns it in thousandths; returns -1
// for other text.
std::int64_t ParsePermille(std::string_view text) {
  if (!text.ends_with('%')) {
    return -1;
  }
  text.remove_suffix(1);
  const std::size_t dot = text.find('.');
  const std::int64_t integer_part = ParseDigits(text.substr(0, dot));
  if (dot == std::string_view::npos) {
    return integer_part < 0 ? -1 : integer_part * 10;
  }
  const std::string_view fraction = text.substr(dot + 1);
  const std::int64_t tenths = fraction.size() == 1 ? ParseDigits(fraction) : -1;
  return integer_part < 0 || tenths < 0 ? -1 : integer_part * 10 + tenths;
}

std::string FormatPermille(std::uint32_t value) {
  std::string text = std::to_string(value / 10);
  if (value % 10 != 0) {
    text += "." + std::to_string(value % 10);
  }
  return text + "%";
}

constexpr std::string_view ExpectedTypeText(JsonValue::Type type) {
  constexpr std::array<std::string_view, 7> kNames = {
      "null",          "true or false", "a whole number", "a number",
      "a quoted text", "an array",      "an object"};
  return kNames.at(static_cast<std::size_t>(type));
}

}  // namespace

void JsonValue::Fail(std::string_view expectation) const {
  throw Error(ErrorKind::kInvalidArgument,
              *file_ + ":" + std::to_string(line_) + ": " +
                  (path_.empty() ? "file" : path_) + ": expected " +
                  std::string(expectation) + ", got " + ValueForError());
}

std::string JsonValue::ValueForError() const {
  return type_ == Type::kString ? "\"" + text_ + "\"" : text_;
}

void JsonValue::CheckType(Type type) const {
  if (type_ != type) {
    Fail(ExpectedTypeText(type));
  }
}

const std::string& JsonValue::Text() const {
  CheckType(Type::kString);
  return text_;
}

std::string JsonValue::Name() const {
  const std::string& name = Text();
  const bool valid = !name.empty() && name.size() <= kMaxNameLength &&
                     name.front() != '-' && name.front() != '_' &&
                     name.front() != '.' &&
                     std::all_of(name.begin(), name.end(), IsNameCharacter);
  if (!valid) {
    Fail(
        "a name of 1 to 63 letters, digits, '.', '_' or '-', "
        "a letter or digit first");
  }
  return name;
}

std::size_t JsonValue::Choice(
    std::initializer_list<std::string_view> choices) const {
  std::string expectation = "one of";
  for (const std::string_view it : choices) {
    expectation += " \"" + std::string(it) + "\"";
  }
  if (type_ != Type::kString) {
    Fail(expectation);
  }
  const auto* it = std::find(choices.begin(), choices.end(), text_);
  if (it == choices.end()) {
    Fail(expectation);
  }
  return static_cast<std::size_t>(it - choices.begin());
}

bool JsonValue::Flag() const {
  if (type_ != Type::kBool) {
    Fail("true or false");
  }
  return text_ == "true";
}

std::int64_t JsonValue::Integer(std::int64_t min, std::int64_t max) const {
  if (type_ != Type::kInteger || integer_ < min || integer_ > max) {
    Fail("a whole number from " + std::to_string(min) + " to " +
         std::to_string(max));
  }
  return integer_;
}

double JsonValue::Number(double min, double max) const {
  double value = 0;
  const bool is_number = type_ == Type::kInteger || type_ == Type::kDecimal;
  const char* end = text_.data() + text_.size();
  const auto [stop, ec] = std::from_chars(text_.data(), end, value);
  if (!is_number || ec != std::errc() || stop != end || value < min ||
      value > max) {
    std::ostringstream range;
    range << "a number from " << min << " to " << max;
    Fail(range.str());
  }
  return value;
}

Duration JsonValue::Time(Duration min, Duration max) const {
  if (type_ == Type::kString) {
    const std::string_view text = text_;
    for (const TimeUnit& it : kTimeUnits) {
      if (!text.ends_with(it.suffix)) {
        continue;
      }
      const std::int64_t n =
          ParseDigits(text.substr(0, text.size() - it.suffix.size()));
      if (n >= 0 && n * it.unit >= min && n * it.unit <= max) {
        return n * it.unit;
      }
      break;
    }
  }
  Fail("a time from \"" + FormatDuration(min) + "\" to \"" +
       FormatDuration(max) + "\"");
}

std::uint32_t JsonValue::Permille(std::uint32_t min, std::uint32_t max) const {
  const std::int64_t n = type_ == Type::kString ? ParsePermille(text_) : -1;
  if (n < min || n > max) {
    Fail("a percentage from \"" + FormatPermille(min) + "\" to \"" +
         FormatPermille(max) + "\"");
  }
  return static_cast<std::uint32_t>(n);
}

SocketAddress JsonValue::Address() const {
  constexpr std::uint32_t kFirstMulticast = 0xE0000000;
  constexpr std::string_view kExpectation =
      "the address and port of one machine, \"A.B.C.D:PORT\"";
  if (type_ != Type::kString) {
    Fail(kExpectation);
  }
  const Result<SocketAddress> address = SocketAddress::Parse(text_);
  if (!address.ok() || address->ip == 0 || address->ip >= kFirstMulticast ||
      address->port == 0) {
    Fail(kExpectation);
  }
  return *address;
}

const std::vector<JsonValue>& JsonValue::Items() const {
  CheckType(Type::kArray);
  return children_;
}

void JsonValue::CheckKeys(
    std::initializer_list<std::string_view> allowed_keys) const {
  CheckType(Type::kObject);
  for (const JsonValue& it : children_) {
    if (std::find(allowed_keys.begin(), allowed_keys.end(), it.key_) !=
        allowed_keys.end()) {
      continue;
    }
    if (ignored_keys_ != nullptr) {
      ignored_keys_->push_back(*file_ + ":" + std::to_string(it.line_) + ": " +
                               it.path_);
      continue;
    }
    std::string keys;
    for (const std::string_view key : allowed_keys) {
      keys += (keys.empty() ? "" : ", ") + std::string(key);
    }
    throw Error(ErrorKind::kInvalidArgument,
                *file_ + ":" + std::to_string(it.line_) + ": " + it.path_ +
                    ": expected one of the keys " + keys +
                    ", got an unknown key");
  }
}

void JsonValue::RecordUnknownKeys(
    const std::shared_ptr<std::vector<std::string>>& keys) {
  ignored_keys_ = keys;
  for (JsonValue& it : children_) {
    it.RecordUnknownKeys(keys);
  }
}

std::shared_ptr<const std::vector<std::string>>
JsonDocument::IgnoreUnknownKeys() {
  auto keys = std::make_shared<std::vector<std::string>>();
  root_.RecordUnknownKeys(keys);
  return keys;
}

const JsonValue* JsonValue::Find(std::string_view key) const {
  CheckType(Type::kObject);
  const auto it =
      std::find_if(children_.begin(), children_.end(),
                   [key](const JsonValue& child) { return child.key_ == key; });
  return it == children_.end() ? nullptr : &*it;
}

const JsonValue& JsonValue::At(std::string_view key) const {
  const JsonValue* value = Find(key);
  if (value == nullptr) {
    const std::string name(key);
    throw Error(ErrorKind::kInvalidArgument,
                *file_ + ":" + std::to_string(line_) + ": " +
                    (path_.empty() ? name : path_ + "." + name) +
                    ": expected this key, got nothing");
  }
  return *value;
}

std::vector<std::string_view> JsonValue::Keys() const {
  CheckType(Type::kObject);
  std::vector<std::string_view> keys;
  keys.reserve(children_.size());
  for (const JsonValue& it : children_) {
    keys.emplace_back(it.key_);
  }
  return keys;
}

Result<JsonDocument> JsonDocument::Parse(std::string_view file_name,
                                         std::string_view text) {
  internal::LineCounter lines;
  internal::JsonTreeBuilder builder(file_name, lines);
  const internal::LineCountingIterator begin(text.data(), &lines);
  const internal::LineCountingIterator end(text.data() + text.size(), &lines);
  try {
    nlohmann::json::sax_parse(begin, end, &builder,
                              nlohmann::json::input_format_t::json,
                              /*strict=*/true, /*ignore_comments=*/true);
  } catch (const Error& e) {
    return e;
  }
  return JsonDocument(builder.TakeRoot());
}

Result<std::string> ReadWholeFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (file) {
    text << file.rdbuf();
  }
  if (!file) {
    return Error(ErrorKind::kNotFound, path + ": can't be read");
  }
  return std::move(text).str();
}

std::string FormatDuration(Duration duration) {
  using std::chrono::milliseconds;
  const auto ms = std::chrono::duration_cast<milliseconds>(duration).count();
  constexpr std::int64_t kPerSecond = 1000;
  constexpr std::int64_t kPerMinute = 60 * kPerSecond;
  if (ms != 0 && ms % kPerMinute == 0) {
    return std::to_string(ms / kPerMinute) + "m";
  }
  if (ms != 0 && ms % kPerSecond == 0) {
    return std::to_string(ms / kPerSecond) + "s";
  }
  return std::to_string(ms) + "ms";
}

}  // namespace vanillalatch
