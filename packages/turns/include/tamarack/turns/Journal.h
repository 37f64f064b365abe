/// The write-ahead log of one ledger: segment files of checksummed frames.
///
///   auto Opened = Journal::open(Folder, NewFolderId, OnFrame);
///   (*Opened)->write({Frame1, Frame2});   // returns after fdatasync
///
/// A ledger acknowledges a record only after write() has returned. A damaged
/// or incomplete frame at the end of the last segment was therefore never
/// acknowledged, and open() drops it together with the rest of its segment. In
/// an earlier segment, which was whole when the next one was begun, it means
/// that the disk has lost records; open() skips it in the same way. The
/// identity of the folder is created with the folder. write(), roll() and
/// removeSegmentsBefore() must not be called concurrently; FrameReader may read
/// frames from another thread.
#ifndef TAMARACK_TURNS_JOURNAL_H
#define TAMARACK_TURNS_JOURNAL_H

#include "tamarack/base/Error.h"
#include "tamarack/base/Ids.h"

#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack {

/// The location of a frame's payload on disk.
struct FrameLocation {
  std::uint64_t Segment = 0;
  /// Bytes from the start of the segment to the payload.
  std::uint64_t Offset = 0;
  /// Bytes of payload.
  std::uint32_t Length = 0;

  friend bool operator==(const FrameLocation &,
                         const FrameLocation &) = default;
};

/// The end of a segment, from its first damaged or incomplete frame.
struct UnreadEnd {
  std::uint64_t Segment = 0;
  std::uint64_t Bytes = 0;

  friend bool operator==(const UnreadEnd &, const UnreadEnd &) = default;
};

class Journal {
public:
  /// Called by open() for each intact frame, oldest first.
  using FrameCallback =
      std::function<void(const FrameLocation &, std::string_view)>;

  /// Opens the journal in \p Folder, creating the folder if needed, and passes
  /// all intact frames to \p OnFrame. A folder without an identity gets
  /// \p NewFolder. Returns an Internal error if a file cannot be read, created,
  /// cut or flushed. What it cannot read it leaves as it is.
  static Expected<std::unique_ptr<Journal>>
  open(const std::filesystem::path &Folder, const FolderId &NewFolder,
       const FrameCallback &OnFrame);
  ~Journal();

  const FolderId &folderId() const;
  /// Returns whether open() found no identity in the folder. Segments without
  /// an identity cannot be trusted, so open() has then removed them.
  bool isFresh() const;

  /// Returns what open() did not read, oldest first. Only the last segment may
  /// have such an end after a crash.
  const std::vector<UnreadEnd> &unreadEnds() const;

  /// Appends all frames, flushes them to disk and returns their locations.
  /// After a failure all later calls are refused, as are those of roll() and
  /// removeSegmentsBefore(), because the end of the file is then unknown.
  Expected<std::vector<FrameLocation>>
  write(const std::vector<std::string> &Frames);
  /// Starts a new segment.
  Expected<void> roll();
  /// Removes all segments with a number below \p Segment, unless a write has
  /// failed: they may hold the only copies of what could not be written.
  Expected<void> removeSegmentsBefore(std::uint64_t Segment);

  /// Returns the number of the segment that write() appends to.
  std::uint64_t currentSegment() const;

private:
  struct Impl;
  explicit Journal(std::unique_ptr<Impl> Inner);
  std::unique_ptr<Impl> Inner;
};

/// Reads frames from a folder that a Journal writes to. Segment files stay
/// open, so frames of a segment that was read before can still be read after
/// the segment was removed.
class FrameReader {
public:
  explicit FrameReader(std::filesystem::path Folder);
  ~FrameReader();
  FrameReader(const FrameReader &) = delete;
  FrameReader &operator=(const FrameReader &) = delete;

  /// Returns the payload at \p Location, or an Internal error if the segment
  /// cannot be read or is too short. Does not verify the checksum.
  Expected<std::string> read(const FrameLocation &Location);
  /// Closes all segments with a number below \p Segment.
  void closeSegmentsBefore(std::uint64_t Segment);

private:
  struct Impl;
  std::unique_ptr<Impl> Inner;
};

} // namespace tamarack

#endif // TAMARACK_TURNS_JOURNAL_H
