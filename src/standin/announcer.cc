#include "src/standin/announcer.h"

#include <utility>

namespace vanillalatch::standin {
namespace {

constexpr Duration kResendAfter = std::chrono::milliseconds(300);
constexpr int kMaxLeaveSends = 10;
constexpr CoapOption kOptionLocationPath = 8;
constexpr std::size_t kDirectorySegments = 2;  // "rd" and the id.

std::string LocationId(const CoapMessage& message) {
  std::vector<std::string> segments;
  for (const CoapMessage::OptionValue& it : message.options()) {
    if (it.number == kOptionLocationPath) {
      segments.emplace_back(it.value.begin(), it.value.end());
    }
  }
  return segments.size() == kDirectorySegments ? segments.back() : "";
}

}  // namespace

Announcer::Announcer(AnnouncerOptions options)
    : options_(std::move(options)), random_(options_.seed) {}

void Announcer::BuildRegister(int load_percent,
                              std::vector<std::uint8_t>& buf) {
  CoapBuilder(buf, CoapType::kConfirmable, kCoapPost, message_id_, token_)
      .Option(kOptionUriPath, "rd")
      .Option(kOptionUriQuery, "ep=" + options_.name)
      .Option(kOptionUriQuery, "d=" + options_.service)
      .Option(kOptionUriQuery, "lt=" + std::to_string(options_.lease.count()))
      .Option(kOptionUriQuery, "slots=" + std::to_string(options_.slots))
      .Option(kOptionUriQuery, "epoch=" + std::to_string(options_.epoch))
      .Option(kOptionUriQuery, "dc=" + options_.data_center)
      .Option(kOptionUriQuery, "load=" + std::to_string(load_percent));
}

void Announcer::BuildLeave(std::vector<std::uint8_t>& buf) {
  CoapBuilder(buf, CoapType::kConfirmable, kCoapDelete, message_id_, token_)
      .Option(kOptionUriPath, "rd")
      .Option(kOptionUriPath, location_);
}

void Announcer::OnTick(TimePoint now, int load_percent, Outbox& out) {
  if (gone_ || now < next_send_) {
    return;
  }
  if (leaving_ && (!registered() || leave_sends_++ == kMaxLeaveSends)) {
    gone_ = true;
    return;
  }
  ++message_id_;
  token_ = CoapToken::FromInteger(random_());
  std::vector<std::uint8_t> buf;
  if (leaving_) {
    BuildLeave(buf);
  } else {
    BuildRegister(load_percent, buf);
  }
  std::uniform_int_distribution<std::size_t> draw(0,
                                                  options_.entries.size() - 1);
  out.Add(SocketRole::kBackend, options_.entries[draw(random_)], buf);
  next_send_ = now + kResendAfter;
}

bool Announcer::OnAnswer(TimePoint now, const CoapMessage& message) {
  if (!(message.token == token_)) {
    return false;
  }
  if (leaving_) {
    // An entry VM that does not know of the registration yet says "not found":
    // another one is asked.
    gone_ = message.code == kCoapDeleted;
    return true;
  }
  if (message.code == kCoapCreated) {
    location_ = LocationId(message);
    next_send_ = now + options_.lease / 3;
  }
  return true;
}

void Announcer::BeginLeave(TimePoint now) {
  leaving_ = true;
  next_send_ = now;
}

}  // namespace vanillalatch::standin
