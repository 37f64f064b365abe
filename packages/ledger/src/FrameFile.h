/// An append-only file of checksummed frames.
///
/// A frame consists of the payload length, a hash of the length, a hash of the
/// payload, and the payload. An incomplete last frame was never acknowledged
/// and is dropped on open. A file with a damaged earlier frame is refused.
#ifndef TAMARACK_LEDGER_FRAMEFILE_H
#define TAMARACK_LEDGER_FRAMEFILE_H

#include "tamarack/base/Error.h"

#include <cstdint>
#include <filesystem>
#include <memory>
#include <vector>

namespace tamarack::internal {

using Bytes = std::vector<std::uint8_t>;

/// Owns a file descriptor and closes it on destruction.
class FileDescriptor {
public:
  explicit FileDescriptor(int Number) : Number(Number) {}
  ~FileDescriptor();
  FileDescriptor(const FileDescriptor &) = delete;
  FileDescriptor &operator=(const FileDescriptor &) = delete;
  int number() const { return Number; }

private:
  int Number;
};

/// Flushes a directory, so that new entries in it survive a crash.
Expected<void> syncDirectory(const std::filesystem::path &Directory);
/// Replaces a file atomically: writes and flushes a temporary file, renames
/// it, and flushes the directory.
Expected<void> writeFileAtomically(const std::filesystem::path &Path,
                                   const std::string &Text);
/// An Internal error with \p What and the text of errno.
tl::unexpected<Error> systemError(const std::string &What);

class FrameFile {
public:
  /// Opens the file, creates it if it does not exist, and appends the payloads
  /// of its frames to \p Frames.
  static Expected<std::unique_ptr<FrameFile>>
  open(const std::filesystem::path &Path, std::vector<Bytes> &Frames);

  /// Writes one frame. After a failure that leaves the end of the file in an
  /// unknown state, every later call is refused.
  Expected<void> append(const Bytes &Payload, bool Sync);
  bool hadTornTail() const { return TornTail; }
  std::uint64_t size() const { return Size; }

private:
  explicit FrameFile(int Number) : File(Number) {}
  Expected<void> load(std::vector<Bytes> &Frames);

  FileDescriptor File;
  std::uint64_t Size = 0;
  bool TornTail = false;
  bool EndUnknown = false;
};

} // namespace tamarack::internal

#endif // TAMARACK_LEDGER_FRAMEFILE_H
