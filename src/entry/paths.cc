#include "src/entry/paths.h"

namespace vanillalatch::internal {

std::string PathAndQuery(const CoapMessage& message) {
  std::string key = message.UriPath();
  for (const CoapMessage::OptionValue& it : message.options()) {
    if (it.number == kOptionUriQuery) {
      key.push_back('?');
      key.append(reinterpret_cast<const char*>(it.value.data()),
                 it.value.size());
    }
  }
  return key;
}

}  // namespace vanillalatch::internal
