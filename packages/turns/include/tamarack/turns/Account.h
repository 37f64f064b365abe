/// The token account of a program: which turns draw on its budget.
///
/// An account is a set of turns. A turn is reserved at the most that it may
/// generate until it is settled at what was handed out. Accounts merge in any
/// order and any number of times, so that each ledger may hold another part:
///
///   Account Known = merged(FromOneLedger, FromAnother);
///   if (!admits(Known, Turn, MostTokens, Budget))
///     return refuse(ErrorKind::BudgetExceeded, "...", NotRun::Proved);
#ifndef TAMARACK_TURNS_ACCOUNT_H
#define TAMARACK_TURNS_ACCOUNT_H

#include "tamarack/base/Ids.h"

#include <map>

namespace tamarack {

/// One turn, unique among all programs.
using TurnId = Id<struct TurnTag>;

struct TurnCharge {
  /// At the most while the turn is open, as handed out once it is settled.
  TokenCount Tokens = 0;
  bool Settled = false;

  friend bool operator==(const TurnCharge &, const TurnCharge &) = default;
};

struct Account {
  std::map<TurnId, TurnCharge> Charges;

  friend bool operator==(const Account &, const Account &) = default;
};

/// Adds \p Next to what is known of a turn. A settled charge replaces a
/// reservation and is never replaced by one; of two settled ones the larger
/// stays, so that a repeated settlement cannot lower it.
TurnCharge merged(const TurnCharge &Known, const TurnCharge &Next);
void mergeInto(Account &Known, const Account &Next);
/// Returns whether the account changed.
bool charge(Account &Known, const TurnId &Turn, const TurnCharge &Next);

/// Settled tokens and open reservations together.
TokenCount committedTokens(const Account &Known);

/// Whether \p Turn may run besides all other charges. The budget may be
/// exceeded by at most half of the turn's most; the users allow one turn's
/// most, and the other half absorbs turns that are reserved at the same time.
bool admits(const Account &Known, const TurnId &Turn, TokenCount MostTokens,
            TokenCount Budget);

} // namespace tamarack

#endif // TAMARACK_TURNS_ACCOUNT_H
