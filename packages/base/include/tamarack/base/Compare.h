/// Comparison operators for plain value types.
///
/// A type whose member function `auto tied() const` returns std::tie of its
/// members gets the operators ==, != and <:
///
///   struct Point {
///     int X, Y;
///     auto tied() const { return std::tie(X, Y); }
///   };
#ifndef TAMARACK_BASE_COMPARE_H
#define TAMARACK_BASE_COMPARE_H

#include <tuple>
#include <utility>

namespace tamarack {

template <typename T, typename = decltype(std::declval<const T &>().tied())>
bool operator==(const T &Left, const T &Right) {
  return Left.tied() == Right.tied();
}

template <typename T, typename = decltype(std::declval<const T &>().tied())>
bool operator!=(const T &Left, const T &Right) {
  return !(Left == Right);
}

template <typename T, typename = decltype(std::declval<const T &>().tied())>
bool operator<(const T &Left, const T &Right) {
  return Left.tied() < Right.tied();
}

} // namespace tamarack

#endif // TAMARACK_BASE_COMPARE_H
