#include "KeyValueStore.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace tamarack;
using namespace tamarack::internal;
using std::chrono::seconds;

namespace tamarack::internal {
std::ostream &operator<<(std::ostream &Out, const WriteOutcome &Outcome) {
  return Out << "{status " << int(Outcome.Status) << ", revision "
             << Outcome.Current << "}";
}
} // namespace tamarack::internal

namespace {

const TimePoint Start{Duration(0)};

struct Fixture {
  KeyValueState State;

  /// Revision 1 is the existing key, 2 and 3 make and delete the other.
  Fixture() {
    putItem(State, {"held", "one", {}}, Start);
    putItem(State, {"gone", "two", {}}, Start);
    removeItem(State, "gone", {}, Start);
  }
};

struct CasRow {
  const char *Name;
  std::string Key;
  std::optional<Revision> Expected;
  WriteOutcome Put;
  WriteOutcome Remove;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(KeyValueStore, Fixture)

BOOST_AUTO_TEST_SUITE(CompareAndSwap)

BOOST_AUTO_TEST_CASE(WritesOnlyAtTheExpectedRevision) {
  using S = WriteStatus;
  const CasRow Rows[] = {
      {"unconditional, held", "held", {}, {S::Done, 4}, {S::Done, 4}},
      {"unconditional, gone", "gone", {}, {S::Done, 4}, {S::Absent, 0}},
      {"current revision", "held", 1, {S::Done, 4}, {S::Done, 4}},
      {"older revision", "held", 0, {S::Conflict, 1}, {S::Conflict, 1}},
      {"newer revision", "held", 2, {S::Conflict, 1}, {S::Conflict, 1}},
      {"none, deleted key", "gone", 0, {S::Done, 4}, {S::Absent, 0}},
      {"none, new key", "new", 0, {S::Done, 4}, {S::Absent, 0}},
      {"deleted key's revision", "gone", 3, {S::Conflict, 0}, {S::Conflict, 0}},
  };
  for (const auto &Row : Rows)
    BOOST_TEST_CONTEXT(Row.Name) {
      KeyValueState ForPut = State, ForRemove = State;
      BOOST_TEST(putItem(ForPut, {Row.Key, "x", Row.Expected}, Start) ==
                 Row.Put);
      BOOST_TEST(removeItem(ForRemove, Row.Key, Row.Expected, Start) ==
                 Row.Remove);
      bool Written = Row.Put.Status == S::Done;
      auto After = findItem(ForPut, Row.Key);
      BOOST_TEST((After && After->Value == "x") == Written);
      bool Kept = Row.Remove.Status == S::Conflict && Row.Key == "held";
      BOOST_TEST(findItem(ForRemove, Row.Key).has_value() == Kept);
    }
}

BOOST_AUTO_TEST_CASE(RefusesValuesBeyondTheBound) {
  std::string Largest(MaxValueBytes, 'x');
  BOOST_TEST(
      (putItem(State, {"a", Largest, {}}, Start).Status == WriteStatus::Done));
  BOOST_TEST((putItem(State, {"b", Largest + "x", {}}, Start).Status ==
              WriteStatus::TooLarge));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Leases)

BOOST_AUTO_TEST_CASE(LapseAndTakeTheirKeysUnlessRenewed) {
  std::string Lease = grantLease(State, seconds(3), Start);
  putItem(State, {"held", "leased", {}, Lease}, Start);
  BOOST_TEST(renewLease(State, Lease, Start + seconds(2)));
  expireLeases(State, Start + seconds(4));
  BOOST_TEST(findItem(State, "held").has_value());
  BOOST_TEST((nextExpiry(State) == Start + seconds(5)));
  BOOST_TEST(!renewLease(State, Lease, Start + seconds(5)));
  BOOST_TEST(!findItem(State, "held").has_value());
  BOOST_TEST(
      (putItem(State, {"a", "x", {}, Lease}, Start + seconds(5)).Status ==
       WriteStatus::UnknownLease));
}

BOOST_AUTO_TEST_CASE(LeaveAKeyThatWasWrittenAgainWithoutThem) {
  std::string Lease = grantLease(State, seconds(3), Start);
  putItem(State, {"held", "leased", {}, Lease}, Start);
  putItem(State, {"held", "kept", {}}, Start);
  BOOST_TEST(revokeLease(State, Lease, Start));
  BOOST_TEST(findItem(State, "held").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Changes)

BOOST_AUTO_TEST_CASE(ShowDeletedKeysWithoutAValueAndKeepToThePrefix) {
  putItem(State, {"ge", "x", {}}, Start);
  auto Changes = changesSince(State, "go", 2);
  BOOST_REQUIRE_EQUAL(Changes.size(), 1u);
  BOOST_TEST(Changes[0].Key == "gone");
  BOOST_TEST(!Changes[0].Value.has_value());
  BOOST_TEST(changesSince(State, "", State.Last).empty());
}

/// Whoever follows the changes knows what the store holds, whatever happens.
BOOST_AUTO_TEST_CASE(RebuildTheStoreForAWatcher) {
  BOOST_TEST(rc::check([](const std::vector<std::uint8_t> &Steps) {
    KeyValueState Store;
    std::map<std::string, std::string> Followed;
    Revision Seen = 0;
    TimePoint Now = Start;
    std::string Lease = grantLease(Store, seconds(3), Now);
    for (std::uint8_t Step : Steps) {
      std::string Key(1, char('a' + Step % 3));
      Now += seconds(Step % 2);
      if (Step % 7 == 0)
        removeItem(Store, Key, {}, Now);
      else if (Step % 5 == 0)
        Lease = grantLease(Store, seconds(3), Now);
      else
        putItem(Store, {Key, std::to_string(Step), {}, Step % 2 ? Lease : ""},
                Now);
      if (Step % 4 != 0)
        continue;
      for (const auto &Item : changesSince(Store, "", Seen))
        if (Item.Value)
          Followed[Item.Key] = *Item.Value;
        else
          Followed.erase(Item.Key);
      Seen = Store.Last;
      std::map<std::string, std::string> Held;
      for (const auto &Item : itemsUnder(Store, ""))
        Held[Item.Key] = *Item.Value;
      RC_ASSERT(Followed == Held);
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
