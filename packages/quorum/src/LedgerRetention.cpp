#include "LedgerNodeImpl.h"

#include "tamarack/net/Log.h"

namespace tamarack {
namespace {

/// How often a ledger looks for records to drop and for links that it missed.
constexpr Duration RetentionInterval = std::chrono::seconds(1);
/// The timeout of a question to another ledger.
constexpr Duration CallTimeout = std::chrono::milliseconds(2500);
/// Names in a question about lifetimes, some 20 KB.
constexpr std::size_t NamesPerQuestion = 512;
/// Turns in a question for links. The answer holds all of them, as only then a
/// turn that is not in it is known to be nowhere.
constexpr std::size_t MissedTurnsPerQuestion = 64;

} // namespace

std::size_t LedgerNode::Impl::requiredAnswers(const View &Of) const {
  return holdsRecords(Of, Log->folderId())
             ? requiredSources(Of, Options.DurableCopies) - 1
             : 0;
}

Task<void> LedgerNode::Impl::runRetention() {
  const auto Self = shared_from_this();
  while (!Stopped) {
    co_await pause(Io, RetentionInterval);
    co_await fetchMissedLinks();
    co_await expireRecords();
  }
}

Task<void> LedgerNode::Impl::fetchMissedLinks() {
  std::vector<TurnId> Missed = Store.missedTurns();
  const View Of = CurrentView;
  const std::size_t Needed = requiredAnswers(Of);
  if (Missed.empty() || Needed == 0)
    co_return;
  if (Missed.size() > MissedTurnsPerQuestion)
    Missed.resize(MissedTurnsPerQuestion);
  std::size_t Answers = 0;
  std::size_t Fetched = 0;
  for (const RecordHolder &Holder : otherHolders(Of)) {
    if (Answers == Needed)
      break;
    const Expected<Json> Reply =
        co_await callLink(Io, linkTo(Holder.Address), calls::FetchLinks,
                          encodeBody(Missed), steadyNow() + CallTimeout);
    const auto Links = parseReply<FetchTurnsResponse>(Reply, calls::FetchLinks,
                                                      Holder.Address);
    if (!Links)
      continue;
    for (const std::string &Frame : Links->Frames)
      Fetched += storeLink(Frame) ? 1 : 0;
    // One that has lost its disk knows of no turn.
    RecordSource Source{Holder.Address, Holder.Folder};
    const bool IsHolder = co_await hasFolder(std::move(Source));
    Answers += IsHolder ? 1 : 0;
  }
  // A turn that none of them has was not acknowledged, or was dropped.
  if (Answers == Needed)
    Store.forgetMissed(Missed);
  LogLine("ledger.fetch_links")
      .with("missed", Missed.size())
      .with("answers", Answers)
      .with("needed", Needed)
      .with("fetched", Fetched);
}

bool LedgerNode::Impl::storeLink(const std::string &Frame) {
  try {
    const TurnRecord Record = Json::from_cbor(Frame).get<TurnRecord>();
    if (!Store.apply(Record, steadyNow()))
      return false;
    persist(Record, nullptr);
    return true;
  } catch (const Json::exception &Failure) {
    LogLine("ledger.link_refused").with("reason", Failure.what());
    return false;
  }
}

Task<void> LedgerNode::Impl::expireRecords() {
  const TimePoint Now = steadyNow();
  const RecordNames Due = Store.expiring(Now, NamesPerQuestion);
  const View Of = CurrentView;
  const std::size_t Needed = requiredAnswers(Of);
  std::size_t Answers = 0;
  if (!Due.empty()) {
    for (const RecordHolder &Holder : otherHolders(Of)) {
      if (Answers == Needed)
        break;
      const Expected<Json> Reply =
          co_await callLink(Io, linkTo(Holder.Address), calls::Lifetimes,
                            encodeBody(Due), steadyNow() + CallTimeout);
      const auto Answer = parseReply<LifetimesResponse>(Reply, calls::Lifetimes,
                                                        Holder.Address);
      if (!Answer || Answer->Folder != Holder.Folder ||
          Answer->ViewNumber != Of.Number)
        continue;
      ++Answers;
      // Counted from before the question, so that two ledgers that ask each
      // other do not add the time that their messages take.
      Store.extend(Answer->Lifetimes, Now);
    }
    if (Answers < Needed) {
      LogLine("ledger.expiry_delayed")
          .with("turns", Due.Turns.size())
          .with("programs", Due.Programs.size())
          .with("answers", Answers)
          .with("needed", Needed);
      co_return;
    }
  }
  Store.expire(Now, Due);
}

} // namespace tamarack
