#include "tamarack/turns/CrashRecords.h"

#include <algorithm>
#include <xxhash.h>

namespace tamarack {
namespace {

/// The crashes that are kept of one request; more tell nothing new.
constexpr std::size_t MaxKeptCrashes = 8;
/// A refusal is passed on if the last one was passed on this part of the
/// lifetime ago.
constexpr int SeenDivisor = 4;
/// The digits of a digest that identify the target.
constexpr std::size_t TargetDigits = 16;

/// Returns 16 hexadecimal digits.
std::string toHex(std::uint64_t Hash) {
  static constexpr char HexDigits[] = "0123456789abcdef";
  std::string Result;
  for (int Shift = 60; Shift >= 0; Shift -= 4)
    Result += HexDigits[(Hash >> static_cast<unsigned>(Shift)) & 15U];
  return Result;
}

std::int64_t toMillis(Duration Span) {
  return Span / std::chrono::milliseconds(1);
}

Duration fromMillis(const Json &Value) {
  return std::chrono::milliseconds(Value.get<std::int64_t>());
}

} // namespace

RequestDigest digestOf(std::string_view Method, std::string_view Host,
                       std::string_view Target, std::string_view Body) {
  // No part of the head can hold a line feed.
  std::string Head;
  for (const std::string_view Part : {Method, Host, Target})
    Head.append(Part).push_back('\n');
  return RequestDigest(toHex(XXH3_64bits(Head.data(), Head.size())) +
                       toHex(XXH3_64bits(Body.data(), Body.size())));
}

void to_json(Json &Value, const CrashRecord &From) {
  Json Crashes = Json::array();
  for (const CrashRecord::Crash &Each : From.Crashes)
    Crashes.push_back(Json::array({Each.Endpoint, toMillis(Each.Age)}));
  Value = Json::array(
      {From.Digest, std::move(Crashes),
       From.SinceAnswer ? Json(toMillis(*From.SinceAnswer)) : Json(),
       toMillis(From.SinceSeen)});
}

void from_json(const Json &Value, CrashRecord &To) {
  To = {};
  Value.at(0).get_to(To.Digest);
  for (const Json &Each : Value.at(1))
    To.Crashes.push_back(
        {Each.at(0).get<EndpointId>(), fromMillis(Each.at(1))});
  if (!Value.at(2).is_null())
    To.SinceAnswer = fromMillis(Value.at(2));
  To.SinceSeen = fromMillis(Value.at(3));
}

void to_json(Json &Value, const CrashPosition &From) {
  Value = Json::array({From.Source, From.Number});
}

void from_json(const Json &Value, CrashPosition &To) {
  Value.at(0).get_to(To.Source);
  Value.at(1).get_to(To.Number);
}

void to_json(Json &Value, const CrashNews &From) {
  Value = Json{{"position", From.Position}, {"records", From.Records}};
}

void from_json(const Json &Value, CrashNews &To) {
  Value.at("position").get_to(To.Position);
  Value.at("records").get_to(To.Records);
}

void to_json(Json &Value, const CrashRequest &From) {
  Value = Json{{"after", From.After}, {"observed", From.Observed}};
}

void from_json(const Json &Value, CrashRequest &To) {
  Value.at("after").get_to(To.After);
  Value.at("observed").get_to(To.Observed);
}

CrashRecords::CrashRecords(CrashLimits Limits, std::string Source)
    : Limits(Limits), Source(std::move(Source)) {}

bool CrashRecords::isExpired(const Entry &Known, TimePoint Now) const {
  return Now - Known.SeenAt > Limits.Lifetime;
}

CrashRecords::Entry &CrashRecords::entryOf(const RequestDigest &Digest,
                                           TimePoint Now) {
  const auto Found = Entries.find(Digest);
  if (Found != Entries.end()) {
    if (isExpired(Found->second, Now))
      Found->second = Entry();
    return Found->second;
  }
  if (Entries.size() >= Limits.MaxRequests)
    makeRoom(Now);
  return Entries[Digest];
}

void CrashRecords::makeRoom(TimePoint Now) {
  for (auto It = Entries.begin(); It != Entries.end();)
    It = isExpired(It->second, Now) ? Entries.erase(It) : std::next(It);
  if (Entries.size() < Limits.MaxRequests)
    return;
  // The requests with the fewest crashes go first, the oldest of these.
  const auto Least = std::min_element(
      Entries.begin(), Entries.end(), [](const auto &Left, const auto &Right) {
        return std::pair(Left.second.Crashes.size(), Left.second.SeenAt) <
               std::pair(Right.second.Crashes.size(), Right.second.SeenAt);
      });
  Entries.erase(Least);
}

bool CrashRecords::holds(const Entry &Known, const Crash &Other) const {
  return std::any_of(Known.Crashes.begin(), Known.Crashes.end(),
                     [&](const Crash &Each) {
                       return Each.Endpoint == Other.Endpoint &&
                              Each.At >= Other.RunningSince &&
                              Each.At - Other.At < Limits.SameCrashWindow;
                     });
}

bool CrashRecords::add(Entry &Known, const Crash &Next) {
  const bool WasBlocked = isBlocked(Known);
  const bool IsExplained =
      !WasBlocked &&
      std::any_of(Entries.begin(), Entries.end(), [&](const auto &Other) {
        return isBlocked(Other.second) && holds(Other.second, Next);
      });
  if (IsExplained || Known.Crashes.size() >= MaxKeptCrashes)
    return false;
  Known.Crashes.push_back(Next);
  Known.SeenAt = std::max(Known.SeenAt, Next.At);
  if (!WasBlocked && isBlocked(Known))
    dropExplainedBy(Known);
  return true;
}

void CrashRecords::dropExplainedBy(const Entry &Blocked) {
  for (auto &[Digest, Other] : Entries)
    if (!isBlocked(Other))
      Other.Crashes.erase(std::remove_if(Other.Crashes.begin(),
                                         Other.Crashes.end(),
                                         [&](const Crash &Each) {
                                           return holds(Blocked, Each);
                                         }),
                          Other.Crashes.end());
}

bool CrashRecords::clear(Entry &Known, TimePoint AnsweredAt) const {
  const bool HasCrashes =
      std::any_of(Known.Crashes.begin(), Known.Crashes.end(),
                  [&](const Crash &Each) { return Each.At <= AnsweredAt; });
  // The times of other processes are not exact.
  if (!HasCrashes && Known.AnsweredAt &&
      AnsweredAt - *Known.AnsweredAt < Limits.SameCrashWindow)
    return false;
  Known.AnsweredAt = AnsweredAt;
  Known.SeenAt = std::max(Known.SeenAt, AnsweredAt);
  Known.Crashes.erase(
      std::remove_if(Known.Crashes.begin(), Known.Crashes.end(),
                     [&](const Crash &Each) { return Each.At <= AnsweredAt; }),
      Known.Crashes.end());
  return true;
}

RequestDigest CrashRecords::targetOf(const RequestDigest &Digest) {
  return RequestDigest(Digest.text().substr(0, TargetDigits));
}

bool CrashRecords::isTargetAnswered(const RequestDigest &Target,
                                    TimePoint Now) const {
  const auto Found = Entries.find(Target);
  return (Found != Entries.end() && Found->second.AnsweredAt &&
          !isExpired(Found->second, Now)) ||
         AnsweredTargets.count(Target.text()) > 0 ||
         AnsweredBefore.count(Target.text()) > 0;
}

bool CrashRecords::isTargetBlocked(const RequestDigest &Target,
                                   TimePoint Now) const {
  Entry All;
  TimePoint LastAt;
  for (auto It = Entries.lower_bound(Target);
       It != Entries.end() &&
       It->first.text().compare(0, TargetDigits, Target.text()) == 0;
       ++It)
    for (const Crash &Each : It->second.Crashes) {
      LastAt = std::max(LastAt, Each.At);
      if (!isExpired(It->second, Now) && !holds(All, Each))
        All.Crashes.push_back(Each);
    }
  return All.Crashes.size() >= Limits.MaxCrashes &&
         Now - LastAt < Limits.TargetBlockTime &&
         !isTargetAnswered(Target, Now);
}

void CrashRecords::rememberAnswered(const RequestDigest &Target) {
  if (AnsweredTargets.size() >= Limits.MaxAnsweredTargets) {
    AnsweredBefore = std::move(AnsweredTargets);
    AnsweredTargets.clear();
  }
  AnsweredTargets.insert(Target.text());
}

std::size_t CrashRecords::onCrash(const RequestDigest &Digest,
                                  const EndpointId &Endpoint, TimePoint SentAt,
                                  TimePoint Now) {
  Entry &Known = entryOf(Digest, Now);
  const Crash Next{Endpoint, Now, SentAt};
  if (!holds(Known, Next) && add(Known, Next))
    noteObserved(Known);
  const std::size_t Count = Known.Crashes.size();
  // Tells other processes that the target was answered here.
  const RequestDigest Target = targetOf(Digest);
  if (Entries.count(Target) == 0 && isTargetAnswered(Target, Now)) {
    Entry &Answered = entryOf(Target, Now);
    clear(Answered, Now);
    noteObserved(Answered);
  }
  return Count;
}

void CrashRecords::onAnswered(const RequestDigest &Digest, TimePoint Now) {
  const RequestDigest Target = targetOf(Digest);
  rememberAnswered(Target);
  const auto Found = Entries.find(Digest);
  if (Found == Entries.end())
    return;
  if (clear(Found->second, Now))
    noteObserved(Found->second);
  if (Entries.count(Target) == 0) {
    Entry &Answered = entryOf(Target, Now);
    clear(Answered, Now);
    noteObserved(Answered);
  }
}

void CrashRecords::onRefused(const RequestDigest &Digest, TimePoint Now) {
  const auto Found = Entries.find(Digest);
  if (Found == Entries.end() ||
      Now - Found->second.SeenAt < Limits.Lifetime / SeenDivisor)
    return;
  Found->second.SeenAt = Now;
  noteObserved(Found->second);
}

std::size_t CrashRecords::crashes(const RequestDigest &Digest,
                                  TimePoint Now) const {
  const auto Found = Entries.find(Digest);
  return Found == Entries.end() || isExpired(Found->second, Now)
             ? 0
             : Found->second.Crashes.size();
}

CrashNews CrashRecords::newsAfter(const CrashPosition &Position,
                                  TimePoint Now) const {
  return recordsAfter(Position.Source == Source ? Position.Number : 0,
                      &Entry::Number, Now);
}

CrashNews CrashRecords::observedAfter(std::uint64_t Number,
                                      TimePoint Now) const {
  return recordsAfter(Number, &Entry::ObservedNumber, Now);
}

CrashNews CrashRecords::recordsAfter(std::uint64_t Number,
                                     std::uint64_t Entry::*NumberOf,
                                     TimePoint Now) const {
  CrashNews Result{{Source, LastNumber}, {}};
  for (const auto &[Digest, Known] : Entries) {
    if (Known.*NumberOf <= Number || isExpired(Known, Now))
      continue;
    CrashRecord Record{Digest, {}, {}, Now - Known.SeenAt};
    for (const Crash &Each : Known.Crashes)
      Record.Crashes.push_back({Each.Endpoint, Now - Each.At});
    if (Known.AnsweredAt)
      Record.SinceAnswer = Now - *Known.AnsweredAt;
    Result.Records.push_back(std::move(Record));
  }
  return Result;
}

void CrashRecords::merge(const std::vector<CrashRecord> &Records,
                         TimePoint Now) {
  for (const CrashRecord &Record : Records) {
    if (Record.SinceSeen > Limits.Lifetime)
      continue;
    Entry &Known = entryOf(Record.Digest, Now);
    bool Changed =
        Record.SinceAnswer && clear(Known, Now - *Record.SinceAnswer);
    for (const CrashRecord::Crash &Each : Record.Crashes) {
      const TimePoint At = Now - Each.Age;
      const Crash Next{Each.Endpoint, At, At - Limits.SameCrashWindow};
      const bool IsCleared = Known.AnsweredAt && At <= *Known.AnsweredAt;
      if (!IsCleared && !holds(Known, Next) && add(Known, Next))
        Changed = true;
    }
    const TimePoint SeenAt = Now - Record.SinceSeen;
    if (SeenAt - Known.SeenAt > Limits.Lifetime / SeenDivisor / 2)
      Changed = true;
    Known.SeenAt = std::max(Known.SeenAt, SeenAt);
    if (Changed)
      Known.Number = ++LastNumber;
  }
}

} // namespace tamarack
