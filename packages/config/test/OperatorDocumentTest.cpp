#include "tamarack/config/OperatorDocument.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;

namespace {

Json exceptionJson(const char *Id, Json Covers, const char *Setting,
                   Json Value) {
  return {{"id", Id},           {"scope", std::move(Covers)},
          {"setting", Setting}, {"value", std::move(Value)},
          {"reason", "a test"}, {"author", "ana"}};
}

Json documentJson() {
  Json Ending = exceptionJson("ends", {{"customer", "clinic"}}, "max_turns", 9);
  Ending["until"] = "2026-12-24T18:00:00Z";
  return {
      {"author", "ana"},
      {"defaults", {{"budget_tokens", 1000}, {"retry_fraction", 0.2}}},
      {"exceptions",
       {exceptionJson("model", {{"model", "mercado"}}, "class", "high"),
        exceptionJson("both", {{"customer", "clinic"}, {"model", "mercado"}},
                      "class", "low"),
        exceptionJson("customer", {{"customer", "clinic"}}, "class", "normal"),
        Ending}}};
}

CalendarTime at(const char *Text) { return *calendarTimeFrom(Text); }

const CalendarTime Before = at("2026-12-24T17:59:59Z");

Scope scopeOf(const char *Customer, const char *Model) {
  Scope Result;
  Result.Customer = CustomerId(Customer);
  Result.Model = ModelId(Model);
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(OperatorsDocument)

BOOST_AUTO_TEST_SUITE(WhatHolds)

BOOST_AUTO_TEST_CASE(EveryRuleDefaultsWithinItsOwnBounds) {
  for (std::size_t I = 0; I < settingRules().size(); ++I) {
    const SettingRule &Rule = settingRules()[I];
    BOOST_TEST(static_cast<std::size_t>(Rule.Setting) == I, Rule.Name);
    BOOST_TEST(settingValueFrom(Rule, jsonOf(Rule.Default)).has_value(),
               Rule.Name << ": expected " << expectedBy(Rule));
    BOOST_TEST(Json(effective({}, {}, Before)).at(Rule.Name) ==
                   jsonOf(Rule.Default),
               Rule.Name);
  }
}

BOOST_AUTO_TEST_CASE(TheNarrowestExceptionWinsAndALaterOneAmongEquals) {
  const auto Document = operatorDocumentFrom(documentJson());
  BOOST_TEST_REQUIRE(Document.has_value(), Document.error());
  struct Case {
    const char *Customer, *Model;
    CallClass Class;
    std::vector<std::string> Applied;
  };
  const std::vector<Case> Cases = {
      {"other", "other", CallClass::Normal, {}},
      {"other", "mercado", CallClass::High, {"model"}},
      {"clinic", "other", CallClass::Normal, {"customer", "ends"}},
      {"clinic", "mercado", CallClass::Low, {"both", "ends"}},
  };
  for (const Case &Row : Cases) {
    const EffectiveDefaults Rules =
        effective(*Document, scopeOf(Row.Customer, Row.Model), Before);
    const std::string Context = std::string(Row.Customer) + " at " + Row.Model;
    BOOST_TEST(Rules.Class == Row.Class, Context << ": " << Rules.Class);
    BOOST_TEST(Rules.Applied == Row.Applied, boost::test_tools::per_element());
    BOOST_TEST(Rules.BudgetTokens == 1000U, Context);
  }
}

BOOST_AUTO_TEST_CASE(AnExceptionEndsAtItsTime) {
  const OperatorDocument Document = *operatorDocumentFrom(documentJson());
  const Scope Asked = scopeOf("clinic", "any");
  BOOST_TEST(effective(Document, Asked, Before).MaxTurns == 9U);
  BOOST_TEST(effective(Document, Asked, at("2026-12-24T18:00:00Z")).MaxTurns ==
             500U);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE(Changes)

BOOST_AUTO_TEST_CASE(ADocumentSurvivesTheWayOverTheWire) {
  const OperatorDocument Sent =
      nextRevision({}, *operatorDocumentFrom(documentJson()),
                   {0, "ana", "token-1", "first"});
  BOOST_TEST((Json(Sent).get<OperatorDocument>() == Sent), Json(Sent));
  BOOST_TEST(checkOperatorDocument(Json(Sent)).empty());
}

BOOST_AUTO_TEST_CASE(ARevisionRemembersItsPredecessorsUpToABound) {
  OperatorDocument Current;
  for (int I = 1; I <= 150; ++I)
    Current = nextRevision(Current, {}, {0, "a", "t" + std::to_string(I), ""});
  BOOST_TEST(Current.Made.Number == 150U);
  BOOST_TEST(Current.History.size() == MaxHistory);
  BOOST_TEST(Current.History.front().Number == 149U);
  BOOST_TEST(wasMadeWith(Current, "t150"));
  BOOST_TEST(wasMadeWith(Current, "t50"));
  BOOST_TEST(!wasMadeWith(Current, "t49"));
}

BOOST_AUTO_TEST_CASE(AnExceptionIsAddedAndRemovedById) {
  const auto Exception = operatorExceptionFrom(
      exceptionJson("x", {{"service", "payout"}}, "tool_timeout_ms", 5));
  BOOST_TEST_REQUIRE(Exception.has_value(), Exception.error());
  const auto With = withException({}, *Exception);
  BOOST_TEST_REQUIRE(With.has_value());
  BOOST_TEST(!withException(*With, *Exception).has_value());
  BOOST_TEST(withoutException(*With, "x")->Exceptions.empty());
  BOOST_TEST(!withoutException(*With, "y").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE(Mistakes)

BOOST_AUTO_TEST_CASE(EachIsRefusedWithItsPath) {
  struct Case {
    const char *Pointer;
    Json Value;
    const char *Path;
  };
  const std::vector<Case> Cases = {
      {"/exceptions/0/reason", "", "/exceptions/0/reason"},
      {"/exceptions/0/reason", "  ", "/exceptions/0/reason"},
      {"/exceptions/0/scope", Json::object(), "/exceptions/0/scope"},
      {"/exceptions/0/scope/colour", "red", "/exceptions/0/scope/colour"},
      {"/exceptions/0/setting", "speed", "/exceptions/0/setting"},
      {"/exceptions/0/value", "urgent", "/exceptions/0/value"},
      {"/exceptions/1/id", "model", "/exceptions/1/id"},
      {"/exceptions/0/until", "2026-02-31T00:00:00Z", "/exceptions/0/until"},
      {"/exceptions/0/until", "tomorrow", "/exceptions/0/until"},
      {"/exceptions/0/until", 5, "/exceptions/0/until"},
      {"/defaults/budget_tokens", 0, "/defaults/budget_tokens"},
      {"/defaults/budget_tokens", 1.5, "/defaults/budget_tokens"},
      {"/defaults/budget_tokens", 9e18, "/defaults/budget_tokens"},
      {"/defaults/retry_fraction", 1.01, "/defaults/retry_fraction"},
      {"/defaults/cache_retention", "forever", "/defaults/cache_retention"},
      {"/defaults/colour", 1, "/defaults/colour"},
      {"/defaults/low_class_floor", 0.8, "/defaults"},
      {"/author", "", "/author"},
      {"/exceptions", Json::object(), "/exceptions"},
      {"/defaults", Json::array(), "/defaults"},
  };
  for (const Case &Row : Cases) {
    Json Document = documentJson();
    Document[Json::json_pointer(Row.Pointer)] = Row.Value;
    const auto Found = checkOperatorDocument(Document);
    BOOST_TEST_REQUIRE(Found.size() == 1U, Row.Pointer << " = " << Row.Value
                                                       << ": " << Found.size()
                                                       << " mistakes");
    BOOST_TEST(Found.front().Path == Row.Path, Found.front());
  }
}

BOOST_AUTO_TEST_CASE(AnyValueAnywhereIsReportedAndNeverThrown) {
  const std::vector<Json> Odd = {Json(), true,          -1,      UINT64_MAX,
                                 "x",    Json::array(), {1, 2},  Json::object(),
                                 1e300,  {{"id", "x"}}, "\u00e9"};
  const Json Flat = documentJson().flatten();
  std::vector<std::string> Pointers = {
      "",         "/exceptions/0", "/exceptions/0/scope",
      "/history", "/history/0",    "/token",
      "/revision"};
  for (const auto &Leaf : Flat.items())
    Pointers.push_back(Leaf.key());
  for (const std::string &Pointer : Pointers)
    for (const Json &Value : Odd) {
      Json Document = documentJson();
      Document["history"] = Json::array({Json::object()});
      Document[Json::json_pointer(Pointer)] = Value;
      BOOST_CHECK_NO_THROW(operatorDocumentFrom(Document));
    }
}

BOOST_AUTO_TEST_CASE(ADocumentThatIsTooLargeIsRefused) {
  Json Document = documentJson();
  for (int I = 0; I < 450; ++I) {
    Json Long = exceptionJson(std::to_string(I).c_str(), {{"model", "m"}},
                              "max_turns", 1);
    Long["reason"] = std::string(MaxTextLength, 'x');
    Document["exceptions"].push_back(Long);
  }
  const auto Found = checkOperatorDocument(Document);
  BOOST_TEST_REQUIRE(Found.size() == 1U);
  BOOST_TEST(Found.front().Expected == "at most 262144 bytes");
}

BOOST_AUTO_TEST_CASE(AReasonIsRequiredAndTheRefusalSaysSo) {
  Json Exception =
      exceptionJson("x", {{"service", "payout"}}, "tool_timeout_ms", 5);
  Exception.erase("reason");
  const auto Refused = operatorExceptionFrom(Exception);
  BOOST_TEST_REQUIRE(!Refused.has_value());
  BOOST_TEST(Refused.error().Kind == ErrorKind::InvalidConfiguration);
  BOOST_TEST(Refused.error().Message ==
             "/reason: found nothing, expected the reason, 1 to 500 "
             "characters");
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
