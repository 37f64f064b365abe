#include "tamarack/turns/FetchPlan.h"

#include <algorithm>
#include <unordered_map>

namespace tamarack {
namespace {

/// All that the lists say about one turn.
struct ListedTurn {
  RecordSummary Merged;
  /// The number of kept ledgers with all that Merged says.
  std::size_t Copies = 0;
};

bool hasAllOf(const RecordSummary &Having, const RecordSummary &Of) {
  return Having.Settled >= Of.Settled && Having.HasText >= Of.HasText &&
         Having.OriginAttempt >= Of.OriginAttempt;
}

void merge(RecordSummary &Into, const RecordSummary &Other) {
  // The longest duration is that of a ledger that does not tell it.
  Into.NeededFor = std::max(Into.NeededFor, Other.NeededFor);
  Into.Settled = Into.Settled || Other.Settled;
  Into.HasText = Into.HasText || Other.HasText;
  Into.OriginAttempt = std::max(Into.OriginAttempt, Other.OriginAttempt);
}

using ListedTurns = std::unordered_map<std::string, ListedTurn>;

ListedTurns mergeLists(const std::vector<RecordList> &Lists) {
  ListedTurns Result;
  for (const RecordList &List : Lists)
    for (const RecordSummary &Record : List.Records) {
      const auto [Found, IsNew] =
          Result.try_emplace(Record.Turn.text(), ListedTurn{Record});
      if (!IsNew)
        merge(Found->second.Merged, Record);
    }
  for (const RecordList &List : Lists)
    for (const RecordSummary &Record : List.Records) {
      ListedTurn &Turn = Result.at(Record.Turn.text());
      Turn.Copies += List.IsKept && hasAllOf(Record, Turn.Merged);
    }
  return Result;
}

} // namespace

std::vector<FetchShare> planFetch(const std::vector<RecordList> &Lists,
                                  std::size_t Copies, const TurnStore &Have) {
  const ListedTurns Listed = mergeLists(Lists);
  /// What this ledger will have of the turns planned so far.
  std::unordered_map<std::string, RecordSummary> Planned;
  std::vector<FetchShare> Result;
  for (const RecordList &List : Lists) {
    FetchShare Share{List.Folder, {}, {}};
    std::vector<std::pair<Duration, TurnId>> Texts;
    for (const RecordSummary &Record : List.Records) {
      const ListedTurn &Turn = Listed.at(Record.Turn.text());
      RecordSummary Wanted = Record;
      Wanted.HasText = Record.HasText && Turn.Merged.NeededFor > Duration(0);
      if (Turn.Copies >= Copies || !Have.isMissing(Wanted))
        continue;
      const auto [Found, IsNew] =
          Planned.try_emplace(Record.Turn.text(), Wanted);
      if (!IsNew) {
        if (hasAllOf(Found->second, Wanted))
          continue;
        Wanted.HasText = Wanted.HasText && !Found->second.HasText;
        merge(Found->second, Wanted);
      }
      Share.Records.push_back(Record.Turn);
      if (Wanted.HasText && !Have.hasText(Record.Turn))
        Texts.emplace_back(Turn.Merged.NeededFor, Record.Turn);
    }
    std::stable_sort(Texts.begin(), Texts.end(),
                     [](const auto &Left, const auto &Right) {
                       return Left.first > Right.first;
                     });
    for (auto &[NeededFor, Turn] : Texts)
      Share.Texts.push_back(std::move(Turn));
    Result.push_back(std::move(Share));
  }
  return Result;
}

} // namespace tamarack
