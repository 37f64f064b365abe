#include "tamarack/turns/Account.h"

#include <algorithm>

namespace tamarack {

TurnCharge mergeCharges(const TurnCharge &Current, const TurnCharge &Update) {
  if (Current.Settled != Update.Settled)
    return Current.Settled ? Current : Update;
  return {std::max(Current.Tokens, Update.Tokens), Current.Settled};
}

bool addCharge(Account &Target, const TurnId &Turn, const TurnCharge &Update) {
  const auto [Entry, Added] = Target.Charges.emplace(Turn, Update);
  if (Added)
    return true;
  const TurnCharge Result = mergeCharges(Entry->second, Update);
  const bool Changed = !(Result == Entry->second);
  Entry->second = Result;
  return Changed;
}

void mergeAccount(Account &Target, const Account &Update) {
  for (const auto &[Turn, Charge] : Update.Charges)
    addCharge(Target, Turn, Charge);
}

TokenCount committedTokens(const Account &Of) {
  TokenCount Sum = 0;
  for (const auto &[Turn, Charge] : Of.Charges)
    Sum += Charge.Tokens;
  return Sum;
}

bool admits(const Account &Current, const TurnId &Turn, TokenCount MaxTokens,
            TokenCount Budget) {
  TokenCount Others = committedTokens(Current);
  const auto Own = Current.Charges.find(Turn);
  if (Own != Current.Charges.end())
    Others -= Own->second.Tokens;
  return Others + MaxTokens <= Budget + MaxTokens / 2;
}

} // namespace tamarack
