/// A folder for one test, removed with it.
#ifndef TAMARACK_CONFIG_TEST_TEMPORARYFOLDER_H
#define TAMARACK_CONFIG_TEST_TEMPORARYFOLDER_H

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

namespace tamarack {

class TemporaryFolder {
public:
  TemporaryFolder() {
    std::string Name =
        (std::filesystem::temp_directory_path() / "tamarack-XXXXXX").string();
    Path = ::mkdtemp(Name.data());
  }
  ~TemporaryFolder() { std::filesystem::remove_all(Path); }
  TemporaryFolder(const TemporaryFolder &) = delete;
  TemporaryFolder &operator=(const TemporaryFolder &) = delete;

  const std::filesystem::path &path() const { return Path; }

  std::string write(const std::string &Name, const std::string &Text) const {
    const std::filesystem::path File = Path / Name;
    std::ofstream(File) << Text;
    return File.string();
  }

private:
  std::filesystem::path Path;
};

} // namespace tamarack

#endif // TAMARACK_CONFIG_TEST_TEMPORARYFOLDER_H
