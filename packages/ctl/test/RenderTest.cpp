#include "tamarack/ctl/Render.h"

#include "tamarack/config/OperatorApi.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;

BOOST_AUTO_TEST_SUITE(WhatAPersonReads)

BOOST_AUTO_TEST_CASE(StatusSaysWhichRevisionIsInForceWhere) {
  StatusReport Report{InstanceId("entry-1"), 7, "down", true, {}, {}};
  Report.Instances = {{InstanceId("entry-1"), "entry", RegionId("andes"),
                       DataCentreId("andes-a"), "live", 7, 32},
                      {InstanceId("slot-1"), "endpoint", RegionId("costa"),
                       DataCentreId("costa-a"), "leaving", 6, 4}};
  Report.Counters = {{"refused_overloaded", 3}};
  BOOST_TEST(
      render(CtlView::Status, Report) ==
      "Answered by entry-1: revision 7 in force, platform down, serving\n\n"
      "INSTANCE  ROLE      REGION  DATA CENTRE  STATE    REVISION  LOAD\n"
      "entry-1   entry     andes   andes-a      live     7         32\n"
      "slot-1    endpoint  costa   costa-a      leaving  6         4\n\n"
      "refused_overloaded 3\n");
}

BOOST_AUTO_TEST_CASE(ExceptionsShowTheirReasons) {
  OperatorDocument Document;
  BOOST_TEST(render(CtlView::Exceptions, Document) == "No exceptions.\n");
  Document.Exceptions = {{"e",
                          {},
                          OperatorSetting::Class,
                          std::string("high"),
                          "pilot",
                          "ana",
                          {}}};
  Document.Exceptions[0].Covers.Model = ModelId("mercado");
  BOOST_TEST(render(CtlView::Exceptions, Document) ==
             "ID  COVERS         SETTING  VALUE   UNTIL   AUTHOR  REASON\n"
             "e   model mercado  class    \"high\"  no end  ana     pilot\n");
}

BOOST_AUTO_TEST_CASE(TheDocumentTellsSetValuesFromBuiltInOnes) {
  OperatorDocument Document;
  Document.Made = {3, "ana", "t", "new budget"};
  Document.Defaults[OperatorSetting::BudgetTokens] = std::int64_t(5);
  const std::string Text = render(CtlView::Config, Document);
  BOOST_TEST(Text.find("Revision 3 by ana: new budget\n") == 0U, Text);
  for (const char *Line :
       {"budget_tokens          5                    tokens   set\n",
        "max_turns              500                  calls    built-in\n"})
    BOOST_TEST(Text.find(Line) != std::string::npos, Text);
  const Json History = {{"history", {Document.Made}}};
  BOOST_TEST(render(CtlView::History, History) ==
             "REVISION  AUTHOR  COMMENT\n3         ana     new budget\n");
}

BOOST_AUTO_TEST_CASE(AnExplanationNamesTheCandidatesAndTheRefusal) {
  using std::chrono::microseconds;
  Explanation Report{CallId("c"),
                     ProgramId("p"),
                     CustomerId("clinic"),
                     InstanceId("entry-1"),
                     CallClass::High,
                     "refused",
                     "overloaded",
                     "All queues are full.",
                     7,
                     {"e"},
                     {},
                     {}};
  Report.Candidates = {{EndpointId("a-1"), microseconds(1500),
                        microseconds(20'000), microseconds(40), 900, true,
                        "cached here"}};
  Report.Attempts = {{1, EndpointId("a-1"), "overloaded"}};
  BOOST_TEST(
      render(CtlView::Explanation, Report) ==
      "Call c of program p, clinic, class high: refused (overloaded)\n"
      "All queues are full.\n"
      "Decided by entry-1 under revision 7, exception e\n\n"
      "  ENDPOINT  WAIT MS  PREFILL MS  NETWORK MS  CACHED TOKENS  REASON\n"
      "* a-1       1.5      20.0        0.0         900            cached "
      "here\n\n"
      "ATTEMPT  ENDPOINT  OUTCOME\n1        a-1       overloaded\n");
}

BOOST_AUTO_TEST_CASE(AnAnswerOfAnotherShapeIsShownAsItIs) {
  BOOST_TEST(render(CtlView::Accepted, Json::object()) == "{}\n");
  BOOST_TEST(render(CtlView::Status, Json("odd")) == "\"odd\"\n");
  BOOST_TEST(render(CtlView::Program, {{"state", "ended"}, {"turns", 4}}) ==
             "state: ended\nturns: 4\n");
  BOOST_TEST(render(CtlView::Drain, Json::object()) == "Done.\n");
}

BOOST_AUTO_TEST_SUITE_END()
