#include "tamarack/base/Error.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace tamarack;

BOOST_AUTO_TEST_SUITE(Errors)

BOOST_AUTO_TEST_CASE(EveryKindHasItsOwnTableRow) {
  std::set<std::string> Names;
  for (int Kind = 0; Kind <= static_cast<int>(ErrorKind::Internal); ++Kind) {
    const ErrorAnswer &Row = answerOf(static_cast<ErrorKind>(Kind));
    BOOST_TEST(static_cast<int>(Row.Kind) == Kind, "kind " << Kind);
    Names.insert(Row.Name);
  }
  BOOST_TEST(Names.size() == errorTable().size());
}

BOOST_AUTO_TEST_CASE(AnErrorIsUnchangedByJsonEncodingAndDecoding) {
  const Error Sent{ErrorKind::Overloaded, "queue is full", NotRun::Proved,
                   std::chrono::seconds(7)};
  const Error Received = Json(Sent).get<Error>();
  BOOST_TEST((Sent == Received), "sent " << Sent << ", received " << Received);
}

BOOST_AUTO_TEST_CASE(AnErrorWithoutProofIsNotReportedAsNotRun) {
  const auto Body = errorBody(Error{ErrorKind::Timeout, "no answer", {}, {}});
  BOOST_TEST(Body["error"]["not_run"] == false);
}

BOOST_AUTO_TEST_SUITE_END()
