#include "FrameFile.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <optional>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

namespace tamarack::internal {

namespace {

constexpr std::size_t LengthBytes = 4;
constexpr std::size_t LengthHashBytes = 4;
constexpr std::size_t HashBytes = 8;
constexpr std::size_t HashOffset = LengthBytes + LengthHashBytes;
constexpr std::size_t HeaderBytes = HashOffset + HashBytes;
constexpr mode_t FileMode = 0640;

void putNumber(std::uint8_t *To, std::uint64_t Number, std::size_t Width) {
  for (std::size_t Byte = 0; Byte < Width; ++Byte)
    To[Byte] = static_cast<std::uint8_t>(Number >> (8 * Byte));
}

std::uint64_t takeNumber(const std::uint8_t *From, std::size_t Width) {
  std::uint64_t Number = 0;
  for (std::size_t Byte = 0; Byte < Width; ++Byte)
    Number |= static_cast<std::uint64_t>(From[Byte]) << (8 * Byte);
  return Number;
}

/// Tells a damaged length from a frame that was cut short.
std::uint64_t lengthHash(const std::uint8_t *Header) {
  return XXH3_64bits(Header, LengthBytes) & 0xffffffffU;
}

Bytes frameOf(const Bytes &Payload) {
  Bytes Frame(HeaderBytes + Payload.size());
  putNumber(Frame.data(), Payload.size(), LengthBytes);
  putNumber(Frame.data() + LengthBytes, lengthHash(Frame.data()),
            LengthHashBytes);
  putNumber(Frame.data() + HashOffset,
            XXH3_64bits(Payload.data(), Payload.size()), HashBytes);
  std::copy(Payload.begin(), Payload.end(), Frame.begin() + HeaderBytes);
  return Frame;
}

bool writeAll(int File, const std::uint8_t *Data, std::size_t Length) {
  while (Length > 0) {
    const ssize_t Written = ::write(File, Data, Length);
    if (Written < 0 && errno == EINTR)
      continue;
    if (Written <= 0)
      return false;
    Data += Written;
    Length -= static_cast<std::size_t>(Written);
  }
  return true;
}

bool readAll(int File, Bytes &Into) {
  std::size_t Done = 0;
  while (Done < Into.size()) {
    const ssize_t Got = ::read(File, Into.data() + Done, Into.size() - Done);
    if (Got < 0 && errno == EINTR)
      continue;
    if (Got <= 0)
      return false;
    Done += static_cast<std::size_t>(Got);
  }
  return true;
}

/// The end of the frame at \p Offset, or nothing when it passes the file's.
std::optional<std::size_t> frameEnd(const Bytes &Whole, std::size_t Offset) {
  if (Whole.size() - Offset < HeaderBytes)
    return std::nullopt;
  const std::uint64_t Length = takeNumber(Whole.data() + Offset, LengthBytes);
  if (Whole.size() - Offset - HeaderBytes < Length)
    return std::nullopt;
  return Offset + HeaderBytes + Length;
}

/// Whether the length at \p Offset was changed after it was written. A crash
/// of the machine may leave zeros where nothing was written.
bool isLengthDamaged(const Bytes &Whole, std::size_t Offset) {
  if (Whole.size() - Offset < HeaderBytes)
    return false;
  const std::uint8_t *Header = Whole.data() + Offset;
  const auto IsZero = [](std::uint8_t Byte) { return Byte == 0; };
  return takeNumber(Header + LengthBytes, LengthHashBytes) !=
             lengthHash(Header) &&
         !std::all_of(Header, Whole.data() + Whole.size(), IsZero);
}

bool isSound(const Bytes &Whole, std::size_t Offset, std::size_t End) {
  const std::uint8_t *Payload = Whole.data() + Offset + HeaderBytes;
  const std::uint64_t Hash =
      takeNumber(Whole.data() + Offset + HashOffset, HashBytes);
  return Hash == XXH3_64bits(Payload, End - Offset - HeaderBytes);
}

} // namespace

Descriptor::~Descriptor() {
  if (Number >= 0)
    ::close(Number);
}

tl::unexpected<Error> systemError(const std::string &What) {
  return refuse(ErrorKind::Internal, What + ": " + std::strerror(errno));
}

Expected<void> syncDirectory(const std::filesystem::path &Directory) {
  const Descriptor Handle(
      ::open(Directory.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (Handle.number() < 0 || ::fsync(Handle.number()) != 0)
    return systemError("cannot flush " + Directory.string());
  return {};
}

Expected<void> writeWhole(const std::filesystem::path &Path,
                          const std::string &Text) {
  const std::filesystem::path Temporary = Path.string() + ".new";
  const Descriptor File(::open(
      Temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, FileMode));
  const auto *Data = reinterpret_cast<const std::uint8_t *>(Text.data());
  if (File.number() < 0 || !writeAll(File.number(), Data, Text.size()) ||
      ::fsync(File.number()) != 0 ||
      ::rename(Temporary.c_str(), Path.c_str()) != 0)
    return systemError("cannot write " + Path.string());
  return syncDirectory(Path.parent_path());
}

Expected<std::unique_ptr<FrameFile>>
FrameFile::open(const std::filesystem::path &Path, std::vector<Bytes> &Frames) {
  const int Number =
      ::open(Path.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, FileMode);
  if (Number < 0)
    return systemError("cannot open " + Path.string());
  std::unique_ptr<FrameFile> File(new FrameFile(Number));
  if (Expected<void> Loaded = File->load(Frames); !Loaded)
    return refuse(Loaded.error().Kind,
                  Path.string() + ": " + Loaded.error().Message);
  if (Expected<void> Synced = syncDirectory(Path.parent_path()); !Synced)
    return tl::unexpected(Synced.error());
  return File;
}

Expected<void> FrameFile::load(std::vector<Bytes> &Frames) {
  struct stat Status {};
  if (::fstat(File.number(), &Status) != 0)
    return systemError("cannot measure");
  Bytes Whole(static_cast<std::size_t>(Status.st_size));
  if (!readAll(File.number(), Whole))
    return systemError("cannot read");
  std::size_t Offset = 0;
  while (Offset < Whole.size()) {
    const std::optional<std::size_t> End = frameEnd(Whole, Offset);
    const bool Sound = End && isSound(Whole, Offset, *End);
    if (isLengthDamaged(Whole, Offset) ||
        (!Sound && End && *End < Whole.size()))
      return refuse(ErrorKind::Internal,
                    "damaged at byte " + std::to_string(Offset));
    if (!Sound)
      break;
    const std::uint8_t *Start = Whole.data() + Offset + HeaderBytes;
    Frames.emplace_back(Start, Start + (*End - Offset - HeaderBytes));
    Offset = *End;
  }
  Size = Offset;
  TornTail = Offset < Whole.size();
  if (TornTail && ::ftruncate(File.number(), static_cast<off_t>(Offset)) != 0)
    return systemError("cannot drop the incomplete end");
  return {};
}

Expected<void> FrameFile::append(const Bytes &Payload, bool Sync) {
  if (Broken)
    return refuse(ErrorKind::Internal, "an earlier write failed");
  const Bytes Frame = frameOf(Payload);
  if (!writeAll(File.number(), Frame.data(), Frame.size())) {
    tl::unexpected<Error> Failure = systemError("cannot write");
    Broken = ::ftruncate(File.number(), static_cast<off_t>(Size)) != 0;
    return Failure;
  }
  if (Sync && ::fdatasync(File.number()) != 0) {
    Broken = true;
    return systemError("cannot flush");
  }
  Size += Frame.size();
  return {};
}

} // namespace tamarack::internal
