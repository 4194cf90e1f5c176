// Requests of backend servers: registration, deregistration and pings, with the
// paths and queries of a CoRE resource directory (RFC 9176).
#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <string>

#include "src/entry/entry_node_impl.h"

namespace vanillalatch::internal {
namespace {

constexpr CoapOption kOptionLocationPath = 8;
constexpr std::string_view kDirectory = "/rd";
constexpr std::string_view kDirectoryPrefix = "/rd/";
constexpr std::string_view kPingPath = "/.well-known/core";
constexpr std::string_view kDirectoryLink = "</rd>;rt=\"core.rd\"";
constexpr std::string_view kBaseScheme = "coap://";

// Returns `text` as a number; nullopt if any part of it is not a digit.
std::optional<std::uint64_t> ParseNumber(std::string_view text, int base) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value, base);
  if (result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return value;
}

std::string FormatHex(std::uint64_t value) {
  std::array<char, 16> digits{};
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), value, 16);
  return {digits.data(), end.ptr};
}

// Returns the number in a query, or `fallback` if the query is absent. Throws
// Error kInvalidArgument if it is malformed.
std::uint64_t QueryNumber(const CoapMessage& message, std::string_view name,
                          std::uint64_t fallback) {
  const std::optional<std::string_view> text = message.Query(name);
  if (!text) {
    return fallback;
  }
  const std::optional<std::uint64_t> value = ParseNumber(*text, 10);
  if (!value) {
    throw Error(ErrorKind::kInvalidArgument,
                std::string(name) + ": expected a whole number");
  }
  return *value;
}

std::string_view QueryText(const CoapMessage& message, std::string_view name) {
  return message.Query(name).value_or(std::string_view());
}

// Returns the address in the query "base", or `from` if that is absent or
// empty. Throws Error kInvalidArgument if it is malformed.
SocketAddress ParseBackendAddress(const CoapMessage& message,
                                  SocketAddress from) {
  std::string_view base = QueryText(message, "base");
  if (base.empty()) {
    return from;
  }
  if (!base.starts_with(kBaseScheme)) {
    throw Error(ErrorKind::kInvalidArgument, "base: expected coap://A:PORT");
  }
  base.remove_prefix(kBaseScheme.size());
  return SocketAddress::Parse(base).value();
}

std::uint32_t ClampToInt32(std::uint64_t value) {
  return static_cast<std::uint32_t>(
      std::min<std::uint64_t>(value, std::numeric_limits<std::int32_t>::max()));
}

}  // namespace

void EntryNodeImpl::OnBackendRequest(const Datagram& datagram,
                                     const CoapMessage& message) {
  const std::string path = message.UriPath();
  try {
    if (message.HasUnknownCriticalOption()) {
      throw Error(ErrorKind::kUnsupported, "unknown critical option");
    }
    if (message.code == kCoapPost && path == kDirectory) {
      OnRegistration(datagram, message);
    } else if (message.code == kCoapDelete &&
               path.starts_with(kDirectoryPrefix)) {
      OnDeregistration(datagram, message, path);
    } else if (message.code == kCoapGet && path == kPingPath) {
      ReplyBackend(datagram.from, message, kCoapContent, kDirectoryLink);
    } else {
      throw Error(ErrorKind::kNotFound, "no such resource");
    }
  } catch (const Error& error) {
    ReplyError(datagram.from, message, error);
  }
}

void EntryNodeImpl::OnRegistration(const Datagram& datagram,
                                   const CoapMessage& message) {
  const ServiceState* service = FindService(QueryText(message, "d"));
  if (service == nullptr) {
    throw Error(ErrorKind::kNotFound, "d: no such service");
  }
  Registration registration;
  registration.name = QueryText(message, "ep");
  registration.service = service->id();
  registration.data_center =
      message.Query("dc").value_or(options_.membership.data_center);
  registration.address = ParseBackendAddress(message, datagram.from);
  registration.slots = ClampToInt32(QueryNumber(message, "slots", 1));
  registration.load_percent = ClampToInt32(QueryNumber(message, "load", 0));
  registration.lifetime = std::chrono::seconds(ClampToInt32(QueryNumber(
      message, "lt",
      std::chrono::duration_cast<std::chrono::seconds>(registration.lifetime)
          .count())));
  registration.epoch = QueryNumber(message, "epoch", 0);
  const EndpointId id = registry_->Register(now_, registration).value();
  buffer_.clear();
  CoapBuilder(buffer_,
              message.type == CoapType::kConfirmable
                  ? CoapType::kAck
                  : CoapType::kNonConfirmable,
              kCoapCreated, message.message_id, message.token)
      .Option(kOptionLocationPath, kDirectory.substr(1))
      .Option(kOptionLocationPath, FormatHex(id.value()));
  out_->Add(SocketRole::kBackend, datagram.from, buffer_);
}

void EntryNodeImpl::OnDeregistration(const Datagram& datagram,
                                     const CoapMessage& message,
                                     std::string_view path) {
  path.remove_prefix(kDirectoryPrefix.size());
  const std::optional<std::uint64_t> id = ParseNumber(path, 16);
  if (!id) {
    throw Error(ErrorKind::kNotFound, "no such registration");
  }
  registry_->BeginLeave(now_, EndpointId{*id}).value();
  ReplyBackend(datagram.from, message, kCoapDeleted, {});
}

void EntryNodeImpl::ReplyBackend(SocketAddress to, const CoapMessage& request,
                                 CoapCode code, std::string_view text) {
  buffer_.clear();
  const bool confirmable = request.type == CoapType::kConfirmable;
  CoapBuilder(buffer_, confirmable ? CoapType::kAck : CoapType::kNonConfirmable,
              code, request.message_id, request.token)
      .Payload(
          {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()});
  out_->Add(SocketRole::kBackend, to, buffer_);
}

void EntryNodeImpl::ReplyError(SocketAddress to, const CoapMessage& request,
                               const Error& error) {
  const ErrorAnswer& row = AnswerFor(error.kind());
  ReplyBackend(to, request, row.coap_code,
               std::string(row.name) + ": " + error.what());
}

}  // namespace vanillalatch::internal
