#include "tamarack/turns/Journal.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <map>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

namespace tamarack {
namespace {

namespace fs = std::filesystem;

constexpr const char *IdentityFileName = "folder";
constexpr std::size_t MaxIdentityBytes = 4096;
constexpr const char *SegmentPrefix = "segment-";
/// Each payload is preceded by its length (4 bytes) and checksum (8 bytes).
constexpr std::size_t HeaderBytes = 12;
/// A greater length in a header means that the header is damaged: operators
/// limit request bodies to 4 MB, so frames are much shorter.
constexpr std::uint32_t MaxFrameBytes = 64U << 20U;

tl::unexpected<Error> systemError(const std::string &Operation) {
  return refuse(ErrorKind::Internal, Operation + ": " + std::strerror(errno));
}

class File {
public:
  File(const fs::path &Path, int Flags)
      : Descriptor(::open(Path.c_str(), Flags | O_CLOEXEC, 0644)) {}
  ~File() { close(); }
  File(const File &) = delete;
  File &operator=(const File &) = delete;
  File(File &&Other) noexcept
      : Descriptor(std::exchange(Other.Descriptor, -1)) {}
  File &operator=(File &&Other) noexcept {
    close();
    Descriptor = std::exchange(Other.Descriptor, -1);
    return *this;
  }
  int descriptor() const { return Descriptor; }
  bool isOpen() const { return Descriptor >= 0; }

private:
  void close() {
    if (Descriptor >= 0)
      ::close(Descriptor);
    Descriptor = -1;
  }
  int Descriptor;
};

Expected<void> syncFolder(const fs::path &Folder) {
  const File Handle(Folder, O_RDONLY | O_DIRECTORY);
  if (!Handle.isOpen() || ::fsync(Handle.descriptor()) != 0)
    return systemError("cannot flush directory " + Folder.string());
  return {};
}

Expected<void> writeAll(int Descriptor, std::string_view Bytes) {
  while (!Bytes.empty()) {
    const ssize_t Written = ::write(Descriptor, Bytes.data(), Bytes.size());
    if (Written < 0 && errno == EINTR)
      continue;
    if (Written <= 0)
      return systemError("cannot write to the journal");
    Bytes.remove_prefix(static_cast<std::size_t>(Written));
  }
  return {};
}

void appendFrame(std::string &Out, std::string_view Payload) {
  const auto Length = static_cast<std::uint32_t>(Payload.size());
  const std::uint64_t Check = XXH64(Payload.data(), Payload.size(), Length);
  Out.append(reinterpret_cast<const char *>(&Length), sizeof Length);
  Out.append(reinterpret_cast<const char *>(&Check), sizeof Check);
  Out.append(Payload);
}

/// Reads \p Size bytes at \p Offset, or fewer at the end of the file.
Expected<std::string> readAt(int Descriptor, std::uint64_t Offset,
                             std::size_t Size) {
  std::string Result(Size, '\0');
  std::size_t Filled = 0;
  while (Filled < Size) {
    const ssize_t Count =
        ::pread(Descriptor, Result.data() + Filled, Size - Filled,
                static_cast<off_t>(Offset + Filled));
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0)
      return systemError("cannot read");
    if (Count == 0)
      break;
    Filled += static_cast<std::size_t>(Count);
  }
  Result.resize(Filled);
  return Result;
}

Expected<std::uint64_t> sizeOf(int Descriptor) {
  struct stat Status {};
  if (::fstat(Descriptor, &Status) != 0)
    return systemError("cannot stat a segment");
  return static_cast<std::uint64_t>(Status.st_size);
}

/// Calls \p OnFrame for each intact frame and returns the offset of the first
/// damaged or incomplete one, or the end of the file.
Expected<std::uint64_t> readFrames(
    int Descriptor,
    const std::function<void(std::uint64_t, std::string_view)> &OnFrame) {
  std::uint64_t Offset = 0;
  while (true) {
    const auto Header = readAt(Descriptor, Offset, HeaderBytes);
    if (!Header)
      return tl::unexpected(Header.error());
    if (Header->size() < HeaderBytes)
      return Offset;
    std::uint32_t Length = 0;
    std::uint64_t Check = 0;
    std::memcpy(&Length, Header->data(), sizeof Length);
    std::memcpy(&Check, Header->data() + sizeof Length, sizeof Check);
    if (Length > MaxFrameBytes)
      return Offset;
    const auto Payload = readAt(Descriptor, Offset + HeaderBytes, Length);
    if (!Payload)
      return tl::unexpected(Payload.error());
    if (Payload->size() < Length ||
        XXH64(Payload->data(), Payload->size(), Length) != Check)
      return Offset;
    OnFrame(Offset + HeaderBytes, *Payload);
    Offset += HeaderBytes + Length;
  }
}

fs::path segmentPath(const fs::path &Folder, std::uint64_t Number) {
  return Folder / (SegmentPrefix + std::to_string(Number));
}

Expected<std::vector<std::uint64_t>> segmentsIn(const fs::path &Folder) {
  std::vector<std::uint64_t> Result;
  std::error_code Failure;
  for (fs::directory_iterator Entry(Folder, Failure), End;
       !Failure && Entry != End; Entry.increment(Failure)) {
    const std::string Name = Entry->path().filename().string();
    if (Name.rfind(SegmentPrefix, 0) == 0)
      Result.push_back(std::strtoull(Name.c_str() + std::strlen(SegmentPrefix),
                                     nullptr, 10));
  }
  if (Failure)
    return refuse(ErrorKind::Internal,
                  "cannot list " + Folder.string() + ": " + Failure.message());
  std::sort(Result.begin(), Result.end());
  return Result;
}

/// Returns the identity file's text, or an empty one if there is no such file.
Expected<std::string> readIdentity(const fs::path &Path) {
  const File In(Path, O_RDONLY);
  if (!In.isOpen() && errno == ENOENT)
    return std::string();
  if (!In.isOpen())
    return systemError("cannot open " + Path.string());
  auto Text = readAt(In.descriptor(), 0, MaxIdentityBytes);
  if (!Text)
    return refuse(ErrorKind::Internal,
                  Path.string() + ": " + Text.error().Message);
  return Text;
}

} // namespace

struct Journal::Impl {
  fs::path Folder;
  FolderId Identity;
  bool Fresh = false;
  std::uint64_t Segment = 0;
  std::uint64_t Bytes = 0;
  File CurrentFile{"", 0};
  bool Broken = false;
  std::vector<UnreadEnd> UnreadEnds;

  Expected<void> checkWritable() const {
    if (Broken)
      return refuse(ErrorKind::Internal,
                    "the journal is closed to writes after an earlier failure");
    return {};
  }

  fs::path pathOf(std::uint64_t Number) const {
    return segmentPath(Folder, Number);
  }

  Expected<void> loadIdentity(const FolderId &NewFolder) {
    std::error_code Failure;
    fs::create_directories(Folder, Failure);
    const auto Stored = readIdentity(Folder / IdentityFileName);
    if (!Stored)
      return tl::unexpected(Stored.error());
    // An identity without its final line feed was torn by a crash before anyone
    // could have used it; it counts as absent.
    if (Stored->size() > 1 && Stored->back() == '\n') {
      Identity = FolderId(Stored->substr(0, Stored->size() - 1));
      return {};
    }
    return createIdentity(NewFolder);
  }

  Expected<void> createIdentity(const FolderId &NewFolder) {
    Fresh = true;
    Identity = NewFolder;
    const auto OldSegments = segmentsIn(Folder);
    if (!OldSegments)
      return tl::unexpected(OldSegments.error());
    std::error_code Failure;
    for (const std::uint64_t Old : *OldSegments)
      fs::remove(pathOf(Old), Failure);
    const File Out(Folder / IdentityFileName, O_WRONLY | O_CREAT | O_TRUNC);
    if (!Out.isOpen())
      return systemError("cannot create the identity file in " +
                         Folder.string());
    if (auto Done = writeAll(Out.descriptor(), Identity.text() + "\n"); !Done)
      return Done;
    if (::fsync(Out.descriptor()) != 0)
      return systemError("cannot flush the identity file in " +
                         Folder.string());
    return syncFolder(Folder);
  }

  /// Opens a segment for appending and truncates it to \p Length bytes.
  Expected<void> startSegment(std::uint64_t Number, std::uint64_t Length) {
    CurrentFile = File(pathOf(Number), O_WRONLY | O_CREAT | O_APPEND);
    if (!CurrentFile.isOpen())
      return systemError("cannot open " + pathOf(Number).string());
    if (::ftruncate(CurrentFile.descriptor(), static_cast<off_t>(Length)) !=
            0 ||
        ::fsync(CurrentFile.descriptor()) != 0)
      return systemError("cannot truncate " + pathOf(Number).string());
    Segment = Number;
    Bytes = Length;
    return syncFolder(Folder);
  }

  /// Returns how many bytes of the segment are intact frames.
  Expected<std::uint64_t> readSegment(std::uint64_t Number,
                                      const FrameCallback &OnFrame) {
    const File Segment(pathOf(Number), O_RDONLY);
    if (!Segment.isOpen())
      return systemError("cannot open " + pathOf(Number).string());
    auto Intact =
        readFrames(Segment.descriptor(), [&](std::uint64_t Offset,
                                             std::string_view Payload) {
          OnFrame({Number, Offset, static_cast<std::uint32_t>(Payload.size())},
                  Payload);
        });
    if (!Intact)
      return refuse(ErrorKind::Internal,
                    pathOf(Number).string() + ": " + Intact.error().Message);
    const auto Size = sizeOf(Segment.descriptor());
    if (!Size)
      return tl::unexpected(Size.error());
    if (*Size > *Intact)
      UnreadEnds.push_back({Number, *Size - *Intact});
    return Intact;
  }

  Expected<void> load(const FrameCallback &OnFrame) {
    const auto Numbers = segmentsIn(Folder);
    if (!Numbers)
      return tl::unexpected(Numbers.error());
    std::uint64_t IntactBytes = 0;
    for (const std::uint64_t Number : *Numbers) {
      const auto Intact = readSegment(Number, OnFrame);
      if (!Intact)
        return tl::unexpected(Intact.error());
      IntactBytes = *Intact;
    }
    return startSegment(Numbers->empty() ? 1 : Numbers->back(), IntactBytes);
  }
};

Journal::Journal(std::unique_ptr<Impl> Inner) : Inner(std::move(Inner)) {}
Journal::~Journal() = default;

Expected<std::unique_ptr<Journal>> Journal::open(const fs::path &Folder,
                                                 const FolderId &NewFolder,
                                                 const FrameCallback &OnFrame) {
  auto Inner = std::make_unique<Impl>();
  Inner->Folder = Folder;
  if (auto Done = Inner->loadIdentity(NewFolder); !Done)
    return tl::unexpected(Done.error());
  if (auto Done = Inner->load(OnFrame); !Done)
    return tl::unexpected(Done.error());
  return std::unique_ptr<Journal>(new Journal(std::move(Inner)));
}

const FolderId &Journal::folderId() const { return Inner->Identity; }
bool Journal::isFresh() const { return Inner->Fresh; }
std::uint64_t Journal::currentSegment() const { return Inner->Segment; }
const std::vector<UnreadEnd> &Journal::unreadEnds() const {
  return Inner->UnreadEnds;
}

Expected<std::vector<FrameLocation>>
Journal::write(const std::vector<std::string> &Frames) {
  if (auto Writable = Inner->checkWritable(); !Writable)
    return tl::unexpected(Writable.error());
  std::string Out;
  std::vector<FrameLocation> Locations;
  Locations.reserve(Frames.size());
  for (const std::string &Payload : Frames) {
    Locations.push_back({Inner->Segment,
                         Inner->Bytes + Out.size() + HeaderBytes,
                         static_cast<std::uint32_t>(Payload.size())});
    appendFrame(Out, Payload);
  }
  Expected<void> Done = writeAll(Inner->CurrentFile.descriptor(), Out);
  if (Done && ::fdatasync(Inner->CurrentFile.descriptor()) != 0)
    Done = systemError("cannot flush the journal");
  Inner->Broken = !Done;
  Inner->Bytes += Out.size();
  if (!Done)
    return tl::unexpected(Done.error());
  return Locations;
}

Expected<void> Journal::roll() {
  if (auto Writable = Inner->checkWritable(); !Writable)
    return Writable;
  Expected<void> Done = Inner->startSegment(Inner->Segment + 1, 0);
  Inner->Broken = !Done;
  return Done;
}

Expected<void> Journal::removeSegmentsBefore(std::uint64_t Segment) {
  // What was to be copied to later segments may not be there.
  if (auto Writable = Inner->checkWritable(); !Writable)
    return Writable;
  const auto Numbers = segmentsIn(Inner->Folder);
  if (!Numbers)
    return tl::unexpected(Numbers.error());
  for (const std::uint64_t Number : *Numbers) {
    if (Number >= Segment)
      continue;
    std::error_code Failure;
    if (!std::filesystem::remove(Inner->pathOf(Number), Failure) && Failure)
      return refuse(ErrorKind::Internal, "cannot remove " +
                                             Inner->pathOf(Number).string() +
                                             ": " + Failure.message());
  }
  return {};
}

struct FrameReader::Impl {
  fs::path Folder;
  std::map<std::uint64_t, File> OpenSegments;
};

FrameReader::FrameReader(fs::path Folder)
    : Inner(std::make_unique<Impl>(Impl{std::move(Folder), {}})) {}
FrameReader::~FrameReader() = default;

Expected<std::string> FrameReader::read(const FrameLocation &Location) {
  auto Segment = Inner->OpenSegments.find(Location.Segment);
  if (Segment == Inner->OpenSegments.end()) {
    File Opened(segmentPath(Inner->Folder, Location.Segment), O_RDONLY);
    if (!Opened.isOpen())
      return systemError("cannot open segment " +
                         std::to_string(Location.Segment));
    Segment =
        Inner->OpenSegments.emplace(Location.Segment, std::move(Opened)).first;
  }
  auto Payload =
      readAt(Segment->second.descriptor(), Location.Offset, Location.Length);
  if (Payload && Payload->size() < Location.Length)
    return refuse(ErrorKind::Internal, "segment " +
                                           std::to_string(Location.Segment) +
                                           " ends inside a journal frame");
  return Payload;
}

void FrameReader::closeSegmentsBefore(std::uint64_t Segment) {
  Inner->OpenSegments.erase(Inner->OpenSegments.begin(),
                            Inner->OpenSegments.lower_bound(Segment));
}

} // namespace tamarack
