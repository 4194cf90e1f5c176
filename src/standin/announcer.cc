#include "src/standin/announcer.h"

#include <utility>

namespace vanillalatch::standin {
namespace {

// Interval between requests while no answer arrives.
constexpr Duration kResendAfter = std::chrono::milliseconds(300);
constexpr int kMaxLeaveSends = 10;
constexpr CoapOption kOptionLocationPath = 8;
// The location path is "rd" and the id of the registration.
constexpr std::size_t kLocationSegments = 2;

// Returns the registration id from the location path of `message`, or an empty
// string if there is none.
std::string LocationId(const CoapMessage& message) {
  std::vector<std::string> segments;
  for (const CoapMessage::OptionValue& it : message.options()) {
    if (it.number == kOptionLocationPath) {
      segments.emplace_back(it.value.begin(), it.value.end());
    }
  }
  return segments.size() == kLocationSegments ? segments.back() : "";
}

}  // namespace

Announcer::Announcer(AnnouncerOptions options)
    : options_(std::move(options)), random_(options_.seed) {}

void Announcer::BuildRegisterRequest(int load_percent,
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

void Announcer::BuildLeaveRequest(std::vector<std::uint8_t>& buf) {
  CoapBuilder(buf, CoapType::kConfirmable, kCoapDelete, message_id_, token_)
      .Option(kOptionUriPath, "rd")
      .Option(kOptionUriPath, location_);
}

void Announcer::OnTick(TimePoint now, int load_percent, Outbox& out) {
  if (has_left_ || now < next_send_) {
    return;
  }
  if (leaving_ && (!registered() || leave_sends_++ == kMaxLeaveSends)) {
    has_left_ = true;
    return;
  }
  ++message_id_;
  token_ = CoapToken::FromInteger(random_());
  std::vector<std::uint8_t> buf;
  if (leaving_) {
    BuildLeaveRequest(buf);
  } else {
    BuildRegisterRequest(load_percent, buf);
  }
  std::uniform_int_distribution<std::size_t> indexes(
      0, options_.entry_addresses.size() - 1);
  out.Add(SocketRole::kBackend, options_.entry_addresses[indexes(random_)],
          buf);
  next_send_ = now + kResendAfter;
}

bool Announcer::OnAnswer(TimePoint now, const CoapMessage& message) {
  if (!(message.token == token_)) {
    return false;
  }
  if (leaving_) {
    // An entry VM that has not received the registration yet answers "not
    // found". The next request may go to another entry VM.
    has_left_ = message.code == kCoapDeleted;
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
