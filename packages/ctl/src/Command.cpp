#include "tamarack/ctl/Command.h"

#include "tamarack/config/OperatorDocument.h"

#include <Poco/URI.h>
#include <algorithm>
#include <fstream>
#include <sstream>

namespace tamarack {
namespace {

using Words = std::vector<std::string>;
using Parser = Expected<CtlRequest> (*)(const Words &, const CtlOptions &);

/// One command: its words, the names of its arguments, what it does.
struct CommandRow {
  const char *Name;
  const char *Arguments;
  std::size_t ArgumentCount;
  const char *Help;
  Parser Parse;
};

tl::unexpected<Error> refuseUsage(const std::string &Message) {
  return refuse(ErrorKind::MalformedRequest, Message, NotRun::Proved);
}

std::string encoded(const std::string &Name) {
  std::string Result;
  Poco::URI::encode(Name, "/?#&%:+=;@$,!'()*[]", Result);
  return Result;
}

CtlRequest get(const std::string &Path, CtlView View) {
  return {"GET", Path, Json(), View};
}

Expected<CtlRequest> parseStatus(const Words &, const CtlOptions &) {
  return get("/v1/status", CtlView::Status);
}

Expected<CtlRequest> parseConfigShow(const Words &, const CtlOptions &) {
  return get("/v1/config", CtlView::Config);
}

Expected<CtlRequest> parseConfigHistory(const Words &, const CtlOptions &) {
  return get("/v1/config/history", CtlView::History);
}

Expected<Json> readDocument(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return refuseUsage("can't read " + Path);
  std::stringstream Text;
  Text << File.rdbuf();
  try {
    return Json::parse(Text.str());
  } catch (const Json::exception &Failure) {
    return refuseUsage(Path + ": " + Failure.what());
  }
}

Expected<Revision> revisionFrom(const std::string &Text) {
  const bool IsNumber =
      !Text.empty() && Text.size() < 19 &&
      Text.find_first_not_of("0123456789") == std::string::npos;
  if (!IsNumber)
    return refuseUsage("--expect " + Text + ": expected a revision's number");
  return std::stoull(Text);
}

/// By --expect, or by the document as "config show" wrote it.
Expected<Revision> expectedRevision(const Json &Document,
                                    const CtlOptions &Options) {
  if (!Options.ExpectedRevision.empty())
    return revisionFrom(Options.ExpectedRevision);
  if (Document.contains("revision"))
    return Document["revision"].get<Revision>();
  return refuseUsage("which revision does the document replace? Keep its "
                     "\"revision\" or give --expect");
}

Expected<CtlRequest> parseConfigSet(const Words &Arguments,
                                    const CtlOptions &Options) {
  Expected<Json> Document = readDocument(Arguments[0]);
  if (!Document)
    return tl::make_unexpected(Document.error());
  if (Document->is_object() && !Options.Author.empty())
    (*Document)["author"] = Options.Author;
  const Expected<OperatorDocument> Checked = operatorDocumentFrom(*Document);
  if (!Checked)
    return refuseUsage(Arguments[0] + ": " + Checked.error().Message);
  const Expected<Revision> Replaced = expectedRevision(*Document, Options);
  if (!Replaced)
    return tl::make_unexpected(Replaced.error());
  return CtlRequest{"PUT",
                    "/v1/config",
                    {{"document", *Document}, {"expected_revision", *Replaced}},
                    CtlView::Accepted};
}

Scope scopeOf(const CtlOptions &Options) {
  return {CustomerId(Options.Customer), WorkspaceId(Options.Workspace),
          ModelId(Options.Model), EndpointId(Options.Endpoint),
          ServiceId(Options.Service)};
}

/// A number where the text is one, else the text itself.
Json valueFrom(const std::string &Text) {
  const Json Value = Json::parse(Text, nullptr, false);
  return Value.is_number() ? Value : Json(Text);
}

/// The id that --id gives, or one that says what is set for whom.
std::string exceptionId(const std::string &Setting, const CtlOptions &Options) {
  if (!Options.Id.empty())
    return Options.Id;
  std::string Id = Setting;
  for (const std::string *Name :
       {&Options.Customer, &Options.Workspace, &Options.Model,
        &Options.Endpoint, &Options.Service})
    if (!Name->empty())
      Id += "-" + *Name;
  return Id;
}

Expected<CtlRequest> parseExceptionAdd(const Words &Arguments,
                                       const CtlOptions &Options) {
  if (Options.Reason.empty())
    return refuseUsage("an exception needs its --reason");
  if (scopeOf(Options) == Scope())
    return refuseUsage("an exception needs at least one of --customer, "
                       "--workspace, --model, --endpoint and --service");
  Json Body = {{"id", exceptionId(Arguments[0], Options)},
               {"scope", scopeOf(Options)},
               {"setting", Arguments[0]},
               {"value", valueFrom(Arguments[1])},
               {"reason", Options.Reason},
               {"author", Options.Author}};
  if (!Options.Until.empty())
    Body["until"] = Options.Until;
  const Expected<OperatorException> Checked = operatorExceptionFrom(Body);
  if (!Checked)
    return refuseUsage(Checked.error().Message);
  return CtlRequest{"POST", "/v1/exceptions", Body, CtlView::Accepted};
}

Expected<CtlRequest> parseExceptionRemove(const Words &Arguments,
                                          const CtlOptions &) {
  return CtlRequest{"DELETE", "/v1/exceptions/" + encoded(Arguments[0]), Json(),
                    CtlView::Accepted};
}

Expected<CtlRequest> parseExceptionList(const Words &, const CtlOptions &) {
  return get("/v1/config", CtlView::Exceptions);
}

Expected<CtlRequest> parseProgramShow(const Words &Arguments,
                                      const CtlOptions &) {
  return get("/v1/programs/" + encoded(Arguments[0]), CtlView::Program);
}

Expected<CtlRequest> parseProgramEnd(const Words &Arguments,
                                     const CtlOptions &) {
  return CtlRequest{"DELETE", "/v1/programs/" + encoded(Arguments[0]), Json(),
                    CtlView::Program};
}

Expected<CtlRequest> parseDrain(const Words &Arguments, const CtlOptions &) {
  return CtlRequest{
      "POST", "/v1/drain", {{"instance", Arguments[0]}}, CtlView::Drain};
}

Expected<CtlRequest> parseExplain(const Words &Arguments,
                                  const CtlOptions &Options) {
  std::string Path = "/v1/explain/" + encoded(Arguments[0]);
  if (!Options.Program.empty())
    Path += "?program=" + encoded(Options.Program);
  return get(Path, CtlView::Explanation);
}

const std::vector<CommandRow> Commands = {
    {"status", "", 0,
     "Show which processes are live and which revision is in force where.",
     parseStatus},
    {"config show", "", 0, "Show the document in force.", parseConfigShow},
    {"config set", "FILE", 1,
     "Replace the document by the one in FILE, if nobody was faster.",
     parseConfigSet},
    {"config history", "", 0, "Show who made which revision.",
     parseConfigHistory},
    {"exception add", "SETTING VALUE", 2,
     "Add an exception; needs --reason and at least one scope flag.",
     parseExceptionAdd},
    {"exception remove", "ID", 1, "Remove an exception.", parseExceptionRemove},
    {"exception list", "", 0, "Show the exceptions with their reasons.",
     parseExceptionList},
    {"program show", "PROGRAM", 1, "Show a program's calls and budget.",
     parseProgramShow},
    {"program end", "PROGRAM", 1, "End a program and release what it holds.",
     parseProgramEnd},
    {"drain", "INSTANCE", 1,
     "Let a process finish its work, take no new work and stop.", parseDrain},
    {"explain", "CALL", 1, "Say why a call went where it did, or was refused.",
     parseExplain},
};

const char *const HelpHead = R"(tamarackctl - operate a fleet of tamarackd

Usage: tamarackctl [FLAGS] COMMAND

Commands:
)";

const char *const HelpTail = R"(
Flags of every command:
  --entry HOST:PORT     The operator port of any entry [127.0.0.1:7102].
  --key_file FILE       The file with the operators' key.
  --timeout_ms N        How long to wait for an answer [10000].
  --json                Write the answer as one JSON value.

Flags of exception add:
  --customer, --workspace, --model, --endpoint, --service NAME
                        What the exception covers; all given must match.
  --reason TEXT         Why. Required.
  --until TIME          When it ends, UTC, such as 2026-12-24T18:00:00Z.
  --id ID               Its id [made of the setting and the names].
  --author NAME         Who [$USER]. Also for config set.

Other flags:
  --expect N            config set: the revision that FILE replaces [as FILE
                        says].
  --program PROGRAM     explain: the program of the call.

Exit codes:
  0  done                         3  no answer from the entry
  1  refused by the system        4  key missing or wrong
  2  mistake on the command line  5  another change was accepted first

Settings for defaults and exceptions:
)";

constexpr std::size_t HelpColumn = 34;

std::string padded(std::string Text, std::size_t Width) {
  Text.resize(std::max(Text.size() + 1, Width), ' ');
  return Text;
}

std::size_t wordCount(const std::string &Name) {
  return Name.find(' ') == std::string::npos ? 1 : 2;
}

bool startsWith(const Words &Given, const CommandRow &Row) {
  const std::size_t Count = wordCount(Row.Name);
  if (Given.size() < Count)
    return false;
  const std::string Name = Count == 1 ? Given[0] : Given[0] + " " + Given[1];
  return Name == Row.Name;
}

/// A terminal may hand over bytes that JSON can't carry.
Expected<CtlRequest> withValidText(Expected<CtlRequest> Request) {
  if (!Request)
    return Request;
  try {
    const std::string Ignored = Request->Body.dump();
    return Request;
  } catch (const Json::exception &) {
    return refuseUsage("a text is not valid UTF-8");
  }
}

std::string joined(const Words &Given) {
  std::string Text;
  for (const std::string &Word : Given)
    Text += (Text.empty() ? "" : " ") + Word;
  return Text;
}

} // namespace

Expected<CtlRequest> parseCommand(const Words &Given,
                                  const CtlOptions &Options) {
  if (Given.empty())
    return refuseUsage("no command; see tamarackctl --help");
  for (const CommandRow &Row : Commands) {
    if (!startsWith(Given, Row))
      continue;
    const Words Arguments(Given.begin() +
                              static_cast<std::ptrdiff_t>(wordCount(Row.Name)),
                          Given.end());
    if (Arguments.size() != Row.ArgumentCount)
      return refuseUsage("usage: tamarackctl " + std::string(Row.Name) +
                         (Row.ArgumentCount > 0 ? " " : "") + Row.Arguments);
    return withValidText(Row.Parse(Arguments, Options));
  }
  return refuseUsage("no command \"" + joined(Given) +
                     "\"; see tamarackctl --help");
}

std::string helpText() {
  std::string Text = HelpHead;
  for (const CommandRow &Row : Commands) {
    const std::string Usage = std::string(Row.Name) + " " + Row.Arguments;
    Text += "  " + padded(Usage, HelpColumn) + Row.Help + "\n";
  }
  Text += HelpTail;
  for (const SettingRule &Rule : settingRules())
    Text += "  " + padded(Rule.Name, HelpColumn) + expectedBy(Rule) + "\n";
  return Text;
}

} // namespace tamarack
