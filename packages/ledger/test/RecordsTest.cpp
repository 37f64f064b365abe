#include "SampleCall.h"
#include "tamarack/ledger/FolderStore.h"

#include <boost/test/unit_test.hpp>

namespace tamarack {

namespace {

/// The storage that a copy may use for a call beyond the payload of the call.
constexpr std::size_t MaxOverheadBytes = 1024;
const ProgramId Root("andes:brief-17");

} // namespace

BOOST_AUTO_TEST_SUITE(LogRecords)

BOOST_AUTO_TEST_CASE(recordsSurviveEncodingAndDecoding) {
  Record MessageOutsideAnswer = test::sampleResult(Root, 1);
  std::get<AttemptResult>(MessageOutsideAnswer.Body).AnswerMessage =
      R"({"role":"tool"})";
  Record NoMessage = test::sampleResult(Root, 1);
  std::get<AttemptResult>(NoMessage.Body).AnswerMessage.clear();
  for (const Record &Entry :
       {test::sampleStart(Root), test::sampleIntent(Root, 1),
        test::sampleResult(Root, 1), MessageOutsideAnswer, NoMessage,
        Record{Root, ProgramEnd{EndReason::TimeLimit}}}) {
    const Expected<Record> Decoded = decodeRecord(encodeRecord(Entry));
    BOOST_REQUIRE_MESSAGE(Decoded, Decoded.error());
    BOOST_TEST(*Decoded == Entry);
  }
}

BOOST_AUTO_TEST_CASE(decodingDamagedBytesFailsWithoutAnException) {
  const std::vector<std::uint8_t> Whole =
      encodeRecord(test::sampleResult(Root, 1));
  for (std::size_t Length = 0; Length < Whole.size(); Length += 13)
    BOOST_TEST(!decodeRecord(
        {Whole.begin(), Whole.begin() + static_cast<std::ptrdiff_t>(Length)}));
  for (const char *Text :
       {R"({})", R"({"Program":"p"})", R"({"Program":"p","Ended":{}})",
        R"({"Program":7,"Ended":{"Reason":"Expired"}})",
        R"({"Program":"p","Result":{"Call":"c","Attempt":1,"How":"Failed",
            "Answer":"{}","MessageAt":[3,1],"Used":0}})"})
    BOOST_TEST(!decodeRecord(Json::to_cbor(Json::parse(Text))), Text);
}

BOOST_AUTO_TEST_CASE(storageOverheadOfACallIsAtMostOneKibibyte) {
  const Record Sent = test::sampleIntent(Root, 1);
  const Record Done = test::sampleResult(Root, 1);
  const auto Path =
      std::filesystem::temp_directory_path() /
      ("ledger-overhead-" + std::to_string(reinterpret_cast<std::uintptr_t>(
                                static_cast<const void *>(&Sent))));
  std::filesystem::create_directories(Path);
  std::uint64_t Bytes = 0;
  {
    const auto Store = FolderStore::open(Path, FolderId("f"));
    BOOST_REQUIRE(Store);
    BOOST_REQUIRE((*Store)->seal(0, 1));
    const std::uint64_t Before = (*Store)->bytesOnDisk();
    BOOST_REQUIRE((*Store)->append(0, {1, Root, 0, Sent}));
    BOOST_REQUIRE((*Store)->append(0, {1, Root, 1, Done}));
    Bytes = (*Store)->bytesOnDisk() - Before;
  }
  std::filesystem::remove_all(Path);
  const std::size_t Payload = test::payloadOf(Sent, Done);
  BOOST_TEST_MESSAGE(Bytes << " bytes stored for a call with a payload of "
                           << Payload << " bytes");
  BOOST_TEST(Bytes - Payload <= MaxOverheadBytes);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace tamarack
