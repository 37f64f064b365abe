/// How much memory the messages in flight of a process take, with one limit.
///
///   auto Account = std::make_shared<MemoryAccount>(32U << 20U);
///   MemoryShare Body(Account, MemoryUse::Requests);
///   if (!Body.resize(Text.size() + Piece.size()))
///     ... // Too little is left: refuse the request.
///
/// Limits of single messages do not bound their sum, as there may be any number
/// of connections. The larger a share is, the more of the account it must leave
/// free: large shares together get half of the account at most, and the last
/// eighth is for shares of a few kilobytes. So a small message finds room while
/// large ones are refused, in whatever order they come. Nothing waits for
/// memory, as what waits would keep what it has.
#ifndef TAMARACK_NET_MEMORYACCOUNT_H
#define TAMARACK_NET_MEMORYACCOUNT_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace tamarack {

/// What a share is for.
enum class MemoryUse {
  /// Requests of callers, and what is sent to endpoints for them.
  Requests,
  /// Responses of endpoints, and what is kept of them.
  Responses,
};

inline constexpr std::array<MemoryUse, 2> AllMemoryUses = {
    MemoryUse::Requests, MemoryUse::Responses};

/// The name of \p Use in logs and metrics.
const char *nameOf(MemoryUse Use);

/// What all shares may take of an account of \p LimitBytes after one has grown
/// to \p Bytes.
std::size_t maxUsedAfter(std::size_t Bytes, std::size_t LimitBytes);

/// Whether a share may grow to \p Bytes if others take \p OtherBytes of an
/// account of \p LimitBytes.
bool mayGrowTo(std::size_t Bytes, std::size_t OtherBytes,
               std::size_t LimitBytes);

class MemoryAccount {
public:
  explicit MemoryAccount(std::size_t LimitBytes) : LimitBytes(LimitBytes) {}

  std::size_t limit() const { return LimitBytes; }
  /// What all shares take.
  std::size_t used() const;
  std::size_t used(MemoryUse Use) const { return Used.at(indexOf(Use)); }
  /// The number of times that a share could not grow.
  std::uint64_t refusals() const { return Refusals; }
  /// Whether a share could grow to \p Bytes if there were no others.
  bool canEverHold(std::size_t Bytes) const {
    return mayGrowTo(Bytes, 0, LimitBytes);
  }

private:
  friend class MemoryShare;
  static std::size_t indexOf(MemoryUse Use) {
    return static_cast<std::size_t>(Use);
  }

  const std::size_t LimitBytes;
  std::array<std::size_t, AllMemoryUses.size()> Used{};
  std::uint64_t Refusals = 0;
};

/// A part of an account, which is given back when this object is destroyed.
class MemoryShare {
public:
  /// Without an account, the share is not limited.
  MemoryShare(std::shared_ptr<MemoryAccount> Account, MemoryUse Use)
      : Account(std::move(Account)), Use(Use) {}
  ~MemoryShare();
  MemoryShare(const MemoryShare &) = delete;
  MemoryShare &operator=(const MemoryShare &) = delete;

  /// Sets the size of the share. Returns false, and changes nothing, if the
  /// account does not let it grow so far.
  [[nodiscard]] bool resize(std::size_t Bytes);
  /// Makes the share \p Bytes large, which must not be more than it has.
  void shrinkTo(std::size_t Bytes);
  std::size_t size() const { return Bytes; }

private:
  std::size_t &usedBytes() {
    return Account->Used.at(MemoryAccount::indexOf(Use));
  }

  const std::shared_ptr<MemoryAccount> Account;
  const MemoryUse Use;
  std::size_t Bytes = 0;
};

/// The capacity to reserve for a text of \p Size bytes that was longer than its
/// capacity of \p Capacity bytes. It grows in proportion, but not beyond
/// \p ExpectedSize, the size that the text will have in the end; zero if it is
/// not known.
std::size_t grownCapacity(std::size_t Size, std::size_t Capacity,
                          std::size_t ExpectedSize);

/// Appends \p Piece to \p Text, of which \p Share takes the capacity and
/// \p OtherBytes besides. Returns false, and changes nothing, if the share
/// cannot grow so far.
[[nodiscard]] bool appendWithin(MemoryShare &Share, std::string &Text,
                                std::string_view Piece, std::size_t OtherBytes,
                                std::size_t ExpectedSize = 0);

} // namespace tamarack

#endif // TAMARACK_NET_MEMORYACCOUNT_H
