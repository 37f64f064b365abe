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
  EndpointView Built;
  Built.Endpoint = Endpoint;
  Built.Region = Region;
  Built.Limit = 8;
  Built.ExpectedWait = milliseconds(WaitMs);
  return Built;
}

/// Two endpoints at home, and a call of 4000 tokens, one second of prefill.
struct Scene {
  std::vector<EndpointView> Views = {view(A, 0), view(B, 0)};
  RoutingRequest Needs;
  CostModel Model;

  Scene() {
    Needs.PromptTokens = 4000;
    Needs.Home = Home;
    Model.HysteresisMargin = milliseconds(500);
  }
};

struct Row {
  const char *Story;
  void (*Change)(Scene &);
  EndpointId Expected;
};

void check(const std::vector<Row> &Rows) {
  for (const Row &Case : Rows) {
    Scene Given;
    Case.Change(Given);
    for (std::uint64_t Draw : {0ULL, 1ULL << 32, 12345678901234567ULL}) {
      const auto Chosen =
          chooseEndpoint(Given.Views, Given.Needs, Given.Model, Draw);
      BOOST_TEST_INFO(Case.Story << ", draw " << Draw);
      BOOST_TEST_REQUIRE(Chosen.has_value());
      BOOST_TEST_INFO(Chosen->Reason << " at " << Chosen->Cost.count()
                                     << " us");
      BOOST_TEST(Chosen->Endpoint == Case.Expected);
    }
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(ChoiceOfAnEndpoint)

BOOST_AUTO_TEST_CASE(TheCheapestOfTwoTakesACallWithoutCache) {
  check({
      {"a shorter wait",
       [](Scene &Given) { Given.Views[0].ExpectedWait = milliseconds(10); }, B},
      {"this entry's own work counts before any report",
       [](Scene &Given) { Given.Views[0].UnreportedWait = milliseconds(10); },
       B},
      {"the same data centre",
       [](Scene &Given) {
         Given.Needs.DataCentre = DataCentreId("andes-b");
         Given.Views[1].DataCentre = DataCentreId("andes-b");
       },
       B},
      {"equal cost, less load",
       [](Scene &Given) { Given.Views[0].Running = 1; }, B},
  });
}

BOOST_AUTO_TEST_CASE(AProgramStaysWithItsCacheUntilAMarginIsExceeded) {
  check({
      {"cached there",
       [](Scene &Given) {
         Given.Needs.CachedPromptTokens = {{B, 3500}};
       },
       B},
      {"cached there, with a wait shorter than the prefill",
       [](Scene &Given) {
         Given.Needs.CachedPromptTokens = {{B, 4000}};
         Given.Views[1].ExpectedWait = milliseconds(900);
       },
       B},
      {"elsewhere cheaper, but within the margin",
       [](Scene &Given) {
         Given.Needs.CachedPromptTokens = {{B, 4000}};
         Given.Views[1].ExpectedWait = milliseconds(1499);
       },
       B},
      {"elsewhere cheaper by more",
       [](Scene &Given) {
         Given.Needs.CachedPromptTokens = {{B, 4000}};
         Given.Views[1].ExpectedWait = milliseconds(1501);
       },
       A},
      {"cached at two places, the last one first",
       [](Scene &Given) {
         Given.Needs.CachedPromptTokens = {{A, 4000}, {B, 4000}};
         Given.Needs.LastEndpoint = B;
         Given.Views[1].ExpectedWait = milliseconds(400);
       },
       B},
      {"used last but no longer cached: nothing to stay for",
       [](Scene &Given) {
         Given.Needs.LastEndpoint = B;
         Given.Views[1].ExpectedWait = milliseconds(100);
       },
       A},
  });
}

BOOST_AUTO_TEST_CASE(AnotherRegionIsUsedOnlyWhenHomeIsOutOrMuchDearer) {
  static const RegionId Away("costa");
  check({
      {"home is busy",
       [](Scene &Given) {
         Given.Views = {view(A, 0, Away), view(B, 4000)};
       },
       B},
      {"home is much dearer",
       [](Scene &Given) {
         Given.Views = {view(A, 0, Away), view(B, 6000)};
       },
       A},
      {"but the history is long",
       [](Scene &Given) {
         Given.Views = {view(A, 0, Away), view(B, 6000)};
         Given.Needs.HistoryBytes = 2'000'000;
       },
       B},
      {"home is out",
       [](Scene &Given) {
         Given.Views = {view(A, 0, Away), view(B, 0)};
         Given.Views[1].State = MemberState::Gone;
         Given.Needs.HistoryBytes = 2'000'000;
       },
       A},
  });
}

BOOST_AUTO_TEST_CASE(UnavailableEndpointsGetNothing) {
  check({
      {"leaving, though it has the cache",
       [](Scene &Given) {
         Given.Needs.CachedPromptTokens = {{A, 4000}};
         Given.Views[0].State = MemberState::Leaving;
       },
       B},
      {"ejected", [](Scene &Given) { Given.Views[0].Ejected = true; }, B},
      {"tried already", [](Scene &Given) { Given.Needs.Exclude = {A}; }, B},
      {"suspected, and another is live",
       [](Scene &Given) {
         Given.Views[0].State = MemberState::Suspected;
         Given.Views[1].ExpectedWait = milliseconds(3000);
       },
       B},
      {"suspected, and nothing else",
       [](Scene &Given) {
         Given.Views = {view(A, 0)};
         Given.Views[0].State = MemberState::Suspected;
       },
       A},
  });
}

BOOST_AUTO_TEST_CASE(WithoutAnyEndpointTheCallIsRefusedAsNotRun) {
  Scene Given;
  Given.Needs.Exclude = {A, B};
  const auto Chosen = chooseEndpoint(Given.Views, Given.Needs, Given.Model, 0);
  BOOST_TEST_REQUIRE(!Chosen.has_value());
  BOOST_TEST(Chosen.error().Kind == ErrorKind::EndpointUnavailable);
  BOOST_TEST((Chosen.error().Proof == NotRun::Proved));
  BOOST_TEST(retryAfterOf(Chosen.error()).count() == 2);
}

BOOST_AUTO_TEST_CASE(OnlyAvailableEndpointsAreEverChosen) {
  BOOST_TEST(rc::check([] {
    Scene Given;
    Given.Views.clear();
    bool Available = false;
    const int Count = *rc::gen::inRange(0, 8);
    for (int I = 0; I < Count; ++I) {
      EndpointView Next =
          view(EndpointId(std::to_string(I)), *rc::gen::inRange(0, 9000),
               *rc::gen::element(Home, RegionId("costa")));
      Next.State = static_cast<MemberState>(*rc::gen::inRange(0, 4));
      Next.Ejected = *rc::gen::inRange(0, 4) == 0;
      if (*rc::gen::inRange(0, 4) == 0)
        Given.Needs.Exclude.push_back(Next.Endpoint);
      else if (!Next.Ejected && Next.State <= MemberState::Suspected)
        Available = true;
      if (*rc::gen::inRange(0, 3) == 0)
        Given.Needs.CachedPromptTokens[Next.Endpoint] =
            *rc::gen::inRange(0, 9000);
      Given.Views.push_back(Next);
    }
    const auto Chosen = chooseEndpoint(Given.Views, Given.Needs, Given.Model,
                                       *rc::gen::arbitrary<std::uint64_t>());
    RC_ASSERT(Chosen.has_value() == Available);
    if (!Available)
      return;
    for (const EndpointId &Excluded : Given.Needs.Exclude)
      RC_ASSERT(Chosen->Endpoint != Excluded);
    for (const EndpointView &Each : Given.Views)
      if (Each.Endpoint == Chosen->Endpoint) {
        RC_ASSERT(Each.State <= MemberState::Suspected && !Each.Ejected);
        RC_ASSERT(Chosen->Cost == costAt(Each, Given.Needs, Given.Model));
      }
  }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace tamarack
