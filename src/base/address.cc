#include "vanillalatch/base/address.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace vanillalatch {

Result<SocketAddress> SocketAddress::Parse(std::string_view text) {
  const auto parse_error = [&] {
    return Error(ErrorKind::kInvalidArgument,
                 "expected A.B.C.D:PORT, got \"" + std::string(text) + "\"");
  };
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return parse_error();
  }
  in_addr ip{};
  if (inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &ip) !=
      1) {
    return parse_error();
  }
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [it, ec] = std::from_chars(text.data() + colon + 1, end, port);
  if (ec != std::errc() || it != end) {
    return parse_error();
  }
  return SocketAddress{ntohl(ip.s_addr), port};
}

std::string SocketAddress::ToString() const {
  std::array<char, INET_ADDRSTRLEN> buf{};
  const in_addr address{htonl(ip)};
  inet_ntop(AF_INET, &address, buf.data(), buf.size());
  return std::string(buf.data()) + ":" + std::to_string(port);
}

}  // namespace vanillalatch
