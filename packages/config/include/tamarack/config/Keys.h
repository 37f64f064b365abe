/// The secrets that links between processes, operators and callers show.
///
/// Keys are read from files at the start, are never logged (a Key has no
/// operator<< and no JSON form) and are compared in constant time:
///
///   const Expected<Key> PeerKey = loadKey(Own.PeerKeyFile);
///   if (!PeerKey)
///     return PeerKey.error();
///   if (!matches(*PeerKey, Presented))
///     return refuse(ErrorKind::Unauthorized, "wrong key", NotRun::Proved);
///
/// Counting wrong keys is the caller's work.
#ifndef TAMARACK_CONFIG_KEYS_H
#define TAMARACK_CONFIG_KEYS_H

#include "tamarack/base/Error.h"
#include "tamarack/base/Ids.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack {

/// One secret. Not printable and not comparable but by matches().
class Key {
public:
  explicit Key(std::string Secret) : Secret(std::move(Secret)) {}

  /// For the side that presents the key; never for a log.
  const std::string &secret() const { return Secret; }

private:
  std::string Secret;
};

/// Reads the key in the file at \p Path, without surrounding white space.
/// Refused with InvalidConfiguration where there is no such file, or it is
/// empty, or it holds anything that an HTTP header can't carry.
Expected<Key> loadKey(const std::string &Path);

/// What to warn of at the start when the file at \p Path can be read or
/// written by others than its owner; nothing otherwise.
std::optional<std::string> keyFileWarning(const std::string &Path);

/// Whether \p Presented is the key. Takes the same time for every wrong text
/// of the same length.
bool matches(const Key &Own, std::string_view Presented);

/// The keys of callers, each with the customer it stands for.
struct CallerKeys {
  struct Row {
    Key Secret;
    CustomerId Customer;
  };
  std::vector<Row> Rows;
};

/// Reads a JSON object from key to customer. A customer may have many keys.
Expected<CallerKeys> loadCallerKeys(const std::string &Path);

/// The customer of \p Presented; nothing when no key matches. Compares with
/// all keys, whichever matches.
std::optional<CustomerId> customerOf(const CallerKeys &Keys,
                                     std::string_view Presented);

/// The key in the value of an Authorization header, "Bearer KEY"; empty when
/// it has another form.
std::string_view bearerKey(std::string_view Header);

} // namespace tamarack

#endif // TAMARACK_CONFIG_KEYS_H
