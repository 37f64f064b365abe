#include "tamarack/turns/StreamOrigin.h"
#include "tamarack/turns/Messages.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

const TimePoint StartTime{Duration(1h)};

EndpointProcess process(const std::string &Endpoint,
                        const std::string &Version) {
  return {
      EndpointId(Endpoint), 7, {ServiceId("llm"), SoftwareVersion(Version)}};
}

TurnRecord openRecord(const std::string &Turn, const std::string &Version,
                      std::uint32_t Attempt = 1) {
  return {ProgramId("p"),
          TurnId(Turn),
          {10, false},
          nullptr,
          {},
          StreamOrigin{Attempt, 4s, process("e", Version)}};
}

std::string versionOf(const TurnStore &Store, const std::string &Turn,
                      const std::string &Program = "p") {
  const auto Origin = Store.origin(TurnId(Turn), ProgramId(Program));
  if (!Origin)
    return "none";
  return Origin->Process ? Origin->Process->Runs.Version.text() : "unknown";
}

} // namespace

BOOST_AUTO_TEST_SUITE(AStreamOrigin)

BOOST_AUTO_TEST_CASE(OfALaterAttemptCountsInAnyOrder) {
  TurnStore Store;
  Store.apply(openRecord("t", "v2", 2), StartTime);
  Store.apply(openRecord("t", "v1", 1), StartTime);
  BOOST_TEST(versionOf(Store, "t") == "v2");
}

BOOST_AUTO_TEST_CASE(IsUnknownAfterTwoProcessesForOneAttempt) {
  TurnStore Store;
  Store.apply(openRecord("t", "v2"), StartTime);
  Store.apply(openRecord("t", "v1"), StartTime);
  BOOST_TEST(versionOf(Store, "t") == "unknown");
}

BOOST_AUTO_TEST_CASE(IsKeptWhenTheTurnIsSettledWithoutOne) {
  TurnStore Store;
  Store.apply(openRecord("t", "v1"), StartTime);
  Store.apply({ProgramId("p"), TurnId("t"), {5, true}, nullptr, {}}, StartTime);
  BOOST_TEST(versionOf(Store, "t") == "v1");
}

BOOST_AUTO_TEST_CASE(IsNotToldToAnotherProgram) {
  TurnStore Store;
  Store.apply(openRecord("t", "v1"), StartTime);
  BOOST_TEST(versionOf(Store, "t", "q") == "none");
}

BOOST_AUTO_TEST_CASE(ExpiresSomeTimeAfterItsStream) {
  TurnStore Store;
  Store.apply(openRecord("t", "v1"), StartTime);
  Store.expire(StartTime + 5s);
  BOOST_TEST(versionOf(Store, "t") == "v1");
  BOOST_TEST(Store.originVersions().size() == 1U);
  Store.expire(StartTime + 60s);
  BOOST_TEST(versionOf(Store, "t") == "none");
  BOOST_TEST(Store.originVersions().empty());
}

BOOST_AUTO_TEST_CASE(IsFetchedByALedgerThatLacksIt) {
  TurnStore Store;
  Store.apply({ProgramId("p"), TurnId("t"), {10, false}, nullptr, {}},
              StartTime);
  TurnStore Other;
  Other.apply(openRecord("t", "v1"), StartTime);
  const RecordSummary Summary = Other.summaries(StartTime).at(0);
  BOOST_TEST(Store.isMissing(Summary));
  Store.apply(*Other.record(TurnId("t")), StartTime);
  BOOST_TEST(!Store.isMissing(Summary));
  BOOST_TEST(versionOf(Store, "t") == "v1");
}

BOOST_AUTO_TEST_CASE(SharesItsProcessWithOthers) {
  TurnStore Store;
  for (int Number = 0; Number < 100000; ++Number)
    Store.apply(
        openRecord("t" + std::to_string(Number), std::to_string(Number % 20)),
        StartTime);
  BOOST_TEST(Store.originProcessCount() == 20U);
  Store.expire(StartTime + 60s);
  BOOST_TEST(Store.originProcessCount() == 0U);
}

BOOST_AUTO_TEST_CASE(SurvivesItsEncodings) {
  TurnRecord Record = openRecord("t", "v1", 3);
  BOOST_TEST((Json(Record).get<TurnRecord>().Origin == Record.Origin));
  Record.Origin->Process.reset();
  BOOST_TEST((Json(Record).get<TurnRecord>().Origin == Record.Origin));
  RecordResponse Answer;
  Answer.ResumedOrigin = Record.Origin;
  Answer.OriginVersions = {process("e", "v1").Runs};
  const auto Decoded = Json(Answer).get<RecordResponse>();
  BOOST_TEST((Decoded.ResumedOrigin == Answer.ResumedOrigin));
  BOOST_TEST((Decoded.OriginVersions == Answer.OriginVersions));
  RecordRequest Question;
  for (const auto &Resumed :
       {std::optional<TurnId>(), {TurnId("t")}, {TurnId()}}) {
    Question.ResumedTurn = Resumed;
    BOOST_TEST((Json(Question).get<RecordRequest>().ResumedTurn == Resumed));
  }
}

/// Guards against a ledger that cannot read its disk after an update.
BOOST_AUTO_TEST_CASE(IsMissingInRecordsOfEarlierReleases) {
  const Json Stored = Json::array({"p", "t", 10, false, nullptr, nullptr});
  BOOST_TEST(!Stored.get<TurnRecord>().Origin.has_value());
  const Json Summary = Json::array({"t", true, false});
  BOOST_TEST(Summary.get<RecordSummary>().OriginAttempt == 0U);
  const Json Request = Json::array(
      {1, Json::array({"p", "t", 10, false, nullptr, nullptr}), "", nullptr});
  BOOST_TEST(!Request.get<RecordRequest>().ResumedTurn.has_value());
}

BOOST_AUTO_TEST_CASE(MergesInAnyOrderAndAnyNumberOfTimes) {
  rc::check([] {
    const auto Draw = [] {
      std::optional<StreamOrigin> Result;
      if (*rc::gen::inRange(0, 4) == 0)
        return Result;
      Result = StreamOrigin{*rc::gen::inRange<std::uint32_t>(1, 4),
                            std::chrono::seconds(*rc::gen::inRange(0, 3)),
                            {}};
      if (*rc::gen::inRange(0, 4) != 0)
        Result->Process =
            process("e", *rc::gen::element<std::string>("1", "2"));
      return Result;
    };
    const auto First = Draw();
    const auto Second = Draw();
    const auto Third = Draw();
    auto Left = First;
    mergeOrigin(Left, Second);
    mergeOrigin(Left, Third);
    auto Right = Third;
    mergeOrigin(Right, Second);
    mergeOrigin(Right, First);
    mergeOrigin(Right, Second);
    RC_ASSERT((Left == Right));
  });
}

BOOST_AUTO_TEST_SUITE_END()
