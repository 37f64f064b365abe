/// Compares secrets in a time that does not tell where they differ.
///
///   if (!isSameSecret(Own, Presented))
///     return refuse(ErrorKind::Unauthorized, "wrong key", NotRun::Proved);
#ifndef TAMARACK_BASE_SECRETCOMPARE_H
#define TAMARACK_BASE_SECRETCOMPARE_H

#include <string_view>

namespace tamarack {

/// Takes the same time for every \p Presented of the same length. An empty
/// \p Own matches nothing.
bool isSameSecret(std::string_view Own, std::string_view Presented);

} // namespace tamarack

#endif // TAMARACK_BASE_SECRETCOMPARE_H
