#include "vanillalatch/explain/story.h"

namespace vanillalatch {

using Json = nlohmann::ordered_json;

Result<LogLine> LogLine::Parse(std::string_view text) {
  const std::size_t start = text.find('{');
  if (start == std::string_view::npos) {
    return Error(ErrorKind::kInvalidArgument,
                 "the line contains no JSON object");
  }
  Json json = Json::parse(text.substr(start), nullptr, false);
  if (!json.is_object()) {
    return Error(ErrorKind::kInvalidArgument,
                 "the JSON object in the line is not valid or not complete");
  }
  LogLine line;
  for (auto& [name, field] :
       {std::pair{"time", &line.time_}, std::pair{"vm", &line.vm_},
        std::pair{"event", &line.event_}}) {
    if (!json.contains(name) || !json[name].is_string()) {
      return Error(ErrorKind::kInvalidArgument,
                   std::string("the line has no text field ") + name);
    }
    *field = json[name].get<std::string>();
    json.erase(name);
  }
  line.fields_ = std::move(json);
  return line;
}

std::string LogLine::GetString(const char* field) const {
  const auto it = fields_.find(field);
  return it != fields_.end() && it->is_string() ? it->get<std::string>()
                                                : std::string();
}

std::int64_t LogLine::GetInt(const char* field) const {
  const auto it = fields_.find(field);
  return it != fields_.end() && it->is_number() ? it->get<std::int64_t>() : 0;
}

bool LogLine::GetBool(const char* field) const {
  const auto it = fields_.find(field);
  return it != fields_.end() && it->is_boolean() && it->get<bool>();
}

std::string LogLine::FormatFields() const {
  std::string text;
  for (const auto& [name, value] : fields_.items()) {
    if (name != "level") {
      text += (text.empty() ? "" : " ") + name + "=";
      text += value.is_string() ? value.get<std::string>() : value.dump();
    }
  }
  return text;
}

}  // namespace vanillalatch
