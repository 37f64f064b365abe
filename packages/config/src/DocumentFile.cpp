#include "tamarack/config/Revisions.h"

#include "StrictJson.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace tamarack {
namespace {

constexpr const char *FileName = "operators-document.json";
constexpr const char *NewFileName = "operators-document.json.new";
constexpr int FileMode = 0600;

/// Closes a file descriptor at the end of its scope.
class Descriptor {
public:
  explicit Descriptor(int Number) : Number(Number) {}
  ~Descriptor() {
    if (Number >= 0)
      ::close(Number);
  }
  Descriptor(const Descriptor &) = delete;
  Descriptor &operator=(const Descriptor &) = delete;

  int number() const { return Number; }
  bool isOpen() const { return Number >= 0; }

private:
  int Number;
};

tl::unexpected<Error> refuseErrno(const std::string &What) {
  return refuse(ErrorKind::Internal, What + ": " + std::strerror(errno));
}

bool writeAll(int File, const std::string &Text) {
  std::size_t Written = 0;
  while (Written < Text.size()) {
    const ssize_t Count =
        ::write(File, Text.data() + Written, Text.size() - Written);
    if (Count < 0)
      return false;
    Written += static_cast<std::size_t>(Count);
  }
  return true;
}

Expected<void> writeSynced(const std::string &Path, const std::string &Text) {
  const Descriptor File(
      ::open(Path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, FileMode));
  if (!File.isOpen() || !writeAll(File.number(), Text) ||
      ::fsync(File.number()) != 0)
    return refuseErrno("can't write " + Path);
  return {};
}

/// Without it the rename itself could be lost with the power.
Expected<void> syncFolder(const std::string &Folder) {
  const Descriptor Open(
      ::open(Folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!Open.isOpen() || ::fsync(Open.number()) != 0)
    return refuseErrno("can't sync " + Folder);
  return {};
}

} // namespace

Expected<void> saveDocument(const std::string &Folder,
                            const OperatorDocument &Document) {
  const std::filesystem::path Base(Folder);
  const std::string New = (Base / NewFileName).string();
  Expected<void> Written = writeSynced(New, Json(Document).dump());
  if (!Written)
    return Written;
  if (::rename(New.c_str(), (Base / FileName).c_str()) != 0)
    return refuseErrno("can't rename " + New);
  return syncFolder(Folder);
}

Expected<std::optional<OperatorDocument>>
loadDocument(const std::string &Folder) {
  const std::string Path = (std::filesystem::path(Folder) / FileName).string();
  std::ifstream File(Path);
  if (!File)
    return std::optional<OperatorDocument>();
  std::stringstream Text;
  Text << File.rdbuf();
  const internal::StrictJson Parsed = internal::parseStrictJson(Text.str());
  if (!Parsed.Failure.empty())
    return refuse(ErrorKind::InvalidConfiguration,
                  Path + ": " + Parsed.Failure);
  const Expected<OperatorDocument> Document =
      operatorDocumentFrom(Parsed.Value);
  if (!Document)
    return tl::make_unexpected(Document.error());
  return std::optional<OperatorDocument>(*Document);
}

} // namespace tamarack
