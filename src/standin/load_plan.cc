#include "src/standin/load_plan.h"

#include "vanillalatch/jsonc/document.h"

namespace vanillalatch::standin {
namespace {

constexpr std::int64_t kMaxWeight = 1000;
constexpr std::int64_t kMaxAnswerBytes = 1 << 20;
constexpr std::uint32_t kMaxPermille = 1000;

RequestKind ReadKind(const JsonValue& value) {
  value.CheckKeys({"service", "class", "method", "path", "weight", "latency",
                   "success", "size"});
  RequestKind kind;
  kind.service = value.At("service").Name();
  kind.work_class = value.At("class").Name();
  kind.method =
      value.At("method").Choice({"GET", "POST"}) == 0 ? kCoapGet : kCoapPost;
  kind.path = value.At("path").Text();
  kind.weight = static_cast<double>(value.At("weight").Integer(1, kMaxWeight));
  kind.latency_target = value.At("latency").Time(std::chrono::milliseconds(1),
                                                 std::chrono::minutes(1));
  kind.success_permille = value.At("success").Permille(1, kMaxPermille);
  if (const JsonValue* it = value.Find("size")) {
    kind.answer_bytes =
        static_cast<std::size_t>(it->Integer(1, kMaxAnswerBytes));
  }
  return kind;
}

}  // namespace

Result<std::vector<RequestKind>> ParseLoadPlan(std::string_view file_name,
                                               std::string_view text) {
  const Result<JsonDocument> file = JsonDocument::Parse(file_name, text);
  if (!file.ok()) {
    return file.error();
  }
  try {
    file->root().CheckKeys({"kinds"});
    std::vector<RequestKind> kinds;
    for (const JsonValue& it : file->root().At("kinds").Items()) {
      kinds.push_back(ReadKind(it));
    }
    if (kinds.empty()) {
      file->root().At("kinds").Fail("at least one kind");
    }
    return kinds;
  } catch (const Error& e) {
    return e;
  }
}

}  // namespace vanillalatch::standin
