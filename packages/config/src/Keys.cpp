#include "tamarack/config/Keys.h"

#include "tamarack/base/SecretCompare.h"

#include "StrictJson.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <sys/stat.h>

namespace tamarack {
namespace {

constexpr std::string_view BearerPrefix = "Bearer ";

tl::unexpected<Error> refuseFile(const std::string &Path, const char *Why) {
  return refuse(ErrorKind::InvalidConfiguration, Path + ": " + Why);
}

Expected<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path);
  std::stringstream Text;
  if (!File)
    return refuseFile(Path, "no readable key file");
  Text << File.rdbuf();
  return Text.str();
}

std::string trimmed(const std::string &Text) {
  const char *const Blank = " \t\r\n";
  const std::size_t First = Text.find_first_not_of(Blank);
  if (First == std::string::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Blank) - First + 1);
}

/// Printable ASCII without spaces, as a header's value allows.
bool isPresentable(const std::string &Secret) {
  return !Secret.empty() &&
         std::all_of(Secret.begin(), Secret.end(),
                     [](char C) { return C > 32 && C < 127; });
}

} // namespace

Expected<Key> loadKey(const std::string &Path) {
  const Expected<std::string> Text = readFile(Path);
  if (!Text)
    return tl::make_unexpected(Text.error());
  const std::string Secret = trimmed(*Text);
  if (Secret.empty())
    return refuseFile(Path, "the key is empty");
  if (!isPresentable(Secret))
    return refuseFile(Path, "the key is not one word of printable ASCII");
  return Key(Secret);
}

std::optional<std::string> keyFileWarning(const std::string &Path) {
  struct stat Status = {};
  if (::stat(Path.c_str(), &Status) != 0 ||
      (Status.st_mode & (S_IRWXG | S_IRWXO)) == 0)
    return std::nullopt;
  return Path + " is open to others than its owner; expected mode 600";
}

bool matches(const Key &Own, std::string_view Presented) {
  return isSameSecret(Own.secret(), Presented);
}

Expected<CallerKeys> loadCallerKeys(const std::string &Path) {
  const Expected<std::string> Text = readFile(Path);
  if (!Text)
    return tl::make_unexpected(Text.error());
  const internal::StrictJson Parsed = internal::parseStrictJson(*Text);
  // The parser's message quotes the text, which holds keys.
  if (!Parsed.Failure.empty() || !Parsed.Value.is_object())
    return refuseFile(Path, "not a JSON object from key to customer");
  if (!Parsed.RepeatedKeys.empty())
    return refuseFile(Path, "a key stands more than once");
  CallerKeys Keys;
  for (const auto &Row : Parsed.Value.items()) {
    if (!isPresentable(Row.key()))
      return refuseFile(Path, "a key is not one word of printable ASCII");
    if (!Row.value().is_string() || Row.value().get<std::string>().empty())
      return refuseFile(Path, "a key has no customer's name");
    Keys.Rows.push_back(
        {Key(Row.key()), CustomerId(Row.value().get<std::string>())});
  }
  return Keys;
}

std::optional<CustomerId> customerOf(const CallerKeys &Keys,
                                     std::string_view Presented) {
  std::optional<CustomerId> Customer;
  for (const CallerKeys::Row &Row : Keys.Rows)
    if (matches(Row.Secret, Presented))
      Customer = Row.Customer;
  return Customer;
}

std::string_view bearerKey(std::string_view Header) {
  if (Header.substr(0, BearerPrefix.size()) != BearerPrefix)
    return {};
  return Header.substr(BearerPrefix.size());
}

} // namespace tamarack
