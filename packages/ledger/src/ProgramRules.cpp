#include "ProgramRules.h"

namespace tamarack::internal {

namespace {

bool isEnded(const ProgramTree &Tree, const ProgramId &Program) {
  const auto Found = Tree.Programs.find(Program);
  return Found != Tree.Programs.end() && Found->second.End.has_value();
}

} // namespace

bool isEndedOrHasEndedAncestor(const ProgramTree &Tree,
                               const ProgramId &Program) {
  const std::string &Text = Program.text();
  for (std::size_t End = Text.find('/'); End != std::string::npos;
       End = Text.find('/', End + 1))
    if (isEnded(Tree, ProgramId(Text.substr(0, End))))
      return true;
  return isEnded(Tree, Program);
}

bool isRetriable(const ProgramState &State, const CallState &Call) {
  if (!Call.Done || State.NextSequence != Call.Sent.Sequence + 1)
    return false;
  switch (Call.Done->How) {
  case Outcome::Completed:
    return false;
  case Outcome::NotRun:
    return true;
  case Outcome::Failed:
  case Outcome::Unknown:
    return Call.Sent.Repeatable;
  }
  return false;
}

bool isMessageArray(const std::string &Text) {
  if (Text.empty())
    return true;
  const std::size_t Start = Text.find_first_not_of(" \t\r\n");
  return Start != std::string::npos && Text[Start] == '[' && Json::accept(Text);
}

std::optional<std::vector<std::string>>
parseMessages(const std::string &Array) {
  std::vector<std::string> Messages;
  if (Array.empty())
    return Messages;
  const Json Parsed = Json::parse(Array, nullptr, /*allow_exceptions=*/false);
  if (!Parsed.is_array())
    return std::nullopt;
  for (const Json &Message : Parsed)
    Messages.push_back(Message.dump());
  return Messages;
}

} // namespace tamarack::internal
