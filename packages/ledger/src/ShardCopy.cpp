#include "tamarack/ledger/ShardCopy.h"

#include <algorithm>

namespace tamarack {

namespace {

Expected<void> checkNoGap(const ShardCopy &Copy, const ProgramId &Root,
                          std::uint64_t Index) {
  const std::size_t Length = logOf(Copy, Root).size();
  if (Index <= Length)
    return {};
  return refuse(ErrorKind::WrongSequence,
                "index " + std::to_string(Index) +
                    " would leave a gap after a log of " +
                    std::to_string(Length) + " records");
}

/// Whether the log of \p Root has changed at epoch \p At.
bool changedAt(const ShardCopy &Copy, const ProgramId &Root, Epoch At) {
  const auto Found = Copy.ChangedAt.find(Root);
  return Found != Copy.ChangedAt.end() && Found->second == At;
}

/// Whether the change replaces no existing record by a different one.
bool keepsExistingRecords(const ShardCopy &Copy, const Install &Change) {
  const std::vector<Record> &Log = logOf(Copy, Change.Root);
  const std::size_t Shared =
      std::min<std::size_t>(Log.size() - Change.From, Change.Tail.size());
  const auto Held = Log.begin() + static_cast<std::ptrdiff_t>(Change.From);
  return std::equal(Held, Held + static_cast<std::ptrdiff_t>(Shared),
                    Change.Tail.begin());
}

} // namespace

Expected<void> checkSealedEpoch(const ShardCopy &Copy, Epoch At) {
  if (At == Copy.Sealed && At != 0)
    return {};
  return refuse(ErrorKind::Fenced, "epoch " + std::to_string(At) +
                                       " differs from epoch " +
                                       std::to_string(Copy.Sealed) +
                                       " at which the copy is sealed");
}

const std::vector<Record> &logOf(const ShardCopy &Copy, const ProgramId &Root) {
  static const std::vector<Record> Empty;
  const auto Found = Copy.Logs.find(Root);
  return Found == Copy.Logs.end() ? Empty : Found->second;
}

Expected<void> checkSeal(const ShardCopy &Copy, Epoch At) {
  if (At >= Copy.Sealed)
    return {};
  return checkSealedEpoch(Copy, At);
}

Expected<void> checkAppend(const ShardCopy &Copy, const Append &Next) {
  if (Expected<void> Checked = checkSealedEpoch(Copy, Next.At); !Checked)
    return Checked;
  if (Expected<void> Checked = checkNoGap(Copy, Next.Root, Next.Index);
      !Checked)
    return Checked;
  const std::vector<Record> &Log = logOf(Copy, Next.Root);
  if (Next.Index == Log.size() || Log[Next.Index] == Next.Entry)
    return {};
  return refuse(ErrorKind::Fenced, "index " + std::to_string(Next.Index) +
                                       " holds a different record");
}

Expected<void> checkInstall(const ShardCopy &Copy, const Install &Change) {
  if (Expected<void> Checked = checkSealedEpoch(Copy, Change.At); !Checked)
    return Checked;
  if (Expected<void> Checked = checkNoGap(Copy, Change.Root, Change.From);
      !Checked)
    return Checked;
  if (!changedAt(Copy, Change.Root, Change.At) ||
      keepsExistingRecords(Copy, Change))
    return {};
  return refuse(ErrorKind::Fenced, "the log has already changed at epoch " +
                                       std::to_string(Change.At) +
                                       ", so its records may not be replaced");
}

Expected<void> applySeal(ShardCopy &Copy, Epoch At) {
  Expected<void> Checked = checkSeal(Copy, At);
  if (Checked)
    Copy.Sealed = At;
  return Checked;
}

Expected<void> applyAppend(ShardCopy &Copy, const Append &Next) {
  Expected<void> Checked = checkAppend(Copy, Next);
  if (!Checked)
    return Checked;
  std::vector<Record> &Log = Copy.Logs[Next.Root];
  if (Next.Index == Log.size())
    Log.push_back(Next.Entry);
  Copy.ChangedAt[Next.Root] = Next.At;
  return {};
}

Expected<void> applyInstall(ShardCopy &Copy, const Install &Change) {
  Expected<void> Checked = checkInstall(Copy, Change);
  if (!Checked)
    return Checked;
  const bool Extends = changedAt(Copy, Change.Root, Change.At);
  std::vector<Record> &Log = Copy.Logs[Change.Root];
  const std::size_t Kept = Extends ? Log.size() - Change.From : 0;
  if (!Extends)
    Log.resize(Change.From);
  if (Kept < Change.Tail.size())
    Log.insert(Log.end(),
               Change.Tail.begin() + static_cast<std::ptrdiff_t>(Kept),
               Change.Tail.end());
  if (Log.empty())
    Copy.Logs.erase(Change.Root);
  Copy.ChangedAt[Change.Root] = Change.At;
  return {};
}

Expected<ShardCopy> seal(ShardCopy Copy, Epoch At) {
  if (Expected<void> Done = applySeal(Copy, At); !Done)
    return tl::unexpected(Done.error());
  return Copy;
}

Expected<ShardCopy> append(ShardCopy Copy, const Append &Next) {
  if (Expected<void> Done = applyAppend(Copy, Next); !Done)
    return tl::unexpected(Done.error());
  return Copy;
}

Expected<ShardCopy> install(ShardCopy Copy, const Install &Change) {
  if (Expected<void> Done = applyInstall(Copy, Change); !Done)
    return tl::unexpected(Done.error());
  return Copy;
}

} // namespace tamarack
