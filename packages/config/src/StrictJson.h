/// Parses JSON text and also finds keys that stand twice in one object,
/// of which an ordinary parser silently keeps the last.
#ifndef TAMARACK_CONFIG_STRICTJSON_H
#define TAMARACK_CONFIG_STRICTJSON_H

#include "tamarack/base/Json.h"

#include <string>
#include <vector>

namespace tamarack::internal {

struct StrictJson {
  Json Value;
  /// Why the text is no JSON; empty when it is.
  std::string Failure;
  /// JSON pointers, but without the indexes of arrays.
  std::vector<std::string> RepeatedKeys;
};

StrictJson parseStrictJson(const std::string &Text);

} // namespace tamarack::internal

#endif // TAMARACK_CONFIG_STRICTJSON_H
