#include "tamarack/ledger/Takeover.h"

#include <algorithm>
#include <set>

namespace tamarack {

namespace {

using Log = std::vector<Record>;
/// Identifies an attempt within the log of a root.
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

bool contains(const Log &Records, std::size_t From, const Record &Entry) {
  return std::find(Records.begin() + static_cast<std::ptrdiff_t>(From),
                   Records.end(), Entry) != Records.end();
}

/// The logs, the longest first, in an order that depends on their content
/// only.
std::vector<const Log *> sortedByContent(const std::vector<SealedLog> &Sealed) {
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

/// The attempts with a result in any of the logs.
std::set<AttemptKey> attemptsWithResult(const std::vector<const Log *> &Logs) {
  std::set<AttemptKey> Answered;
  for (const Log *Copy : Logs)
    for (const Record &Entry : *Copy)
      if (const auto *Body = std::get_if<AttemptResult>(&Entry.Body))
        Answered.emplace(Body->Call, Body->Attempt);
  return Answered;
}

/// The records from index \p Prefix on of all logs, without duplicates.
Log mergedTail(const std::vector<const Log *> &Logs, std::size_t Prefix) {
  Log Merged;
  for (const Log *Copy : Logs)
    for (std::size_t Index = Prefix; Index < Copy->size(); ++Index)
      if (!contains(Merged, 0, (*Copy)[Index]))
        Merged.push_back((*Copy)[Index]);
  return Merged;
}

/// Whether the attempt may have been sent. An attempt is sent only after every
/// copy accepted its intent, and a result proves that it was sent.
bool mayHaveBeenSent(const Record &Entry, const Intent &Body,
                     const std::vector<const Log *> &Logs, std::size_t Prefix,
                     const std::set<AttemptKey> &Answered) {
  if (Answered.count({Body.Call, Body.Attempt}) != 0)
    return true;
  return std::all_of(Logs.begin(), Logs.end(), [&](const Log *Copy) {
    return contains(*Copy, Prefix, Entry);
  });
}

std::vector<OpenCall>
intentsWithoutResult(const Log &Reconciled,
                     const std::set<AttemptKey> &Answered) {
  std::vector<OpenCall> Open;
  for (const Record &Entry : Reconciled)
    if (const auto *Body = std::get_if<Intent>(&Entry.Body))
      if (Answered.count({Body->Call, Body->Attempt}) == 0)
        Open.push_back({Entry.Program, *Body, OpenCallResolution::AskEndpoint});
  return Open;
}

Install installFor(const Log &Held, const Log &Wanted, const ProgramId &Root,
                   Epoch At) {
  const std::size_t From = commonPrefix(Held, Wanted);
  const auto Tail = Wanted.begin() + static_cast<std::ptrdiff_t>(From);
  return {At, Root, From, Log(Tail, Wanted.end())};
}

std::vector<Repair> repairsFor(const Log &Reconciled,
                               const std::vector<SealedLog> &Sealed,
                               const ProgramId &Root, Epoch At) {
  std::vector<Repair> Repairs;
  for (const SealedLog &Copy : Sealed)
    if (Copy.Records != Reconciled)
      Repairs.push_back(
          {Copy.Folder, installFor(Copy.Records, Reconciled, Root, At)});
  return Repairs;
}

} // namespace

LogReconciliation reconcileLogs(const ProgramId &Root,
                                const std::vector<SealedLog> &Sealed,
                                std::size_t NamedCopies, Epoch At) {
  LogReconciliation Reconciled;
  if (Sealed.empty())
    return Reconciled;
  Reconciled.Complete = Sealed.size() == NamedCopies;
  const std::vector<const Log *> Logs = sortedByContent(Sealed);
  const std::size_t Prefix = commonPrefix(Logs);
  const std::set<AttemptKey> Answered = attemptsWithResult(Logs);
  const auto PrefixEnd =
      Logs.front()->begin() + static_cast<std::ptrdiff_t>(Prefix);
  Reconciled.Log.assign(Logs.front()->begin(), PrefixEnd);
  std::vector<OpenCall> NeverSent;
  for (Record &Entry : mergedTail(Logs, Prefix)) {
    const auto *Body = std::get_if<Intent>(&Entry.Body);
    if (Body && !mayHaveBeenSent(Entry, *Body, Logs, Prefix, Answered))
      NeverSent.push_back({Entry.Program, *Body, OpenCallResolution::NotRun});
    else
      Reconciled.Log.push_back(std::move(Entry));
  }
  Reconciled.Repairs = repairsFor(Reconciled.Log, Sealed, Root, At);
  Reconciled.OpenCalls = intentsWithoutResult(Reconciled.Log, Answered);
  Reconciled.OpenCalls.insert(Reconciled.OpenCalls.end(), NeverSent.begin(),
                              NeverSent.end());
  return Reconciled;
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
    Changes.push_back(installFor(Pair.first, Pair.second, Root, At));
  return Changes;
}

} // namespace tamarack
