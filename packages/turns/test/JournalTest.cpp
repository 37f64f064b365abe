#include "FullDisk.h"

#include "tamarack/turns/Journal.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <unistd.h>

using namespace tamarack;
namespace fs = std::filesystem;

namespace {

struct JournalFixture {
  JournalFixture() {
    std::string Name = "/tmp/tamarack-journal-XXXXXX";
    Path = ::mkdtemp(Name.data());
  }
  ~JournalFixture() { fs::remove_all(Path); }

  Expected<std::unique_ptr<Journal>>
  tryOpen(const std::string &NewFolder = "fresh") {
    Frames.clear();
    Locations.clear();
    return Journal::open(
        Path, FolderId(NewFolder),
        [this](const FrameLocation &Location, std::string_view Frame) {
          Frames.emplace_back(Frame);
          Locations.push_back(Location);
        });
  }
  std::unique_ptr<Journal> open(const std::string &NewFolder = "fresh") {
    auto Opened = tryOpen(NewFolder);
    BOOST_REQUIRE(Opened);
    return std::move(*Opened);
  }
  void writeThreeSegments() {
    const auto Log = open();
    Log->write({"one"});
    for (const char *Frame : {"two", "three"}) {
      BOOST_REQUIRE(Log->roll());
      Log->write({Frame});
    }
  }
  /// Changes the payload of the frame at \p Offset, which is three bytes long.
  void damageSegment(int Number, int Offset = 0) const {
    std::fstream File(segmentPath(Number), std::ios::in | std::ios::out);
    File.seekp(Offset + 13);
    File.put('X');
  }
  fs::path segmentPath(int Number) const {
    return Path / ("segment-" + std::to_string(Number));
  }

  fs::path Path;
  std::vector<std::string> Frames;
  std::vector<FrameLocation> Locations;
};

using Texts = std::vector<std::string>;

} // namespace

BOOST_AUTO_TEST_SUITE(AJournal)

BOOST_FIXTURE_TEST_CASE(ReturnsTheWrittenFrames, JournalFixture) {
  BOOST_TEST(open()->write({"one", std::string("t\0o", 3)}).has_value());
  open();
  BOOST_TEST((Frames == Texts{"one", std::string("t\0o", 3)}));
}

BOOST_FIXTURE_TEST_CASE(KeepsItsIdentity, JournalFixture) {
  BOOST_TEST(open("first")->isFresh());
  const auto Again = open("second");
  BOOST_TEST(!Again->isFresh());
  BOOST_TEST(Again->folderId().text() == "first");
}

BOOST_FIXTURE_TEST_CASE(GetsANewIdentityWhenItsFolderWasEmptied,
                        JournalFixture) {
  open("first")->write({"one"});
  for (const auto &Entry : fs::directory_iterator(Path))
    fs::remove(Entry.path());
  BOOST_TEST(open("second")->folderId().text() == "second");
  BOOST_TEST(Frames.empty());
}

BOOST_FIXTURE_TEST_CASE(ReturnsTheLocationOfEachFrame, JournalFixture) {
  auto Log = open();
  Log->write({"zero"});
  const auto Written = Log->write({"one", "second"});
  BOOST_REQUIRE(Written);
  FrameReader Reader(Path);
  BOOST_TEST(Reader.read((*Written)[0]).value() == "one");
  BOOST_TEST(Reader.read((*Written)[1]).value() == "second");
  Log = open();
  BOOST_TEST((Locations[1] == (*Written)[0]));
  BOOST_TEST((Locations[2] == (*Written)[1]));
}

BOOST_FIXTURE_TEST_CASE(CanBeReadAfterASegmentWasRemoved, JournalFixture) {
  auto Log = open();
  const auto Written = Log->write({"one"});
  FrameReader Reader(Path);
  BOOST_TEST(Reader.read((*Written)[0]).has_value());
  Log->roll();
  Log->removeSegmentsBefore(Log->currentSegment());
  BOOST_TEST(Reader.read((*Written)[0]).value() == "one");
  BOOST_TEST(!FrameReader(Path).read((*Written)[0]));
}

BOOST_AUTO_TEST_SUITE(AfterAPowerLoss)

BOOST_FIXTURE_TEST_CASE(DropsATornTail, JournalFixture) {
  open()->write({"one", "two"});
  fs::resize_file(segmentPath(1), fs::file_size(segmentPath(1)) - 1);
  open()->write({"three"});
  BOOST_TEST((Frames == Texts{"one"}));
  open();
  BOOST_TEST((Frames == Texts{"one", "three"}));
}

BOOST_FIXTURE_TEST_CASE(DropsWhatFollowsADamagedFrame, JournalFixture) {
  open()->write({"one", "two", "three"});
  damageSegment(1, 15);
  open();
  BOOST_TEST((Frames == Texts{"one"}));
}

// Guards against acknowledged records that are lost without a line.
BOOST_FIXTURE_TEST_CASE(TellsWhatItDidNotReadOfWhichSegments, JournalFixture) {
  writeThreeSegments();
  BOOST_TEST(open()->unreadEnds().empty());
  damageSegment(2);
  std::ofstream(segmentPath(3), std::ios::app) << "torn";
  const auto Log = open();
  BOOST_TEST((Frames == Texts{"one", "three"}));
  BOOST_TEST((Log->unreadEnds() == std::vector<UnreadEnd>{{2, 15}, {3, 4}}));
}

BOOST_FIXTURE_TEST_CASE(TreatsATornIdentityAsAbsent, JournalFixture) {
  open("first")->write({"one"});
  std::ofstream(Path / "folder") << "fir";
  BOOST_TEST(open("second")->isFresh());
  BOOST_TEST(Frames.empty());
}

BOOST_AUTO_TEST_SUITE_END()

/// Guards against acknowledged records that are lost, while the folder keeps
/// its identity, because a file could not be read for a moment. The files that
/// take the place of others here cannot be read by root either.
BOOST_AUTO_TEST_SUITE(DoesNotOpen)

BOOST_FIXTURE_TEST_CASE(IfASegmentCannotBeRead, JournalFixture) {
  writeThreeSegments();
  fs::rename(segmentPath(2), Path / "aside");
  fs::create_directory(segmentPath(2));
  BOOST_TEST(!tryOpen());
  fs::remove(segmentPath(2));
  fs::rename(Path / "aside", segmentPath(2));
  open();
  BOOST_TEST((Frames == Texts{"one", "two", "three"}));
}

BOOST_FIXTURE_TEST_CASE(IfTheLastSegmentCannotBeOpened, JournalFixture) {
  writeThreeSegments();
  fs::rename(segmentPath(3), Path / "aside");
  // Can be opened for writing, which creates its target.
  fs::create_symlink(Path / "elsewhere", segmentPath(3));
  BOOST_TEST(!tryOpen());
  BOOST_TEST(!fs::exists(Path / "elsewhere"));
  fs::rename(Path / "aside", segmentPath(3));
  open();
  BOOST_TEST((Frames == Texts{"one", "two", "three"}));
}

BOOST_FIXTURE_TEST_CASE(IfItsIdentityCannotBeRead, JournalFixture) {
  writeThreeSegments();
  fs::rename(Path / "folder", Path / "aside");
  fs::create_directory(Path / "folder");
  BOOST_TEST(!tryOpen());
  fs::remove(Path / "folder");
  fs::rename(Path / "aside", Path / "folder");
  BOOST_TEST(open("second")->folderId().text() == "fresh");
  BOOST_TEST((Frames == Texts{"one", "two", "three"}));
}

BOOST_FIXTURE_TEST_CASE(IfItsIdentityCannotBeOpened, JournalFixture) {
  writeThreeSegments();
  fs::rename(Path / "folder", Path / "aside");
  // Refers to itself.
  fs::create_symlink(Path / "folder", Path / "folder");
  BOOST_TEST(!tryOpen());
  fs::rename(Path / "aside", Path / "folder");
  BOOST_TEST(open("second")->folderId().text() == "fresh");
  BOOST_TEST((Frames == Texts{"one", "two", "three"}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_CASE(RemovesOldSegmentsAfterCompaction, JournalFixture) {
  auto Log = open();
  Log->write({"old"});
  BOOST_TEST(Log->roll().has_value());
  BOOST_TEST(Log->write({"live"}).has_value());
  BOOST_TEST(Log->removeSegmentsBefore(Log->currentSegment()).has_value());
  Log = open();
  BOOST_TEST((Frames == Texts{"live"}));
  BOOST_TEST(Log->currentSegment() == 2U);
}

// Guards against a full disk during a compaction, after which the only copies
// of the records are removed.
BOOST_FIXTURE_TEST_CASE(KeepsOldSegmentsIfTheirRecordsCannotBeCopied,
                        JournalFixture) {
  auto Log = open();
  Log->write({"one", "two"});
  BOOST_TEST(Log->roll().has_value());
  {
    const testing::FullDisk Disk(/*MaxBytes=*/1);
    BOOST_TEST(!Log->write({"one", "two"}));
  }
  BOOST_TEST(!Log->removeSegmentsBefore(Log->currentSegment()));
  Log = open();
  BOOST_TEST((Frames == Texts{"one", "two"}));
}

BOOST_AUTO_TEST_SUITE_END()
