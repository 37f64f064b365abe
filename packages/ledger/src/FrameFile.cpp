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

void writeLittleEndian(std::uint8_t *To, std::uint64_t Number,
                       std::size_t Width) {
  for (std::size_t Byte = 0; Byte < Width; ++Byte)
    To[Byte] = static_cast<std::uint8_t>(Number >> (8 * Byte));
}

std::uint64_t readLittleEndian(const std::uint8_t *From, std::size_t Width) {
  std::uint64_t Number = 0;
  for (std::size_t Byte = 0; Byte < Width; ++Byte)
    Number |= static_cast<std::uint64_t>(From[Byte]) << (8 * Byte);
  return Number;
}

/// The hash of the payload length. It distinguishes a damaged length from a
/// truncated frame.
std::uint64_t lengthHash(const std::uint8_t *Header) {
  return XXH3_64bits(Header, LengthBytes) & 0xffffffffU;
}

Bytes encodeFrame(const Bytes &Payload) {
  Bytes Frame(HeaderBytes + Payload.size());
  writeLittleEndian(Frame.data(), Payload.size(), LengthBytes);
  writeLittleEndian(Frame.data() + LengthBytes, lengthHash(Frame.data()),
                    LengthHashBytes);
  writeLittleEndian(Frame.data() + HashOffset,
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

bool readAll(int File, Bytes &Buffer) {
  std::size_t Done = 0;
  while (Done < Buffer.size()) {
    const ssize_t Got =
        ::read(File, Buffer.data() + Done, Buffer.size() - Done);
    if (Got < 0 && errno == EINTR)
      continue;
    if (Got <= 0)
      return false;
    Done += static_cast<std::size_t>(Got);
  }
  return true;
}

/// The end of the frame at \p Offset; nothing when it lies beyond the end of
/// the file.
std::optional<std::size_t> frameEnd(const Bytes &Contents, std::size_t Offset) {
  if (Contents.size() - Offset < HeaderBytes)
    return std::nullopt;
  const std::uint64_t Length =
      readLittleEndian(Contents.data() + Offset, LengthBytes);
  if (Contents.size() - Offset - HeaderBytes < Length)
    return std::nullopt;
  return Offset + HeaderBytes + Length;
}

/// Whether the length at \p Offset was changed after it was written. Zeros up
/// to the end of the file are no damage: a crash of the machine may leave them
/// where nothing was written.
bool isLengthDamaged(const Bytes &Contents, std::size_t Offset) {
  if (Contents.size() - Offset < HeaderBytes)
    return false;
  const std::uint8_t *Header = Contents.data() + Offset;
  const auto IsZero = [](std::uint8_t Byte) { return Byte == 0; };
  return readLittleEndian(Header + LengthBytes, LengthHashBytes) !=
             lengthHash(Header) &&
         !std::all_of(Header, Contents.data() + Contents.size(), IsZero);
}

bool isPayloadIntact(const Bytes &Contents, std::size_t Offset,
                     std::size_t End) {
  const std::uint8_t *Payload = Contents.data() + Offset + HeaderBytes;
  const std::uint64_t Hash =
      readLittleEndian(Contents.data() + Offset + HashOffset, HashBytes);
  return Hash == XXH3_64bits(Payload, End - Offset - HeaderBytes);
}

} // namespace

FileDescriptor::~FileDescriptor() {
  if (Number >= 0)
    ::close(Number);
}

tl::unexpected<Error> systemError(const std::string &What) {
  return refuse(ErrorKind::Internal, What + ": " + std::strerror(errno));
}

Expected<void> syncDirectory(const std::filesystem::path &Directory) {
  const FileDescriptor Handle(
      ::open(Directory.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (Handle.number() < 0 || ::fsync(Handle.number()) != 0)
    return systemError("cannot flush directory " + Directory.string());
  return {};
}

Expected<void> writeFileAtomically(const std::filesystem::path &Path,
                                   const std::string &Text) {
  const std::filesystem::path Temporary = Path.string() + ".new";
  const FileDescriptor File(::open(
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
    return systemError("cannot determine the size of the file");
  Bytes Contents(static_cast<std::size_t>(Status.st_size));
  if (!readAll(File.number(), Contents))
    return systemError("cannot read the file");
  std::size_t Offset = 0;
  while (Offset < Contents.size()) {
    const std::optional<std::size_t> End = frameEnd(Contents, Offset);
    const bool Intact = End && isPayloadIntact(Contents, Offset, *End);
    if (isLengthDamaged(Contents, Offset) ||
        (!Intact && End && *End < Contents.size()))
      return refuse(ErrorKind::Internal,
                    "damaged frame at byte " + std::to_string(Offset));
    if (!Intact)
      break;
    const std::uint8_t *Start = Contents.data() + Offset + HeaderBytes;
    Frames.emplace_back(Start, Start + (*End - Offset - HeaderBytes));
    Offset = *End;
  }
  Size = Offset;
  TornTail = Offset < Contents.size();
  if (TornTail && ::ftruncate(File.number(), static_cast<off_t>(Offset)) != 0)
    return systemError("cannot truncate the incomplete last frame");
  return {};
}

Expected<void> FrameFile::append(const Bytes &Payload, bool Sync) {
  if (EndUnknown)
    return refuse(ErrorKind::Internal,
                  "an earlier write failed and left the end of the file in an "
                  "unknown state");
  const Bytes Frame = encodeFrame(Payload);
  if (!writeAll(File.number(), Frame.data(), Frame.size())) {
    tl::unexpected<Error> Failure = systemError("cannot write a frame");
    EndUnknown = ::ftruncate(File.number(), static_cast<off_t>(Size)) != 0;
    return Failure;
  }
  if (Sync && ::fdatasync(File.number()) != 0) {
    EndUnknown = true;
    return systemError("cannot flush the file");
  }
  Size += Frame.size();
  return {};
}

} // namespace tamarack::internal
