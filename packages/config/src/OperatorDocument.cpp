#include "tamarack/config/OperatorDocument.h"

#include <algorithm>

namespace tamarack {
namespace {

using Setting = OperatorSetting;

template <typename Name> bool covers(const Name &Covered, const Name &Asked) {
  return Covered.empty() || Covered == Asked;
}

int fieldCount(const Scope &Covers) {
  return static_cast<int>(!Covers.Customer.empty()) +
         static_cast<int>(!Covers.Workspace.empty()) +
         static_cast<int>(!Covers.Model.empty()) +
         static_cast<int>(!Covers.Endpoint.empty()) +
         static_cast<int>(!Covers.Service.empty());
}

/// Where one setting's value comes from.
struct Decision {
  SettingValue Value;
  const OperatorException *By = nullptr;
};

bool outranks(const OperatorException &Exception, const Decision &Standing) {
  return !Standing.By ||
         fieldCount(Exception.Covers) >= fieldCount(Standing.By->Covers);
}

using Decisions = std::map<Setting, Decision>;

Decisions decide(const OperatorDocument &Document, const Scope &Asked,
                 CalendarTime Now) {
  Decisions Result;
  for (const SettingRule &Rule : settingRules())
    Result[Rule.Setting] = {Rule.Default};
  for (const auto &[Setting, Value] : Document.Defaults)
    Result[Setting] = {Value};
  for (const OperatorException &Exception : Document.Exceptions) {
    Decision &Standing = Result[Exception.Setting];
    if (applies(Exception, Asked, Now) && outranks(Exception, Standing))
      Standing = {Exception.Value, &Exception};
  }
  return Result;
}

std::int64_t wholeNumber(const Decisions &From, Setting Which) {
  return std::get<std::int64_t>(From.at(Which).Value);
}

Duration milliseconds(const Decisions &From, Setting Which) {
  return std::chrono::milliseconds(wholeNumber(From, Which));
}

double share(const Decisions &From, Setting Which) {
  return std::get<double>(From.at(Which).Value);
}

const std::string &choice(const Decisions &From, Setting Which) {
  return std::get<std::string>(From.at(Which).Value);
}

std::vector<std::string> appliedIn(const Decisions &From) {
  std::vector<std::string> Ids;
  for (const auto &Entry : From)
    if (Entry.second.By)
      Ids.push_back(Entry.second.By->Id);
  std::sort(Ids.begin(), Ids.end());
  return Ids;
}

auto findException(const OperatorDocument &Document, const std::string &Id) {
  return std::find_if(
      Document.Exceptions.begin(), Document.Exceptions.end(),
      [&Id](const OperatorException &Other) { return Other.Id == Id; });
}

} // namespace

bool applies(const OperatorException &Exception, const Scope &Asked,
             CalendarTime Now) {
  const Scope &Covered = Exception.Covers;
  return covers(Covered.Customer, Asked.Customer) &&
         covers(Covered.Workspace, Asked.Workspace) &&
         covers(Covered.Model, Asked.Model) &&
         covers(Covered.Endpoint, Asked.Endpoint) &&
         covers(Covered.Service, Asked.Service) &&
         (!Exception.Until || Now < *Exception.Until);
}

EffectiveDefaults effective(const OperatorDocument &Document,
                            const Scope &Asked, CalendarTime Now) {
  const Decisions From = decide(Document, Asked, Now);
  EffectiveDefaults Result;
  Result.Class =
      callClassOf(choice(From, Setting::Class)).value_or(CallClass::Normal);
  Result.BudgetTokens = wholeNumber(From, Setting::BudgetTokens);
  Result.MaxTurns = wholeNumber(From, Setting::MaxTurns);
  Result.MaxWallTime = milliseconds(From, Setting::MaxWallTime);
  Result.CallDeadline = milliseconds(From, Setting::CallDeadline);
  Result.SequenceWait = milliseconds(From, Setting::SequenceWait);
  Result.ToolTimeout = milliseconds(From, Setting::ToolTimeout);
  Result.HistoryRetention = milliseconds(From, Setting::HistoryRetention);
  Result.CacheRetention =
      cacheRetentionPolicyOf(choice(From, Setting::CacheRetention))
          .value_or(CacheRetentionPolicy::ExpectedNextUse);
  Result.CacheTimeToLive = milliseconds(From, Setting::CacheTimeToLive);
  Result.QueueLimit = wholeNumber(From, Setting::QueueLimit);
  Result.HighClassShare = share(From, Setting::HighClassShare);
  Result.LowClassFloor = share(From, Setting::LowClassFloor);
  Result.RetryFraction = share(From, Setting::RetryFraction);
  Result.MaxEjectedShare = share(From, Setting::MaxEjectedShare);
  Result.MoveMargin = share(From, Setting::MoveMargin);
  Result.SlowLinkBytesPerSecond =
      wholeNumber(From, Setting::SlowLinkBytesPerSecond);
  Result.Applied = appliedIn(From);
  return Result;
}

Expected<OperatorDocument> withException(const OperatorDocument &Document,
                                         const OperatorException &Added) {
  if (findException(Document, Added.Id) != Document.Exceptions.end())
    return refuse(ErrorKind::InvalidConfiguration,
                  "an exception " + Added.Id + " exists already",
                  NotRun::Proved);
  if (Document.Exceptions.size() >= MaxExceptions)
    return refuse(ErrorKind::InvalidConfiguration,
                  "the document holds " + std::to_string(MaxExceptions) +
                      " exceptions already",
                  NotRun::Proved);
  OperatorDocument Result = Document;
  Result.Exceptions.push_back(Added);
  return Result;
}

Expected<OperatorDocument> withoutException(const OperatorDocument &Document,
                                            const std::string &Id) {
  const auto Place = findException(Document, Id);
  if (Place == Document.Exceptions.end())
    return refuse(ErrorKind::InvalidConfiguration, "no exception " + Id,
                  NotRun::Proved);
  OperatorDocument Result = Document;
  Result.Exceptions.erase(Result.Exceptions.begin() +
                          (Place - Document.Exceptions.begin()));
  return Result;
}

OperatorDocument nextRevision(const OperatorDocument &Current,
                              OperatorDocument Content, RevisionNote Made) {
  Content.Made = std::move(Made);
  Content.Made.Number = Current.Made.Number + 1;
  Content.History = Current.History;
  if (Current.Made.Number > 0)
    Content.History.insert(Content.History.begin(), Current.Made);
  if (Content.History.size() > MaxHistory)
    Content.History.resize(MaxHistory);
  return Content;
}

bool wasMadeWith(const OperatorDocument &Document, const std::string &Token) {
  const auto HasToken = [&Token](const RevisionNote &Note) {
    return Note.Token == Token;
  };
  return HasToken(Document.Made) ||
         std::any_of(Document.History.begin(), Document.History.end(),
                     HasToken);
}

} // namespace tamarack
