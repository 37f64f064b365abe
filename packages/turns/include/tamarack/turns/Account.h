/// The token account of a program: the charges of its turns against its budget.
///
/// An open turn is charged with the maximum number of tokens that it may
/// generate, a settled turn with the tokens that were delivered. Merging
/// accounts is commutative, associative and idempotent, so each ledger may
/// hold a different subset of the charges:
///
///   mergeAccount(Merged, FromAnotherLedger);
///   if (!admits(Merged, Turn, MaxTokens, Budget))
///     return refuse(ErrorKind::BudgetExceeded, "...", NotRun::Proved);
#ifndef TAMARACK_TURNS_ACCOUNT_H
#define TAMARACK_TURNS_ACCOUNT_H

#include "tamarack/base/Ids.h"

#include <map>

namespace tamarack {

/// Identifies one turn, unique among all programs.
using TurnId = Id<struct TurnTag>;

struct TurnCharge {
  /// The reserved maximum while the turn is open, the delivered tokens once it
  /// is settled.
  TokenCount Tokens = 0;
  bool Settled = false;

  friend bool operator==(const TurnCharge &, const TurnCharge &) = default;
};

struct Account {
  std::map<TurnId, TurnCharge> Charges;

  friend bool operator==(const Account &, const Account &) = default;
};

/// Returns the merge of two charges of the same turn. A settled charge replaces
/// a reservation and is never replaced by one. Of two charges in the same state
/// the larger one wins, so a repeated settlement cannot lower the charge.
TurnCharge mergeCharges(const TurnCharge &Current, const TurnCharge &Update);
/// Merges all charges of \p Update into \p Target.
void mergeAccount(Account &Target, const Account &Update);
/// Merges the charge of one turn into \p Target and returns whether \p Target
/// changed.
bool addCharge(Account &Target, const TurnId &Turn, const TurnCharge &Update);

/// Returns the sum of settled tokens and open reservations.
TokenCount committedTokens(const Account &Of);

/// Returns whether \p Turn may run in addition to all other charges. The
/// budget may be exceeded by at most half of \p MaxTokens: users accept an
/// overrun of one turn's maximum, and the other half covers turns that are
/// reserved concurrently.
bool admits(const Account &Current, const TurnId &Turn, TokenCount MaxTokens,
            TokenCount Budget);

} // namespace tamarack

#endif // TAMARACK_TURNS_ACCOUNT_H
