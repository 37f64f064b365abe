#include "SchemaCheck.h"

#include <algorithm>
#include <map>
#include <optional>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace tamarack::internal {

const char *const NothingFound = "nothing";

namespace {

constexpr std::size_t LongestQuote = 60;
const std::string FailedChild = "Failed to validate ";
const std::string MissingKey = "Missing required property '";

using Path = std::vector<std::string>;

/// Whether \p Byte is not the first of a character in UTF-8.
bool isContinuation(char Byte) {
  return (static_cast<unsigned char>(Byte) & 0xC0U) == 0x80U;
}

/// valijson's context is "<root>" and then "[key]" for each step.
Path pathOf(const valijson::ValidationResults::Error &Failure) {
  Path Steps;
  for (const std::string &Step : Failure.context)
    if (Step.size() >= 2 && Step.front() == '[')
      Steps.push_back(Step.substr(1, Step.size() - 2));
  return Steps;
}

std::string pointerTo(const Path &Steps) {
  Json::json_pointer Pointer;
  for (const std::string &Step : Steps)
    Pointer.push_back(Step);
  return Pointer.to_string();
}

/// The name of the property that \p Text calls missing.
std::string missingIn(const std::string &Text) {
  const std::size_t End = Text.rfind('\'');
  return Text.substr(MissingKey.size(), End - MissingKey.size());
}

const Json *childOf(const Json &Schema, const std::string &Step) {
  if (Schema.contains("properties") && Schema["properties"].contains(Step))
    return &Schema["properties"][Step];
  if (Schema.contains("items"))
    return &Schema["items"];
  return nullptr;
}

std::string expectedAt(const Json &Schema, const Path &Steps) {
  const Json *Node = &Schema;
  for (const std::string &Step : Steps) {
    Node = childOf(*Node, Step);
    if (!Node)
      return "no such key";
  }
  return Node->value("description", "another value");
}

std::string foundAt(const Json &Document, const std::string &Pointer) {
  const Json::json_pointer Where(Pointer);
  return Document.contains(Where) ? quoted(Document.at(Where)) : NothingFound;
}

/// Nothing for a failure that only repeats the failure of a child.
std::optional<Path>
pathToReport(const valijson::ValidationResults::Error &Failure) {
  const std::string &Text = Failure.description;
  Path Steps = pathOf(Failure);
  if (Text.rfind(MissingKey, 0) == 0) {
    Steps.push_back(missingIn(Text));
    return Steps;
  }
  if (Text.rfind(FailedChild, 0) == 0)
    return std::nullopt;
  return Steps;
}

} // namespace

std::string quoted(const Json &Value) {
  std::string Text = Value.dump(-1, ' ', false, Json::error_handler_t::replace);
  if (Text.size() <= LongestQuote)
    return Text;
  std::size_t End = LongestQuote;
  // A cut within a character would make the whole report invalid UTF-8.
  while (End > 0 && isContinuation(Text[End]))
    --End;
  return Text.substr(0, End) + "...";
}

void sortMistakes(std::vector<SettingsMistake> &Mistakes) {
  std::sort(Mistakes.begin(), Mistakes.end());
}

std::vector<SettingsMistake> checkSchema(const Json &Schema,
                                         const Json &Document) {
  valijson::Schema Compiled;
  valijson::SchemaParser Parser;
  const valijson::adapters::NlohmannJsonAdapter SchemaAdapter(Schema);
  Parser.populateSchema(SchemaAdapter, Compiled);

  valijson::Validator Validator;
  valijson::ValidationResults Results;
  const valijson::adapters::NlohmannJsonAdapter Target(Document);
  Validator.validate(Compiled, Target, &Results);

  std::map<std::string, SettingsMistake> ByPath;
  for (const auto &Failure : Results)
    if (const std::optional<Path> Steps = pathToReport(Failure)) {
      const std::string Pointer = pointerTo(*Steps);
      ByPath[Pointer] = {Pointer, foundAt(Document, Pointer),
                         expectedAt(Schema, *Steps)};
    }
  std::vector<SettingsMistake> Mistakes;
  Mistakes.reserve(ByPath.size());
  for (auto &Entry : ByPath)
    Mistakes.push_back(std::move(Entry.second));
  return Mistakes;
}

} // namespace tamarack::internal
