#include "tamarack/turns/Account.h"

#include <algorithm>

namespace tamarack {

TurnCharge merged(const TurnCharge &Known, const TurnCharge &Next) {
  if (Known.Settled != Next.Settled)
    return Known.Settled ? Known : Next;
  return {std::max(Known.Tokens, Next.Tokens), Known.Settled};
}

bool charge(Account &Known, const TurnId &Turn, const TurnCharge &Next) {
  const auto [Place, Added] = Known.Charges.emplace(Turn, Next);
  if (Added)
    return true;
  const TurnCharge Result = merged(Place->second, Next);
  const bool Changed = !(Result == Place->second);
  Place->second = Result;
  return Changed;
}

void mergeInto(Account &Known, const Account &Next) {
  for (const auto &[Turn, Charge] : Next.Charges)
    charge(Known, Turn, Charge);
}

TokenCount committedTokens(const Account &Known) {
  TokenCount Sum = 0;
  for (const auto &[Turn, Charge] : Known.Charges)
    Sum += Charge.Tokens;
  return Sum;
}

bool admits(const Account &Known, const TurnId &Turn, TokenCount MostTokens,
            TokenCount Budget) {
  TokenCount Others = committedTokens(Known);
  const auto Own = Known.Charges.find(Turn);
  if (Own != Known.Charges.end())
    Others -= Own->second.Tokens;
  return Others + MostTokens <= Budget + MostTokens / 2;
}

} // namespace tamarack
