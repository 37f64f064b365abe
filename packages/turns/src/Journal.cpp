#include "tamarack/turns/Journal.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <map>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

namespace tamarack {
namespace {

namespace fs = std::filesystem;

constexpr const char *IdentityName = "folder";
constexpr const char *SegmentPrefix = "segment-";
/// Length and checksum before each payload.
constexpr std::size_t HeaderBytes = 12;
/// No frame is longer: a request's body is bounded to 4 MB by the operator.
constexpr std::uint32_t LongestFrame = 64U << 20U;

tl::unexpected<Error> systemError(const std::string &What) {
  return refuse(ErrorKind::Internal, What + ": " + std::strerror(errno));
}

class File {
public:
  File(const fs::path &Path, int Flags)
      : Number(::open(Path.c_str(), Flags | O_CLOEXEC, 0644)) {}
  ~File() { close(); }
  File(const File &) = delete;
  File &operator=(const File &) = delete;
  File(File &&Other) noexcept : Number(std::exchange(Other.Number, -1)) {}
  File &operator=(File &&Other) noexcept {
    close();
    Number = std::exchange(Other.Number, -1);
    return *this;
  }
  int number() const { return Number; }
  bool isOpen() const { return Number >= 0; }

private:
  void close() {
    if (Number >= 0)
      ::close(Number);
    Number = -1;
  }
  int Number;
};

Expected<void> syncFolder(const fs::path &Folder) {
  const File Handle(Folder, O_RDONLY | O_DIRECTORY);
  if (!Handle.isOpen() || ::fsync(Handle.number()) != 0)
    return systemError("cannot flush folder " + Folder.string());
  return {};
}

Expected<void> writeAll(int Number, std::string_view Bytes) {
  while (!Bytes.empty()) {
    const ssize_t Written = ::write(Number, Bytes.data(), Bytes.size());
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

/// Reads up to \p Wanted bytes at \p Offset; fewer at the end of the file.
std::string readAt(int Number, std::uint64_t Offset,
                   std::size_t TargetMembers) {
  std::string Result(TargetMembers, '\0');
  std::size_t Filled = 0;
  while (Filled < TargetMembers) {
    const ssize_t Count =
        ::pread(Number, Result.data() + Filled, TargetMembers - Filled,
                static_cast<off_t>(Offset + Filled));
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count <= 0)
      break;
    Filled += static_cast<std::size_t>(Count);
  }
  Result.resize(Filled);
  return Result;
}

/// Calls \p Found for each whole frame and returns where the first one that is
/// not whole begins.
std::uint64_t
readFrames(int Number,
           const std::function<void(std::uint64_t, std::string_view)> &Found) {
  std::uint64_t At = 0;
  while (true) {
    const std::string Header = readAt(Number, At, HeaderBytes);
    if (Header.size() < HeaderBytes)
      return At;
    std::uint32_t Length = 0;
    std::uint64_t Check = 0;
    std::memcpy(&Length, Header.data(), sizeof Length);
    std::memcpy(&Check, Header.data() + sizeof Length, sizeof Check);
    if (Length > LongestFrame)
      return At;
    const std::string Payload = readAt(Number, At + HeaderBytes, Length);
    if (Payload.size() < Length ||
        XXH64(Payload.data(), Payload.size(), Length) != Check)
      return At;
    Found(At + HeaderBytes, Payload);
    At += HeaderBytes + Length;
  }
}

fs::path segmentPath(const fs::path &Folder, std::uint64_t Number) {
  return Folder / (SegmentPrefix + std::to_string(Number));
}

std::vector<std::uint64_t> segmentsIn(const fs::path &Folder) {
  std::vector<std::uint64_t> Result;
  std::error_code Failure;
  for (const fs::directory_entry &Entry :
       fs::directory_iterator(Folder, Failure)) {
    const std::string Name = Entry.path().filename().string();
    if (Name.rfind(SegmentPrefix, 0) == 0)
      Result.push_back(std::strtoull(Name.c_str() + std::strlen(SegmentPrefix),
                                     nullptr, 10));
  }
  std::sort(Result.begin(), Result.end());
  return Result;
}

std::string readFile(const fs::path &Path) {
  std::ifstream In(Path, std::ios::binary);
  return {std::istreambuf_iterator<char>(In), std::istreambuf_iterator<char>()};
}

} // namespace

struct Journal::Impl {
  fs::path Folder;
  FolderId Identity;
  bool Fresh = false;
  std::uint64_t Segment = 0;
  std::uint64_t Bytes = 0;
  File Current{"", 0};
  bool Broken = false;

  fs::path pathOf(std::uint64_t Number) const {
    return segmentPath(Folder, Number);
  }

  Expected<void> identify(const FolderId &FreshId) {
    std::error_code Failure;
    fs::create_directories(Folder, Failure);
    const std::string Known = readFile(Folder / IdentityName);
    // A torn identity was never answered to anybody.
    if (Known.size() > 1 && Known.back() == '\n') {
      Identity = FolderId(Known.substr(0, Known.size() - 1));
      return {};
    }
    Fresh = true;
    Identity = FreshId;
    for (const std::uint64_t Old : segmentsIn(Folder))
      fs::remove(pathOf(Old), Failure);
    const File Out(Folder / IdentityName, O_WRONLY | O_CREAT | O_TRUNC);
    if (!Out.isOpen())
      return systemError("cannot make the folder's identity");
    if (auto Done = writeAll(Out.number(), Identity.text() + "\n"); !Done)
      return Done;
    if (::fsync(Out.number()) != 0)
      return systemError("cannot flush the folder's identity");
    return syncFolder(Folder);
  }

  Expected<void> start(std::uint64_t Number, std::uint64_t Length) {
    Current = File(pathOf(Number), O_WRONLY | O_CREAT | O_APPEND);
    if (!Current.isOpen())
      return systemError("cannot open " + pathOf(Number).string());
    if (::ftruncate(Current.number(), static_cast<off_t>(Length)) != 0 ||
        ::fsync(Current.number()) != 0)
      return systemError("cannot cut " + pathOf(Number).string());
    Segment = Number;
    Bytes = Length;
    return syncFolder(Folder);
  }

  Expected<void> load(const Load &Found) {
    const std::vector<std::uint64_t> Numbers = segmentsIn(Folder);
    std::uint64_t Whole = 0;
    for (const std::uint64_t Number : Numbers) {
      const File Segment(pathOf(Number), O_RDONLY);
      Whole = readFrames(Segment.number(), [&](std::uint64_t Offset,
                                               std::string_view Payload) {
        Found({Number, Offset, static_cast<std::uint32_t>(Payload.size())},
              Payload);
      });
    }
    return start(Numbers.empty() ? 1 : Numbers.back(), Whole);
  }
};

Journal::Journal(std::unique_ptr<Impl> Inner) : Inner(std::move(Inner)) {}
Journal::~Journal() = default;

Expected<std::unique_ptr<Journal>> Journal::open(const fs::path &Folder,
                                                 const FolderId &Fresh,
                                                 const Load &Found) {
  auto Inner = std::make_unique<Impl>();
  Inner->Folder = Folder;
  if (auto Done = Inner->identify(Fresh); !Done)
    return tl::unexpected(Done.error());
  if (auto Done = Inner->load(Found); !Done)
    return tl::unexpected(Done.error());
  return std::unique_ptr<Journal>(new Journal(std::move(Inner)));
}

const FolderId &Journal::folder() const { return Inner->Identity; }
bool Journal::isFresh() const { return Inner->Fresh; }
std::uint64_t Journal::segment() const { return Inner->Segment; }

Expected<std::vector<FramePlace>>
Journal::write(const std::vector<std::string> &Frames) {
  if (Inner->Broken)
    return refuse(ErrorKind::Internal, "the journal failed before");
  std::string Out;
  std::vector<FramePlace> Places;
  Places.reserve(Frames.size());
  for (const std::string &Payload : Frames) {
    Places.push_back({Inner->Segment, Inner->Bytes + Out.size() + HeaderBytes,
                      static_cast<std::uint32_t>(Payload.size())});
    appendFrame(Out, Payload);
  }
  Expected<void> Done = writeAll(Inner->Current.number(), Out);
  if (Done && ::fdatasync(Inner->Current.number()) != 0)
    Done = systemError("cannot flush the journal");
  Inner->Broken = !Done;
  Inner->Bytes += Out.size();
  if (!Done)
    return tl::unexpected(Done.error());
  return Places;
}

Expected<void> Journal::roll() {
  if (Inner->Broken)
    return refuse(ErrorKind::Internal, "the journal failed before");
  Expected<void> Done = Inner->start(Inner->Segment + 1, 0);
  Inner->Broken = !Done;
  return Done;
}

Expected<void> Journal::dropBefore(std::uint64_t Segment) {
  for (const std::uint64_t Number : segmentsIn(Inner->Folder)) {
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
  std::map<std::uint64_t, File> Open;
};

FrameReader::FrameReader(fs::path Folder)
    : Inner(std::make_unique<Impl>(Impl{std::move(Folder), {}})) {}
FrameReader::~FrameReader() = default;

Expected<std::string> FrameReader::read(const FramePlace &Place) {
  auto Segment = Inner->Open.find(Place.Segment);
  if (Segment == Inner->Open.end()) {
    File Opened(segmentPath(Inner->Folder, Place.Segment), O_RDONLY);
    if (!Opened.isOpen())
      return systemError("cannot open segment " +
                         std::to_string(Place.Segment));
    Segment = Inner->Open.emplace(Place.Segment, std::move(Opened)).first;
  }
  std::string Payload =
      readAt(Segment->second.number(), Place.Offset, Place.Length);
  if (Payload.size() < Place.Length)
    return refuse(ErrorKind::Internal, "a frame of the journal is cut off");
  return Payload;
}

void FrameReader::forgetBefore(std::uint64_t Segment) {
  Inner->Open.erase(Inner->Open.begin(), Inner->Open.lower_bound(Segment));
}

} // namespace tamarack
