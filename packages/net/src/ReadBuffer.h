/// The buffer that the parser of HTTP messages reads into.
#ifndef TAMARACK_NET_READBUFFER_H
#define TAMARACK_NET_READBUFFER_H

#include "tamarack/net/Loop.h"
#include "tamarack/net/MemoryAccount.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <iterator>

namespace tamarack::internal {

/// The limit of a read buffer when a message begins. It grows with what
/// arrives.
constexpr std::size_t InitialReadBufferLimit = 2U << 10U;
/// A read buffer that has grown beyond this size is freed after the message.
constexpr std::size_t MaxRetainedBufferBytes = 4U << 10U;

/// The maximum number of fields of a message, each of which takes much more
/// memory than its bytes if it is short.
constexpr std::size_t MaxFields = 256;

/// The number of fields of \p Head.
template <class Fields> std::size_t countFields(const Fields &Head) {
  return static_cast<std::size_t>(std::distance(Head.begin(), Head.end()));
}

enum class BufferGrowth {
  /// The read did not fail for want of room.
  NotNeeded,
  /// The buffer has become larger, so that the read can go on.
  Grown,
  /// The part of the message that is read as a whole is too long.
  AtLimit,
  /// Too little memory is left.
  OutOfMemory,
};

/// Doubles the limit of \p Buffer up to \p MaxBytes and clears \p Failure if a
/// read ended with it because the buffer was full. \p Share takes that limit
/// and \p OtherBytes besides.
BufferGrowth growIfFull(boost::beast::flat_buffer &Buffer, ErrorCode &Failure,
                        std::size_t MaxBytes, MemoryShare &Share,
                        std::size_t OtherBytes = 0);

/// Frees what a large buffer with little in it does not need.
void freeIfLarge(boost::beast::flat_buffer &Buffer);

} // namespace tamarack::internal

#endif // TAMARACK_NET_READBUFFER_H
