#include "tamarack/ledger/CopyLog.h"

namespace tamarack {

namespace {

Expected<void> checkEpoch(const CopyShard &Copy, Epoch At) {
  if (At == Copy.Sealed && At != 0)
    return {};
  return refuse(ErrorKind::Fenced, "epoch " + std::to_string(At) +
                                       " meets a copy sealed at " +
                                       std::to_string(Copy.Sealed));
}

Expected<void> checkNoGap(const CopyShard &Copy, const ProgramId &Root,
                          std::uint64_t Index) {
  const std::size_t Length = logOf(Copy, Root).size();
  if (Index <= Length)
    return {};
  return refuse(ErrorKind::WrongSequence,
                "index " + std::to_string(Index) + " meets a log of " +
                    std::to_string(Length) + " records");
}

} // namespace

const std::vector<Record> &logOf(const CopyShard &Copy, const ProgramId &Root) {
  static const std::vector<Record> Empty;
  const auto Found = Copy.Logs.find(Root);
  return Found == Copy.Logs.end() ? Empty : Found->second;
}

Expected<void> checkSeal(const CopyShard &Copy, Epoch At) {
  if (At >= Copy.Sealed)
    return {};
  return checkEpoch(Copy, At);
}

Expected<void> checkAppend(const CopyShard &Copy, const Append &Next) {
  if (Expected<void> Checked = checkEpoch(Copy, Next.At); !Checked)
    return Checked;
  if (Expected<void> Checked = checkNoGap(Copy, Next.Root, Next.Index);
      !Checked)
    return Checked;
  const std::vector<Record> &Log = logOf(Copy, Next.Root);
  if (Next.Index == Log.size() || Log[Next.Index] == Next.Entry)
    return {};
  return refuse(ErrorKind::Fenced,
                "another record stands at index " + std::to_string(Next.Index));
}

Expected<void> checkInstall(const CopyShard &Copy, const Install &Change) {
  if (Expected<void> Checked = checkEpoch(Copy, Change.At); !Checked)
    return Checked;
  return checkNoGap(Copy, Change.Root, Change.From);
}

Expected<void> sealAt(CopyShard &Copy, Epoch At) {
  Expected<void> Checked = checkSeal(Copy, At);
  if (Checked)
    Copy.Sealed = At;
  return Checked;
}

Expected<void> appendTo(CopyShard &Copy, const Append &Next) {
  Expected<void> Checked = checkAppend(Copy, Next);
  if (!Checked)
    return Checked;
  std::vector<Record> &Log = Copy.Logs[Next.Root];
  if (Next.Index == Log.size())
    Log.push_back(Next.Entry);
  return {};
}

Expected<void> installTo(CopyShard &Copy, const Install &Change) {
  Expected<void> Checked = checkInstall(Copy, Change);
  if (!Checked)
    return Checked;
  std::vector<Record> &Log = Copy.Logs[Change.Root];
  Log.resize(Change.From);
  Log.insert(Log.end(), Change.Tail.begin(), Change.Tail.end());
  if (Log.empty())
    Copy.Logs.erase(Change.Root);
  return {};
}

Expected<CopyShard> seal(CopyShard Copy, Epoch At) {
  if (Expected<void> Done = sealAt(Copy, At); !Done)
    return tl::unexpected(Done.error());
  return Copy;
}

Expected<CopyShard> append(CopyShard Copy, const Append &Next) {
  if (Expected<void> Done = appendTo(Copy, Next); !Done)
    return tl::unexpected(Done.error());
  return Copy;
}

Expected<CopyShard> install(CopyShard Copy, const Install &Change) {
  if (Expected<void> Done = installTo(Copy, Change); !Done)
    return tl::unexpected(Done.error());
  return Copy;
}

} // namespace tamarack
