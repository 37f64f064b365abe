/// An item of the platform's key-value store.
#ifndef TAMARACK_FEED_STOREITEM_H
#define TAMARACK_FEED_STOREITEM_H

#include <cstdint>
#include <string>

namespace tamarack {

/// Revision of the store; it grows with each change of any key.
using Revision = std::uint64_t;

struct StoreItem {
  std::string Key;
  /// The bytes, decoded from base64.
  std::string Value;
  /// Revision of the last change of the key; 0 if the key does not exist.
  Revision ModRevision = 0;
  /// Set in changes: the key was removed.
  bool Removed = false;

  friend bool operator==(const StoreItem &, const StoreItem &) = default;
};

} // namespace tamarack

#endif // TAMARACK_FEED_STOREITEM_H
