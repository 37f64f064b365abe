#include "tamarack/ledger/Program.h"

#include <boost/test/unit_test.hpp>

namespace tamarack {

BOOST_AUTO_TEST_SUITE(Program)

BOOST_AUTO_TEST_CASE(completedCallIsAddedToTheHistory) {
  const ProgramId Root("andes:brief-17");
  ProgramStart Start;
  Start.Budget = 100;
  Intent Sent;
  Sent.Call = CallId("c1");
  Sent.Sequence = 1;
  Sent.Reserved = 60;
  Sent.NewMessages = R"([{"role":"user"}])";
  AttemptResult Done;
  Done.Call = Sent.Call;
  Done.How = Outcome::Completed;
  Done.AnswerMessage = R"({"role":"assistant"})";
  Done.Used = 20;
  const auto Tree = replay(Root, {{Root, Start}, {Root, Sent}, {Root, Done}});
  BOOST_REQUIRE_MESSAGE(Tree, Tree.error());
  const ProgramState &State = Tree->Programs.at(Root);
  const std::vector<std::string> Expected{R"({"role":"user"})",
                                          R"({"role":"assistant"})"};
  BOOST_TEST(State.History == Expected, boost::test_tools::per_element());
  BOOST_TEST(Tree->Settled == 20U);
  BOOST_TEST(Tree->Reserved == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace tamarack
