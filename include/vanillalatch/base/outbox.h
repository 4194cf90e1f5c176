// Outbox: the datagrams that a decision library (one without I/O) wants to
// send. The code that calls the library sends them and calls Clear() after each
// event. Clear() keeps the buffers' memory, so the hot path does not allocate.
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

// The sockets of an entry VM, by the kind of remote party: a caller, a backend
// server or another VM.
enum class SocketRole : std::uint8_t { kCaller, kBackend, kPeer };

using ByteSpan = std::span<const std::uint8_t>;

// A received datagram. `bytes` points into the receiver's buffer and is valid
// only while that buffer is unchanged.
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
    std::size_t offset;  // Of the first byte in the buffer.
    std::size_t size;    // Bytes.
  };

  // Appends a datagram with a copy of `bytes`.
  void Add(SocketRole socket, SocketAddress to, ByteSpan bytes) {
    items_.push_back({socket, to, buffer_.size(), bytes.size()});
    buffer_.insert(buffer_.end(), bytes.begin(), bytes.end());
  }

  // Appends a datagram of `size` bytes and returns its buffer, to be
  // filled before the next call: that call may move the buffer.
  std::span<std::uint8_t> Reserve(SocketRole socket, SocketAddress to,
                                  std::size_t size) {
    items_.push_back({socket, to, buffer_.size(), size});
    buffer_.resize(buffer_.size() + size);
    return std::span(buffer_).last(size);
  }

  std::span<const Item> items() const { return items_; }

  // The content of `item`, valid until the next Add(), Reserve() or Clear().
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
