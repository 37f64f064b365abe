#include "tamarack/base/SecretCompare.h"

#include <cstddef>

namespace tamarack {

bool isSameSecret(std::string_view Own, std::string_view Presented) {
  // volatile prevents the compiler from ending the loop at the first
  // difference.
  volatile unsigned Difference = Own.size() == Presented.size() ? 0U : 1U;
  for (std::size_t At = 0; At < Presented.size(); ++At) {
    const char OwnByte = Own.empty() ? '\0' : Own[At % Own.size()];
    Difference =
        Difference | static_cast<unsigned char>(OwnByte ^ Presented[At]);
  }
  return Difference == 0 && !Own.empty();
}

} // namespace tamarack
