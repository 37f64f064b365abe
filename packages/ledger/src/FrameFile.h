/// An append-only file of checksummed frames.
///
/// Each frame is its payload's length, hashes of both and the payload. A
/// last frame that is incomplete was never answered and is dropped on open; a
/// damaged frame before the end refuses the file.
#ifndef TAMARACK_LEDGER_FRAMEFILE_H
#define TAMARACK_LEDGER_FRAMEFILE_H

#include "tamarack/base/Error.h"

#include <cstdint>
#include <filesystem>
#include <memory>
#include <vector>

namespace tamarack::internal {

using Bytes = std::vector<std::uint8_t>;

/// An open file descriptor, closed with its owner.
class Descriptor {
public:
  explicit Descriptor(int Number) : Number(Number) {}
  ~Descriptor();
  Descriptor(const Descriptor &) = delete;
  Descriptor &operator=(const Descriptor &) = delete;
  int number() const { return Number; }

private:
  int Number;
};

/// Flushes a directory, so that new names in it outlast a crash.
Expected<void> syncDirectory(const std::filesystem::path &Directory);
/// Writes a whole file by way of a temporary one, and flushes both.
Expected<void> writeWhole(const std::filesystem::path &Path,
                          const std::string &Text);
tl::unexpected<Error> systemError(const std::string &What);

class FrameFile {
public:
  /// Opens or makes the file and hands over the frames that it holds.
  static Expected<std::unique_ptr<FrameFile>>
  open(const std::filesystem::path &Path, std::vector<Bytes> &Frames);

  /// Writes one frame. After a failure that leaves the file's end unknown,
  /// every later call is refused.
  Expected<void> append(const Bytes &Payload, bool Sync);
  bool hadTornTail() const { return TornTail; }
  std::uint64_t size() const { return Size; }

private:
  explicit FrameFile(int Number) : File(Number) {}
  Expected<void> load(std::vector<Bytes> &Frames);

  Descriptor File;
  std::uint64_t Size = 0;
  bool TornTail = false;
  bool Broken = false;
};

} // namespace tamarack::internal

#endif // TAMARACK_LEDGER_FRAMEFILE_H
