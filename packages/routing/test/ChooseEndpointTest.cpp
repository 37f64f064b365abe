#include "tamarack/routing/ChooseEndpoint.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace tamarack {
namespace {

using std::chrono::milliseconds;

const RegionId Home("andes");
const EndpointId A("a");
const EndpointId B("b");

EndpointView view(const EndpointId &Endpoint, int WaitMs,
                  const RegionId &Region = Home) {
  EndpointView Result;
  Result.Endpoint = Endpoint;
  Result.Region = Region;
  Result.Limit = 8;
  Result.ExpectedWait = milliseconds(WaitMs);
  return Result;
}

/// Two endpoints in the home region, and a call of 4000 prompt tokens, which
/// take one second to prefill.
struct Scenario {
  std::vector<EndpointView> Views = {view(A, 0), view(B, 0)};
  RoutingRequest Request;
  CostModel Model;

  Scenario() {
    Request.PromptTokens = 4000;
    Request.Home = Home;
    Model.HysteresisMargin = milliseconds(500);
  }
};

struct TestCase {
  const char *Description;
  void (*Change)(Scenario &);
  EndpointId Expected;
};

void check(const std::vector<TestCase> &Cases) {
  for (const TestCase &Case : Cases) {
    Scenario Input;
    Case.Change(Input);
    for (std::uint64_t Draw : {0ULL, 1ULL << 32, 12345678901234567ULL}) {
      const auto Chosen =
          chooseEndpoint(Input.Views, Input.Request, Input.Model, Draw);
      BOOST_TEST_INFO(Case.Description << ", draw " << Draw);
      BOOST_TEST_REQUIRE(Chosen.has_value());
      BOOST_TEST_INFO(Chosen->Reason << " at " << Chosen->Cost.count()
                                     << " us");
      BOOST_TEST(Chosen->Endpoint == Case.Expected);
    }
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(ChooseEndpointTest)

BOOST_AUTO_TEST_CASE(ChoosesTheCheaperOfTwoWithoutCache) {
  check({
      {"a shorter wait",
       [](Scenario &Input) { Input.Views[0].ExpectedWait = milliseconds(10); },
       B},
      {"calls of this entry count before any report",
       [](Scenario &Input) {
         Input.Views[0].UnreportedWait = milliseconds(10);
       },
       B},
      {"the same data centre",
       [](Scenario &Input) {
         Input.Request.DataCentre = DataCentreId("andes-b");
         Input.Views[1].DataCentre = DataCentreId("andes-b");
       },
       B},
      {"equal cost, less load",
       [](Scenario &Input) { Input.Views[0].Running = 1; }, B},
  });
}

BOOST_AUTO_TEST_CASE(StaysWithTheCacheWithinTheMargin) {
  check({
      {"cached there",
       [](Scenario &Input) {
         Input.Request.CachedPromptTokens = {{B, 3500}};
       },
       B},
      {"cached there, with a wait shorter than the prefill",
       [](Scenario &Input) {
         Input.Request.CachedPromptTokens = {{B, 4000}};
         Input.Views[1].ExpectedWait = milliseconds(900);
       },
       B},
      {"another endpoint is cheaper, but within the margin",
       [](Scenario &Input) {
         Input.Request.CachedPromptTokens = {{B, 4000}};
         Input.Views[1].ExpectedWait = milliseconds(1499);
       },
       B},
      {"another endpoint is cheaper by more than the margin",
       [](Scenario &Input) {
         Input.Request.CachedPromptTokens = {{B, 4000}};
         Input.Views[1].ExpectedWait = milliseconds(1501);
       },
       A},
      {"cached at two endpoints, of which the last one is preferred",
       [](Scenario &Input) {
         Input.Request.CachedPromptTokens = {{A, 4000}, {B, 4000}};
         Input.Request.LastEndpoint = B;
         Input.Views[1].ExpectedWait = milliseconds(400);
       },
       B},
      {"used last but no longer cached",
       [](Scenario &Input) {
         Input.Request.LastEndpoint = B;
         Input.Views[1].ExpectedWait = milliseconds(100);
       },
       A},
  });
}

BOOST_AUTO_TEST_CASE(LeavesTheHomeRegionOnlyIfItIsUnavailableOrCostly) {
  static const RegionId OtherRegion("costa");
  check({
      {"the home region is busy",
       [](Scenario &Input) {
         Input.Views = {view(A, 0, OtherRegion), view(B, 4000)};
       },
       B},
      {"the home region costs more by the margin",
       [](Scenario &Input) {
         Input.Views = {view(A, 0, OtherRegion), view(B, 6000)};
       },
       A},
      {"the home region costs more, but the history is long",
       [](Scenario &Input) {
         Input.Views = {view(A, 0, OtherRegion), view(B, 6000)};
         Input.Request.HistoryBytes = 2'000'000;
       },
       B},
      {"the home region is unavailable",
       [](Scenario &Input) {
         Input.Views = {view(A, 0, OtherRegion), view(B, 0)};
         Input.Views[1].State = MemberState::Gone;
         Input.Request.HistoryBytes = 2'000'000;
       },
       A},
  });
}

BOOST_AUTO_TEST_CASE(SkipsUnavailableEndpoints) {
  check({
      {"leaving, though it has the cache",
       [](Scenario &Input) {
         Input.Request.CachedPromptTokens = {{A, 4000}};
         Input.Views[0].State = MemberState::Leaving;
       },
       B},
      {"ejected", [](Scenario &Input) { Input.Views[0].Ejected = true; }, B},
      {"already tried", [](Scenario &Input) { Input.Request.Exclude = {A}; },
       B},
      {"suspected, and another is live",
       [](Scenario &Input) {
         Input.Views[0].State = MemberState::Suspected;
         Input.Views[1].ExpectedWait = milliseconds(3000);
       },
       B},
      {"suspected, and no other endpoint",
       [](Scenario &Input) {
         Input.Views = {view(A, 0)};
         Input.Views[0].State = MemberState::Suspected;
       },
       A},
  });
}

BOOST_AUTO_TEST_CASE(RefusesAsNotRunIfNoEndpointIsAvailable) {
  Scenario Input;
  Input.Request.Exclude = {A, B};
  const auto Chosen =
      chooseEndpoint(Input.Views, Input.Request, Input.Model, 0);
  BOOST_TEST_REQUIRE(!Chosen.has_value());
  BOOST_TEST(Chosen.error().Kind == ErrorKind::EndpointUnavailable);
  BOOST_TEST((Chosen.error().Proof == NotRun::Proved));
  BOOST_TEST(retryAfterOf(Chosen.error()).count() == 2);
}

BOOST_AUTO_TEST_CASE(ChoosesOnlyAvailableEndpoints) {
  BOOST_TEST(rc::check([] {
    Scenario Input;
    Input.Views.clear();
    bool Available = false;
    const int Count = *rc::gen::inRange(0, 8);
    for (int I = 0; I < Count; ++I) {
      EndpointView Next =
          view(EndpointId(std::to_string(I)), *rc::gen::inRange(0, 9000),
               *rc::gen::element(Home, RegionId("costa")));
      Next.State = static_cast<MemberState>(*rc::gen::inRange(0, 4));
      Next.Ejected = *rc::gen::inRange(0, 4) == 0;
      if (*rc::gen::inRange(0, 4) == 0)
        Input.Request.Exclude.push_back(Next.Endpoint);
      else if (!Next.Ejected && Next.State <= MemberState::Suspected)
        Available = true;
      if (*rc::gen::inRange(0, 3) == 0)
        Input.Request.CachedPromptTokens[Next.Endpoint] =
            *rc::gen::inRange(0, 9000);
      Input.Views.push_back(Next);
    }
    const auto Chosen = chooseEndpoint(Input.Views, Input.Request, Input.Model,
                                       *rc::gen::arbitrary<std::uint64_t>());
    RC_ASSERT(Chosen.has_value() == Available);
    if (!Available)
      return;
    for (const EndpointId &Excluded : Input.Request.Exclude)
      RC_ASSERT(Chosen->Endpoint != Excluded);
    for (const EndpointView &View : Input.Views)
      if (View.Endpoint == Chosen->Endpoint) {
        RC_ASSERT(View.State <= MemberState::Suspected && !View.Ejected);
        RC_ASSERT(Chosen->Cost == costAt(View, Input.Request, Input.Model));
      }
  }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace tamarack
