#include "tamarack/net/MemoryAccount.h"

#include <algorithm>
#include <numeric>

namespace tamarack {
namespace {

/// A text grows by a half of its size, so that what is reserved in vain is
/// less than with doubling.
constexpr std::size_t GrowthDivisor = 2;
/// Shares up to this part of the account may use all of it. Each class of
/// larger ones, by ClassFactor, must leave one more of AccountParts free.
constexpr std::size_t SmallestClassDivisor = 8192;
constexpr std::size_t ClassFactor = 8;
constexpr std::size_t AccountParts = 8;
constexpr std::size_t LargestClassParts = 4;

} // namespace

const char *nameOf(MemoryUse Use) {
  return Use == MemoryUse::Requests ? "requests" : "responses";
}

std::size_t maxUsedAfter(std::size_t Bytes, std::size_t LimitBytes) {
  std::size_t Parts = AccountParts;
  for (std::size_t ClassBytes = LimitBytes / SmallestClassDivisor;
       Bytes > ClassBytes && Parts > LargestClassParts;
       ClassBytes *= ClassFactor)
    --Parts;
  return LimitBytes / AccountParts * Parts;
}

bool mayGrowTo(std::size_t Bytes, std::size_t OtherBytes,
               std::size_t LimitBytes) {
  const std::size_t MaxUsed = maxUsedAfter(Bytes, LimitBytes);
  return OtherBytes <= MaxUsed && Bytes <= MaxUsed - OtherBytes;
}

std::size_t MemoryAccount::used() const {
  return std::accumulate(Used.begin(), Used.end(), std::size_t(0));
}

MemoryShare::~MemoryShare() { shrinkTo(0); }

bool MemoryShare::resize(std::size_t NewBytes) {
  if (NewBytes <= Bytes) {
    shrinkTo(NewBytes);
    return true;
  }
  if (Account) {
    if (!mayGrowTo(NewBytes, Account->used() - Bytes, Account->LimitBytes)) {
      ++Account->Refusals;
      return false;
    }
    usedBytes() += NewBytes - Bytes;
  }
  Bytes = NewBytes;
  return true;
}

void MemoryShare::shrinkTo(std::size_t NewBytes) {
  if (Account)
    usedBytes() -= Bytes - NewBytes;
  Bytes = NewBytes;
}

std::size_t grownCapacity(std::size_t Size, std::size_t Capacity,
                          std::size_t ExpectedSize) {
  const std::size_t Grown = Capacity + Capacity / GrowthDivisor;
  if (ExpectedSize >= Size)
    return std::max(Size, std::min(Grown, ExpectedSize));
  return std::max(Size, Grown);
}

bool appendWithin(MemoryShare &Share, std::string &Text, std::string_view Piece,
                  std::size_t OtherBytes, std::size_t ExpectedSize) {
  const std::size_t Size = Text.size() + Piece.size();
  if (Size > Text.capacity()) {
    const std::size_t Capacity =
        grownCapacity(Size, Text.capacity(), ExpectedSize);
    if (!Share.resize(OtherBytes + Capacity))
      return false;
    std::string Grown;
    Grown.reserve(Capacity);
    Grown += Text;
    Text.swap(Grown);
  }
  Text += Piece;
  return true;
}

} // namespace tamarack
