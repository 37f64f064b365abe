#include "ReadBuffer.h"

#include <algorithm>
#include <boost/beast/http/error.hpp>

namespace tamarack::internal {

BufferGrowth growIfFull(boost::beast::flat_buffer &Buffer, ErrorCode &Failure,
                        std::size_t MaxBytes, MemoryShare &Share,
                        std::size_t OtherBytes) {
  if (Failure != boost::beast::http::error::buffer_overflow)
    return BufferGrowth::NotNeeded;
  if (Buffer.max_size() >= MaxBytes)
    return BufferGrowth::AtLimit;
  const std::size_t Next = std::min(2 * Buffer.max_size(), MaxBytes);
  if (!Share.resize(Next + OtherBytes))
    return BufferGrowth::OutOfMemory;
  Buffer.max_size(Next);
  Failure = {};
  return BufferGrowth::Grown;
}

void freeIfLarge(boost::beast::flat_buffer &Buffer) {
  if (Buffer.size() <= MaxRetainedBufferBytes &&
      Buffer.capacity() > MaxRetainedBufferBytes)
    Buffer.shrink_to_fit();
}

} // namespace tamarack::internal
