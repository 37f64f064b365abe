#include "tamarack/turns/WorkspaceReports.h"

namespace tamarack {
namespace {

Json encodeUse(const UseByWorkspace &From) {
  Json Result = Json::object();
  for (const auto &[Name, Use] : From)
    Result[Name.text()] = Json::array(
        {Use.Sent, Use.FirstTurns, Use.Demand, Use.FirstTurnDemand, Use.Begun});
  return Result;
}

UseByWorkspace decodeUse(const Json &Value) {
  UseByWorkspace Result;
  // In order, so that each name is the last one.
  for (const auto &[Name, Use] : Value.items())
    Result.emplace_hint(Result.end(), WorkspaceId(Name),
                        WorkspaceUse{Use.at(0).get<std::uint32_t>(),
                                     Use.at(1).get<std::uint32_t>(),
                                     Use.at(2).get<std::uint32_t>(),
                                     Use.at(3).get<std::uint32_t>(),
                                     Use.at(4).get<std::uint32_t>()});
  return Result;
}

} // namespace

void WorkspaceReports::add(const WorkspaceReport &Report) {
  for (const auto &[Name, Use] : Report.Use) {
    Total &Sum = Totals[Name];
    Sum.Use = Sum.Use + Use;
    ++Sum.Reports;
    if (Report.NearLimit.count(Name) > 0 && Sum.Near++ == 0)
      NearLimit.insert(Name);
  }
}

void WorkspaceReports::subtract(const WorkspaceReport &Report) {
  for (const auto &[Name, Use] : Report.Use) {
    const auto Sum = Totals.find(Name);
    Sum->second.Use = Sum->second.Use - Use;
    if (Report.NearLimit.count(Name) > 0 && --Sum->second.Near == 0)
      NearLimit.erase(Name);
    if (--Sum->second.Reports == 0)
      Totals.erase(Sum);
  }
}

void WorkspaceReports::endDemand(WorkspaceReport &Report) {
  for (auto &[Name, Use] : Report.Use) {
    WorkspaceUse &Sum = Totals.at(Name).Use;
    Sum.Demand -= std::exchange(Use.Demand, 0);
    Sum.FirstTurnDemand -= std::exchange(Use.FirstTurnDemand, 0);
    Sum.Begun -= std::exchange(Use.Begun, 0);
  }
}

void WorkspaceReports::expire(TimePoint Now) {
  for (auto It = Reports.begin(); It != Reports.end();) {
    Received &Each = It->second;
    const Duration Age = Now - Each.At;
    if (Age > Each.Report.Window && Age > ReporterLifetime) {
      subtract(Each.Report);
      It = Reports.erase(It);
      continue;
    }
    if (Age > ReporterLifetime)
      endDemand(Each.Report);
    ++It;
  }
}

WorkspaceNews WorkspaceReports::exchange(WorkspaceReport Report,
                                         TimePoint Now) {
  expire(Now);
  const auto Key = std::make_pair(Report.Reporter, Report.Process);
  if (const auto Before = Reports.find(Key); Before != Reports.end())
    subtract(Before->second.Report);
  add(Report);
  Received &Mine = Reports[Key];
  Mine = {std::move(Report), Now};
  return newsFor(Mine.Report, Now);
}

WorkspaceNews WorkspaceReports::newsFor(const WorkspaceReport &Report,
                                        TimePoint Now) const {
  WorkspaceNews Result;
  Result.KnownFor = Now - StartedAt;
  for (const auto &[Name, Own] : Report.Use)
    Result.Use.emplace_hint(Result.Use.end(), Name, Totals.at(Name).Use - Own);
  for (const WorkspaceId &Name : NearLimit)
    if (Report.Use.count(Name) == 0)
      Result.Use.emplace(Name, Totals.at(Name).Use);
  const InstanceId *Last = &Report.Reporter;
  for (const auto &[Key, Each] : Reports)
    if (Key.first != Report.Reporter && Key.first != *Last &&
        Now - Each.At <= ReporterLifetime) {
      ++Result.Reporters;
      Last = &Key.first;
    }
  return Result;
}

void to_json(Json &Value, const WorkspaceReport &From) {
  Value = Json::array({From.Reporter, From.Process, From.Window,
                       encodeUse(From.Use), From.NearLimit});
}

void from_json(const Json &Value, WorkspaceReport &To) {
  Value.at(0).get_to(To.Reporter);
  Value.at(1).get_to(To.Process);
  To.Window = Value.at(2).get<Duration>();
  To.Use = decodeUse(Value.at(3));
  To.NearLimit.clear();
  for (const Json &Name : Value.at(4))
    To.NearLimit.insert(Name.get<WorkspaceId>());
}

void to_json(Json &Value, const WorkspaceNews &From) {
  Value = Json::array({encodeUse(From.Use), From.Reporters, From.KnownFor});
}

void from_json(const Json &Value, WorkspaceNews &To) {
  To.Use = decodeUse(Value.at(0));
  Value.at(1).get_to(To.Reporters);
  To.KnownFor = Value.at(2).get<Duration>();
}

} // namespace tamarack
