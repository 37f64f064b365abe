#include "tamarack/ledger/FolderStore.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <rapidcheck.h>

namespace tamarack {

namespace {

namespace fs = std::filesystem;

constexpr ShardId Shard = 3;
const ProgramId Root("p");
const FolderStoreOptions Unsynced{false};

struct TemporaryFolder {
  TemporaryFolder() {
    std::string Name = (fs::temp_directory_path() / "ledger-XXXXXX").string();
    if (::mkdtemp(Name.data()) != nullptr)
      Path = Name;
  }
  ~TemporaryFolder() { fs::remove_all(Path); }
  fs::path file() const { return Path / "shard-3.log"; }
  Expected<std::unique_ptr<FolderStore>>
  open(FolderStoreOptions Options = {}) const {
    return FolderStore::open(Path, FolderId("fresh"), Options);
  }

  fs::path Path;
};

Record startRecord(TokenCount Budget) {
  ProgramStart Start;
  Start.Budget = Budget;
  return {Root, Start};
}

/// Writes three records at epoch 7 and closes the folder.
void fill(const TemporaryFolder &Folder) {
  auto Store = Folder.open();
  BOOST_REQUIRE_MESSAGE(Store, Store.error());
  BOOST_REQUIRE((*Store)->seal(Shard, 7));
  for (std::uint64_t Index = 0; Index < 3; ++Index)
    BOOST_REQUIRE(
        (*Store)->append(Shard, {7, Root, Index, startRecord(Index)}));
}

std::uintmax_t lastFrameSize() {
  const TemporaryFolder Folder;
  fill(Folder);
  auto Store = Folder.open();
  const std::uint64_t Before = (*Store)->bytesOnDisk();
  BOOST_REQUIRE((*Store)->append(Shard, {7, Root, 3, startRecord(3)}));
  return (*Store)->bytesOnDisk() - Before;
}

bool isSame(const Expected<void> &Left, const Expected<void> &Right) {
  return Left.has_value() == Right.has_value() &&
         (Left || Left.error() == Right.error());
}

void flipByte(const fs::path &File, std::uintmax_t Offset) {
  std::fstream Stream(File, std::ios::in | std::ios::out | std::ios::binary);
  Stream.seekg(static_cast<std::streamoff>(Offset));
  const char Byte = static_cast<char>(Stream.get() ^ 1);
  Stream.seekp(static_cast<std::streamoff>(Offset));
  Stream.put(Byte);
}

} // namespace

BOOST_AUTO_TEST_SUITE(DataFolder)

BOOST_AUTO_TEST_CASE(keepsIdentityEpochAndRecordsAcrossRestarts) {
  const TemporaryFolder Folder;
  fill(Folder);
  const auto Store = FolderStore::open(Folder.Path, FolderId("other"));
  BOOST_REQUIRE_MESSAGE(Store, Store.error());
  BOOST_TEST((*Store)->folder() == FolderId("fresh"));
  BOOST_TEST((*Store)->sealed(Shard) == 7U);
  BOOST_TEST((*Store)->tornTails() == 0U);
  const std::vector<Record> Expected{startRecord(0), startRecord(1),
                                     startRecord(2)};
  BOOST_TEST(*(*Store)->read(Shard, Root) == Expected,
             boost::test_tools::per_element());
  const auto Stale = (*Store)->append(Shard, {6, Root, 3, startRecord(3)});
  BOOST_REQUIRE(!Stale);
  BOOST_TEST(Stale.error().Kind == ErrorKind::Fenced);
  BOOST_TEST(!(*Store)->confirmEpoch(Shard, 6));
  BOOST_TEST(!!(*Store)->confirmEpoch(Shard, 7));
}

BOOST_AUTO_TEST_CASE(getsANewIdentityAndAcceptsNoAppendAfterItWasEmptied) {
  const TemporaryFolder Folder;
  fill(Folder);
  for (const auto &Entry : fs::directory_iterator(Folder.Path))
    fs::remove(Entry.path());
  const auto Store = FolderStore::open(Folder.Path, FolderId("other"));
  BOOST_REQUIRE(Store);
  BOOST_TEST((*Store)->folder() == FolderId("other"));
  BOOST_TEST(!(*Store)->append(Shard, {7, Root, 0, startRecord(0)}));
}

BOOST_AUTO_TEST_CASE(dropsAndCountsATornTailOfAnyLength) {
  const TemporaryFolder Whole;
  fill(Whole);
  const std::uintmax_t Size = fs::file_size(Whole.file());
  const std::uintmax_t Frame = lastFrameSize();
  for (std::uintmax_t Cut = 1; Cut < Frame; ++Cut) {
    const TemporaryFolder Folder;
    fs::copy(Whole.Path, Folder.Path);
    fs::resize_file(Folder.file(), Size - Cut);
    auto Store = Folder.open(Unsynced);
    BOOST_REQUIRE_MESSAGE(Store, "cut by " << Cut);
    BOOST_TEST_CONTEXT("cut by " << Cut) {
      BOOST_TEST((*Store)->tornTails() == 1U);
      BOOST_TEST((*Store)->read(Shard, Root)->size() == 2U);
      BOOST_TEST(!!(*Store)->append(Shard, {7, Root, 2, startRecord(9)}));
      Store->reset();
      Store = Folder.open(Unsynced);
      BOOST_REQUIRE_MESSAGE(Store, Store.error());
      BOOST_TEST((*Store)->tornTails() == 0U);
      BOOST_TEST((*Store)->read(Shard, Root)->size() == 3U);
    }
  }
}

BOOST_AUTO_TEST_CASE(refusesToOpenAFileDamagedBeforeItsLastFrame) {
  const TemporaryFolder Whole;
  fill(Whole);
  // A damaged payload of the last frame is indistinguishable from a torn tail.
  const std::uintmax_t End = fs::file_size(Whole.file()) - lastFrameSize();
  for (std::uintmax_t Offset = 0; Offset < End; ++Offset) {
    const TemporaryFolder Folder;
    fs::copy(Whole.Path, Folder.Path);
    flipByte(Folder.file(), Offset);
    const auto Store = Folder.open(Unsynced);
    BOOST_TEST(!Store, "damage at byte " << Offset << " was not detected");
  }
}

BOOST_AUTO_TEST_CASE(cannotBeOpenedTwice) {
  const TemporaryFolder Folder;
  const auto First = Folder.open();
  BOOST_TEST(!!First);
  BOOST_TEST(!Folder.open());
}

BOOST_AUTO_TEST_CASE(matchesTheInMemoryCopyAcrossReopens) {
  BOOST_TEST(rc::check("the store matches the in-memory copy", [] {
    const TemporaryFolder Folder;
    ShardCopy Model;
    auto Store = Folder.open(Unsynced);
    const auto Steps = *rc::gen::resize(
        40, rc::gen::container<std::vector<std::uint32_t>>(rc::gen::resize(
                100, rc::gen::inRange<std::uint32_t>(0, 1U << 20U))));
    for (const std::uint32_t Step : Steps) {
      const Epoch At = Step / 8 % 4;
      const std::uint64_t Index = Step / 32 % 5;
      const ProgramId Log(Step / 256 % 2 == 0 ? "p" : "q");
      const Record Entry = startRecord(Step / 512 % 3);
      const Append Next{At, Log, Index, Entry};
      const Install Change{
          At, Log, Index, {Entry, startRecord(Step / 2048 % 3)}};
      if (Step % 8 == 0)
        RC_ASSERT(isSame((*Store)->seal(Shard, At), applySeal(Model, At)));
      else if (Step % 8 < 5)
        RC_ASSERT(
            isSame((*Store)->append(Shard, Next), applyAppend(Model, Next)));
      else if (Step % 8 < 7)
        RC_ASSERT(isSame((*Store)->install(Shard, Change),
                         applyInstall(Model, Change)));
      else {
        Store->reset();
        Store = Folder.open(Unsynced);
        RC_ASSERT(Store.has_value());
      }
      RC_ASSERT((*Store)->sealed(Shard) == Model.Sealed);
      RC_ASSERT(*(*Store)->readAll(Shard) == Model.Logs);
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace tamarack
