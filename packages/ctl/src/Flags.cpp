#include "Flags.h"

#include <gflags/gflags.h>

DEFINE_string(entry, "127.0.0.1:7102", "The operator port of any entry.");
DEFINE_string(key_file, "", "The file with the operators' key.");
DEFINE_string(timeout_ms, "10000", "How long to wait for an answer.");
DEFINE_bool(json, false, "Write the answer as one JSON value.");
DEFINE_string(customer, "", "The customer that an exception covers.");
DEFINE_string(workspace, "", "The workspace that an exception covers.");
DEFINE_string(model, "", "The model that an exception covers.");
DEFINE_string(endpoint, "", "The endpoint that an exception covers.");
DEFINE_string(service, "", "The service that an exception covers.");
DEFINE_string(reason, "", "Why there is an exception.");
DEFINE_string(until, "", "When an exception ends.");
DEFINE_string(id, "", "The id of a new exception.");
DEFINE_string(author, "", "Who makes the change.");
DEFINE_string(expect, "", "The revision that a document replaces.");
DEFINE_string(program, "", "The program of the call to explain.");
DECLARE_bool(help);

namespace tamarack {
namespace {

/// gflags itself would leave with the exit code of a refusal.
std::string mistakeInFlag(const std::string &Word, bool IsLast) {
  const std::string Name = Word.substr(Word.find_first_not_of('-'));
  const std::size_t Equals = Name.find('=');
  const std::string Bare = Name.substr(0, Equals);
  gflags::CommandLineFlagInfo Info;
  if (!gflags::GetCommandLineFlagInfo(Bare.c_str(), &Info))
    return "no flag " + Word + "; see tamarackctl --help";
  const bool HasValue = Equals != std::string::npos;
  if (!HasValue && IsLast && Info.type != "bool")
    return Word + " needs a value";
  if (HasValue && gflags::SetCommandLineOption(Bare.c_str(),
                                               Name.substr(Equals + 1).c_str())
                      .empty())
    return Word + ": expected a " + Info.type;
  return {};
}

bool isFlag(const std::string &Word) {
  return Word[0] == '-' && Word.find_first_not_of('-') != std::string::npos;
}

bool takesNextWord(const std::string &Word) {
  gflags::CommandLineFlagInfo Info;
  const std::string Name = Word.substr(Word.find_first_not_of('-'));
  return gflags::GetCommandLineFlagInfo(Name.c_str(), &Info) &&
         Info.type != "bool";
}

std::string mistakeIn(const std::vector<std::string> &Words) {
  for (std::size_t I = 0; I < Words.size(); ++I) {
    if (!isFlag(Words[I]))
      continue;
    std::string Mistake = mistakeInFlag(Words[I], I + 1 == Words.size());
    if (!Mistake.empty())
      return Mistake;
    if (takesNextWord(Words[I]))
      ++I;
  }
  return {};
}

CtlOptions optionsFromFlags() {
  CtlOptions Options;
  Options.Entry = FLAGS_entry;
  Options.KeyFile = FLAGS_key_file;
  Options.Author = FLAGS_author;
  Options.Reason = FLAGS_reason;
  Options.Until = FLAGS_until;
  Options.Id = FLAGS_id;
  Options.Customer = FLAGS_customer;
  Options.Workspace = FLAGS_workspace;
  Options.Model = FLAGS_model;
  Options.Endpoint = FLAGS_endpoint;
  Options.Service = FLAGS_service;
  Options.Program = FLAGS_program;
  Options.ExpectedRevision = FLAGS_expect;
  Options.TimeoutMs = FLAGS_timeout_ms;
  Options.Json = FLAGS_json;
  return Options;
}

} // namespace

Expected<CommandLine> readCommandLine(const std::vector<std::string> &Words) {
  const std::string Mistake = mistakeIn(Words);
  if (!Mistake.empty())
    return refuse(ErrorKind::MalformedRequest, Mistake, NotRun::Proved);

  std::vector<std::string> Texts = {"tamarackctl"};
  Texts.insert(Texts.end(), Words.begin(), Words.end());
  std::vector<char *> Pointers;
  Pointers.reserve(Texts.size() + 1);
  for (std::string &Text : Texts)
    Pointers.push_back(Text.data());
  Pointers.push_back(nullptr);
  int Count = static_cast<int>(Texts.size());
  char **Given = Pointers.data();
  gflags::ParseCommandLineNonHelpFlags(&Count, &Given, true);
  return CommandLine{
      {Given + 1, Given + Count}, optionsFromFlags(), FLAGS_help};
}

} // namespace tamarack
