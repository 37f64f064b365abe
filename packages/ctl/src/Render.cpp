#include "tamarack/ctl/Render.h"

#include "tamarack/config/OperatorApi.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace tamarack {
namespace {

using Row = std::vector<std::string>;

/// Rows under a head, each column as wide as its widest cell.
std::string table(const Row &Head, const std::vector<Row> &Rows) {
  std::vector<std::size_t> Widths(Head.size());
  const auto Measure = [&Widths](const Row &Cells) {
    for (std::size_t I = 0; I < Cells.size(); ++I)
      Widths[I] = std::max(Widths[I], Cells[I].size());
  };
  Measure(Head);
  std::for_each(Rows.begin(), Rows.end(), Measure);

  std::ostringstream Text;
  const auto Write = [&](const Row &Cells) {
    for (std::size_t I = 0; I + 1 < Cells.size(); ++I)
      Text << std::left << std::setw(static_cast<int>(Widths[I]) + 2)
           << Cells[I];
    Text << Cells.back() << '\n';
  };
  Write(Head);
  std::for_each(Rows.begin(), Rows.end(), Write);
  return Text.str();
}

template <typename Number> std::string text(Number Value) {
  return std::to_string(Value);
}

std::string milliseconds(Duration Time) {
  std::ostringstream Text;
  Text << std::fixed << std::setprecision(1)
       << std::chrono::duration<double, std::milli>(Time).count();
  return Text.str();
}

std::string renderStatus(const StatusReport &Report) {
  std::ostringstream Text;
  Text << "Answered by " << Report.Instance << ": revision " << Report.InForce
       << " in force, platform " << Report.Platform << ", "
       << (Report.IsServing ? "serving" : "not serving yet") << "\n\n";
  std::vector<Row> Rows;
  for (const InstanceStatus &Each : Report.Instances)
    Rows.push_back({Each.Instance.text(), Each.Role, Each.Region.text(),
                    Each.DataCentre.text(), Each.State, text(Each.InForce),
                    text(Each.Load)});
  Text << table({"INSTANCE", "ROLE", "REGION", "DATA CENTRE", "STATE",
                 "REVISION", "LOAD"},
                Rows);
  if (!Report.Counters.empty())
    Text << '\n';
  for (const auto &[Name, Count] : Report.Counters)
    Text << Name << ' ' << Count << '\n';
  return Text.str();
}

std::string coverage(const Scope &Covers) {
  const Json Fields = Covers;
  std::string Text;
  for (const auto &Field : Fields.items())
    Text += (Text.empty() ? "" : ", ") + Field.key() + " " +
            Field.value().get<std::string>();
  return Text;
}

std::string renderExceptions(const OperatorDocument &Document) {
  if (Document.Exceptions.empty())
    return "No exceptions.\n";
  std::vector<Row> Rows;
  for (const OperatorException &Each : Document.Exceptions)
    Rows.push_back({Each.Id, coverage(Each.Covers), ruleOf(Each.Setting).Name,
                    jsonOf(Each.Value).dump(),
                    Each.Until ? calendarText(*Each.Until) : "no end",
                    Each.Author, Each.Reason});
  return table(
      {"ID", "COVERS", "SETTING", "VALUE", "UNTIL", "AUTHOR", "REASON"}, Rows);
}

std::string renderConfig(const OperatorDocument &Document) {
  std::ostringstream Text;
  Text << "Revision " << Document.Made.Number << " by "
       << (Document.Made.Author.empty() ? "nobody" : Document.Made.Author);
  if (!Document.Made.Comment.empty())
    Text << ": " << Document.Made.Comment;
  Text << "\n\n";
  std::vector<Row> Rows;
  for (const SettingRule &Rule : settingRules()) {
    const auto Set = Document.Defaults.find(Rule.Setting);
    const bool IsSet = Set != Document.Defaults.end();
    Rows.push_back({Rule.Name,
                    jsonOf(IsSet ? Set->second : Rule.Default).dump(),
                    Rule.Unit, IsSet ? "set" : "built-in"});
  }
  Text << table({"DEFAULT", "VALUE", "UNIT", "FROM"}, Rows) << '\n'
       << renderExceptions(Document);
  return Text.str();
}

std::string renderHistory(const Json &Answer) {
  std::vector<Row> Rows;
  for (const Json &Each : Answer.at("history")) {
    const auto Note = Each.get<RevisionNote>();
    Rows.push_back({text(Note.Number), Note.Author, Note.Comment});
  }
  return table({"REVISION", "AUTHOR", "COMMENT"}, Rows);
}

std::string renderExplanation(const Explanation &Report) {
  std::ostringstream Text;
  Text << "Call " << Report.Call << " of program " << Report.Program << ", "
       << Report.Customer << ", class " << Report.Class << ": "
       << Report.Outcome;
  if (!Report.Refusal.empty())
    Text << " (" << Report.Refusal << ")";
  Text << '\n'
       << Report.Reason << "\nDecided by " << Report.Owner << " under revision "
       << Report.InForce;
  for (const std::string &Id : Report.Applied)
    Text << ", exception " << Id;
  Text << "\n";
  std::vector<Row> Candidates;
  for (const Candidate &Each : Report.Candidates)
    Candidates.push_back({(Each.IsChosen ? "* " : "  ") + Each.Endpoint.text(),
                          milliseconds(Each.Wait), milliseconds(Each.Prefill),
                          milliseconds(Each.Network), text(Each.CachedTokens),
                          Each.Reason});
  if (!Candidates.empty())
    Text << '\n'
         << table({"  ENDPOINT", "WAIT MS", "PREFILL MS", "NETWORK MS",
                   "CACHED TOKENS", "REASON"},
                  Candidates);
  std::vector<Row> Attempts;
  for (const AttemptReport &Each : Report.Attempts)
    Attempts.push_back({text(Each.Number), Each.Endpoint.text(), Each.Outcome});
  if (!Attempts.empty())
    Text << '\n' << table({"ATTEMPT", "ENDPOINT", "OUTCOME"}, Attempts);
  return Text.str();
}

std::string renderFields(const Json &Answer) {
  std::string Text;
  for (const auto &Field : Answer.items())
    Text += Field.key() + ": " +
            (Field.value().is_string() ? Field.value().get<std::string>()
                                       : Field.value().dump()) +
            "\n";
  return Text.empty() ? "Done.\n" : Text;
}

std::string renderAs(CtlView View, const Json &Answer) {
  switch (View) {
  case CtlView::Status:
    return renderStatus(Answer.get<StatusReport>());
  case CtlView::Config:
    return renderConfig(Answer.get<OperatorDocument>());
  case CtlView::Exceptions:
    return renderExceptions(Answer.get<OperatorDocument>());
  case CtlView::History:
    return renderHistory(Answer);
  case CtlView::Accepted:
    return "Accepted as revision " +
           text(Answer.at("revision").get<Revision>()) + ".\n";
  case CtlView::Explanation:
    return renderExplanation(Answer.get<Explanation>());
  case CtlView::Program:
  case CtlView::Drain:
    break;
  }
  return renderFields(Answer);
}

} // namespace

std::string render(CtlView View, const Json &Answer) {
  try {
    if (Answer.is_object())
      return renderAs(View, Answer);
  } catch (const Json::exception &) {
    // Shown as it is, below.
  }
  return Answer.dump(2) + "\n";
}

} // namespace tamarack
