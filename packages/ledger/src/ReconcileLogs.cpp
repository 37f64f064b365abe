#include "tamarack/ledger/Takeover.h"

#include <algorithm>
#include <set>

namespace tamarack {

namespace {

using Log = std::vector<Record>;
/// A call's attempt, unique within a root's log.
using AttemptKey = std::pair<CallId, std::uint32_t>;

std::size_t commonPrefix(const Log &Left, const Log &Right) {
  const auto Ends =
      std::mismatch(Left.begin(), Left.end(), Right.begin(), Right.end());
  return static_cast<std::size_t>(Ends.first - Left.begin());
}

std::size_t commonPrefix(const std::vector<const Log *> &Logs) {
  std::size_t Length = Logs.front()->size();
  for (const Log *Other : Logs)
    Length = std::min(Length, commonPrefix(*Logs.front(), *Other));
  return Length;
}

bool holds(const Log &Where, std::size_t From, const Record &Entry) {
  return std::find(Where.begin() + static_cast<std::ptrdiff_t>(From),
                   Where.end(), Entry) != Where.end();
}

/// The logs, the longest first, in an order that depends on content only.
std::vector<const Log *> inOrder(const std::vector<SealedLog> &Sealed) {
  std::vector<const Log *> Logs;
  Logs.reserve(Sealed.size());
  for (const SealedLog &Copy : Sealed)
    Logs.push_back(&Copy.Records);
  std::sort(Logs.begin(), Logs.end(), [](const Log *Left, const Log *Right) {
    if (Left->size() != Right->size())
      return Left->size() > Right->size();
    return *Left < *Right;
  });
  return Logs;
}

/// The attempts that have a result on any copy.
std::set<AttemptKey> answeredIn(const std::vector<const Log *> &Logs) {
  std::set<AttemptKey> Answered;
  for (const Log *Copy : Logs)
    for (const Record &Entry : *Copy)
      if (const auto *Body = std::get_if<AttemptResult>(&Entry.Body))
        Answered.emplace(Body->Call, Body->Attempt);
  return Answered;
}

/// Every record past \p Prefix that some copy holds, each once.
Log mergedTail(const std::vector<const Log *> &Logs, std::size_t Prefix) {
  Log Merged;
  for (const Log *Copy : Logs)
    for (std::size_t Index = Prefix; Index < Copy->size(); ++Index)
      if (!holds(Merged, 0, (*Copy)[Index]))
        Merged.push_back((*Copy)[Index]);
  return Merged;
}

/// Whether the attempt may have been sent: its sender needed the word of every
/// copy, and a result proves that it had it.
bool maySend(const Record &Entry, const Intent &Body,
             const std::vector<const Log *> &Logs, std::size_t Prefix,
             const std::set<AttemptKey> &Answered) {
  if (Answered.count({Body.Call, Body.Attempt}) != 0)
    return true;
  return std::all_of(Logs.begin(), Logs.end(), [&](const Log *Copy) {
    return holds(*Copy, Prefix, Entry);
  });
}

std::vector<OpenCall> unanswered(const Log &Agreed,
                                 const std::set<AttemptKey> &Answered) {
  std::vector<OpenCall> Open;
  for (const Record &Entry : Agreed)
    if (const auto *Body = std::get_if<Intent>(&Entry.Body))
      if (Answered.count({Body->Call, Body->Attempt}) == 0)
        Open.push_back({Entry.Program, *Body, OpenCallResolution::AskEndpoint});
  return Open;
}

Install installOf(const Log &Held, const Log &Wanted, const ProgramId &Root,
                  Epoch At) {
  const std::size_t From = commonPrefix(Held, Wanted);
  const auto Tail = Wanted.begin() + static_cast<std::ptrdiff_t>(From);
  return {At, Root, From, Log(Tail, Wanted.end())};
}

std::vector<Repair> repairsTo(const Log &Agreed,
                              const std::vector<SealedLog> &Sealed,
                              const ProgramId &Root, Epoch At) {
  std::vector<Repair> Repairs;
  for (const SealedLog &Copy : Sealed)
    if (Copy.Records != Agreed)
      Repairs.push_back(
          {Copy.Folder, installOf(Copy.Records, Agreed, Root, At)});
  return Repairs;
}

} // namespace

LogReconciliation reconcileLogs(const ProgramId &Root,
                                const std::vector<SealedLog> &Sealed,
                                std::size_t NamedCopies, Epoch At) {
  LogReconciliation Agreed;
  if (Sealed.empty())
    return Agreed;
  Agreed.Complete = Sealed.size() == NamedCopies;
  const std::vector<const Log *> Logs = inOrder(Sealed);
  const std::size_t Prefix = commonPrefix(Logs);
  const std::set<AttemptKey> Answered = answeredIn(Logs);
  const auto PrefixEnd =
      Logs.front()->begin() + static_cast<std::ptrdiff_t>(Prefix);
  Agreed.Log.assign(Logs.front()->begin(), PrefixEnd);
  std::vector<OpenCall> Cut;
  for (Record &Entry : mergedTail(Logs, Prefix)) {
    const auto *Body = std::get_if<Intent>(&Entry.Body);
    if (Body && !maySend(Entry, *Body, Logs, Prefix, Answered))
      Cut.push_back({Entry.Program, *Body, OpenCallResolution::NotRun});
    else
      Agreed.Log.push_back(std::move(Entry));
  }
  Agreed.Repairs = repairsTo(Agreed.Log, Sealed, Root, At);
  Agreed.OpenCalls = unanswered(Agreed.Log, Answered);
  Agreed.OpenCalls.insert(Agreed.OpenCalls.end(), Cut.begin(), Cut.end());
  return Agreed;
}

std::vector<Install>
installsForCopy(const std::map<ProgramId, std::vector<Record>> &Held,
                const std::map<ProgramId, std::vector<Record>> &Wanted,
                Epoch At) {
  std::map<ProgramId, std::pair<Log, Log>> Logs;
  for (const auto &[Root, Records] : Held)
    Logs[Root].first = Records;
  for (const auto &[Root, Records] : Wanted)
    Logs[Root].second = Records;
  std::vector<Install> Changes;
  Changes.reserve(Logs.size());
  for (const auto &[Root, Pair] : Logs)
    Changes.push_back(installOf(Pair.first, Pair.second, Root, At));
  return Changes;
}

} // namespace tamarack
