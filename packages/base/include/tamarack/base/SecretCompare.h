/// Constant-time comparison of secrets.
///
///   if (!isSameSecret(Own, Presented))
///     return refuse(ErrorKind::Unauthorized, "wrong key", NotRun::Proved);
#ifndef TAMARACK_BASE_SECRETCOMPARE_H
#define TAMARACK_BASE_SECRETCOMPARE_H

#include <string_view>

namespace tamarack {

/// Takes the same time for all values of \p Presented of the same length, so
/// the time does not reveal where they differ. An empty \p Own matches nothing.
bool isSameSecret(std::string_view Own, std::string_view Presented);

} // namespace tamarack

#endif // TAMARACK_BASE_SECRETCOMPARE_H
