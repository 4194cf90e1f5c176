// Datagrams that a decision library wants sent. The caller drains the outbox
// after each event; its buffers are reused, so the hot path allocates nothing.
//
//   Outbox out;
//   node.OnDatagram(now, datagram, out);
//   for (const Outbox::Item& it : out.items()) Send(it, out.Bytes(it));
//   out.Clear();
#ifndef VANILLALATCH_BASE_OUTBOX_H_
#define VANILLALATCH_BASE_OUTBOX_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "vanillalatch/base/address.h"

namespace vanillalatch {

// The sockets of an entry VM, by who is on the other side.
enum class SocketRole : std::uint8_t { kCaller, kBackend, kPeer };

using ByteSpan = std::span<const std::uint8_t>;

// A received datagram; the bytes belong to the receiver's buffer.
struct Datagram {
  SocketRole socket = SocketRole::kCaller;
  SocketAddress from;
  ByteSpan bytes;
};

class Outbox {
 public:
  struct Item {
    SocketRole socket;
    SocketAddress to;
    std::size_t offset;
    std::size_t size;  // Bytes.
  };

  // Copies `bytes` behind what is already waiting.
  void Add(SocketRole socket, SocketAddress to, ByteSpan bytes) {
    items_.push_back({socket, to, buffer_.size(), bytes.size()});
    buffer_.insert(buffer_.end(), bytes.begin(), bytes.end());
  }

  // Room for `size` bytes, to be filled by the caller at once.
  std::span<std::uint8_t> Reserve(SocketRole socket, SocketAddress to,
                                  std::size_t size) {
    items_.push_back({socket, to, buffer_.size(), size});
    buffer_.resize(buffer_.size() + size);
    return std::span(buffer_).last(size);
  }

  std::span<const Item> items() const { return items_; }

  ByteSpan Bytes(const Item& item) const {
    return ByteSpan(buffer_).subspan(item.offset, item.size);
  }

  void Clear() {
    items_.clear();
    buffer_.clear();
  }

 private:
  std::vector<Item> items_;
  std::vector<std::uint8_t> buffer_;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_BASE_OUTBOX_H_
