#include "tamarack/config/Keys.h"

#include "TemporaryFolder.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;

BOOST_AUTO_TEST_SUITE(Keys)

BOOST_AUTO_TEST_CASE(OnlyTheWholeKeyMatches) {
  const Key Own("s3cret-of-peers");
  BOOST_TEST(matches(Own, "s3cret-of-peers"));
  for (const char *Wrong :
       {"", "s", "s3cret-of-peerz", "s3cret-of-peers1",
        "s3cret-of-peerss3cret-of-peers", "S3cret-of-peers"})
    BOOST_TEST(!matches(Own, Wrong), "matched \"" << Wrong << '"');
  BOOST_TEST(!matches(Key(""), ""), "an empty key must match nothing");
}

BOOST_AUTO_TEST_CASE(AKeyFileIsTrimmedAndNeverQuotedInARefusal) {
  const TemporaryFolder Folder;
  const auto Good = loadKey(Folder.write("good", "  abc-123 \n"));
  BOOST_TEST_REQUIRE(Good.has_value());
  BOOST_TEST(Good->secret() == "abc-123");
  for (const char *Text : {"", " \n\t", "two secretwords", "bell\a"}) {
    const auto Bad = loadKey(Folder.write("bad", Text));
    BOOST_TEST_REQUIRE(!Bad.has_value(), "accepted \"" << Text << '"');
    BOOST_TEST(Bad.error().Kind == ErrorKind::InvalidConfiguration);
    BOOST_TEST(Bad.error().Message.find("secretwords") == std::string::npos);
  }
  BOOST_TEST(!loadKey("/nowhere/key").has_value());
}

BOOST_AUTO_TEST_CASE(AFileOpenToOthersIsWarnedOf) {
  namespace fs = std::filesystem;
  const TemporaryFolder Folder;
  const std::string File = Folder.write("key", "abc");
  fs::permissions(File, fs::perms::owner_read | fs::perms::owner_write);
  BOOST_TEST(!keyFileWarning(File).has_value());
  fs::permissions(File, fs::perms::group_read, fs::perm_options::add);
  BOOST_TEST(keyFileWarning(File).has_value());
}

BOOST_AUTO_TEST_CASE(CallersKeysStandForCustomers) {
  const TemporaryFolder Folder;
  const auto Keys = loadCallerKeys(Folder.write(
      "callers", R"({"k-1": "home-care", "k-2": "clinic", "k-3": "clinic"})"));
  BOOST_TEST_REQUIRE(Keys.has_value());
  BOOST_TEST((customerOf(*Keys, "k-1") == CustomerId("home-care")));
  BOOST_TEST((customerOf(*Keys, "k-3") == CustomerId("clinic")));
  BOOST_TEST((customerOf(*Keys, "k-4") == std::nullopt));
  for (const char *Text :
       {"[]", R"({"k-1": 7})", R"({"k-1": ""})", R"({"": "clinic"})",
        R"({"k-1": "clinic", "k-1": "home-care"})", R"({"secret": "clinic")"}) {
    const auto Bad = loadCallerKeys(Folder.write("callers", Text));
    BOOST_TEST_REQUIRE(!Bad.has_value(), "accepted " << Text);
    BOOST_TEST(Bad.error().Message.find("secret") == std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(OnlyABearerHeaderCarriesAKey) {
  BOOST_TEST(bearerKey("Bearer abc") == "abc");
  BOOST_TEST(bearerKey("Basic abc") == "");
  BOOST_TEST(bearerKey("") == "");
}

BOOST_AUTO_TEST_SUITE_END()
