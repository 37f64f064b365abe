#include "SilentLedger.h"

using namespace tamarack;
using namespace tamarack::testing;

BOOST_AUTO_TEST_SUITE(AQuorumOfLedgers)

BOOST_FIXTURE_TEST_CASE(FormsAtTheFirstStart, QuorumFixture) {
  startAll();
  BOOST_TEST(Views.Current.Members.size() == 3U);
}

BOOST_AUTO_TEST_SUITE(KeepsRecords)

BOOST_FIXTURE_TEST_CASE(AndReturnsTheWholeAccount, QuorumFixture) {
  startAll();
  useCurrentView();
  BOOST_REQUIRE(
      storeRecord({ProgramId("p"), TurnId("a"), {500, false}, nullptr, {}}));
  const auto State =
      storeRecord({ProgramId("p"), TurnId("b"), {300, false}, nullptr, {}});
  BOOST_REQUIRE(State);
  BOOST_TEST(committedTokens(State->Charges) == 800U);
}

BOOST_FIXTURE_TEST_CASE(AndReturnsNoAccountForSettlements, QuorumFixture) {
  startAll();
  useCurrentView();
  BOOST_REQUIRE(
      storeRecord({ProgramId("p"), TurnId("a"), {500, false}, nullptr, {}}));
  const auto State =
      storeRecord({ProgramId("p"), TurnId("a"), {100, true}, nullptr, {}});
  BOOST_REQUIRE(State);
  BOOST_TEST(State->Charges.Charges.empty());
}

BOOST_FIXTURE_TEST_CASE(WhileOneLedgerIsDown, QuorumFixture) {
  startAll();
  useCurrentView();
  stop(2);
  BOOST_TEST(storeRecord(turn("a")).has_value());
  BOOST_TEST(chain("a") == "in a, out a; ");
}

// Guards against a chain that no link can transport, and that fails each turn
// of its program and every other call on the link.
BOOST_FIXTURE_TEST_CASE(AndReturnsLongChainsInParts, QuorumFixture) {
  startAll();
  useCurrentView();
  constexpr int Turns = 17;
  constexpr std::size_t InputBytes = 4U << 20U;
  for (int Number = 1; Number <= Turns; ++Number)
    BOOST_REQUIRE(
        storeRecord({ProgramId("p"),
                     TurnId(std::to_string(Number)),
                     {10, true},
                     std::make_shared<const StoredTurn>(StoredTurn{
                         TurnId(std::to_string(Number)),
                         TurnId(Number == 1 ? "" : std::to_string(Number - 1)),
                         std::string(InputBytes, 'x'), "out", 60s}),
                     {}}));
  QuorumOptions Options;
  Options.MaxChainBytes = 2 * InputBytes * std::size_t(Turns);
  QuorumClient Reader(Io, Options);
  Reader.setView(Views.Current);
  const Expected<TurnChain> Chain =
      await(Reader.chain(TurnId(std::to_string(Turns)), steadyNow() + 20s));
  BOOST_REQUIRE(Chain);
  BOOST_TEST(Chain->size() == std::size_t(Turns));
  BOOST_TEST(Chain->front()->Id.text() == "1");
  // A client with less memory refuses it before it has all of it.
  const Expected<TurnChain> TooLong =
      await(Client.chain(TurnId(std::to_string(Turns)), steadyNow() + 20s));
  BOOST_REQUIRE(!TooLong);
  BOOST_TEST(TooLong.error().Kind == ErrorKind::BodyTooLarge);
}

// Guards against the memory that many long turns take while they are stored.
BOOST_FIXTURE_TEST_CASE(OfLongTurnsOneAfterTheOther, QuorumFixture) {
  startAll();
  QuorumOptions Options;
  Options.MaxStoringBytes = 1U << 20U;
  QuorumClient Writer(Io, Options);
  Writer.setView(Views.Current);
  int Stored = 0;
  for (int Number = 0; Number < 8; ++Number) {
    TurnRecord Record = turn("long-" + std::to_string(Number));
    Record.Text = std::make_shared<const StoredTurn>(
        StoredTurn{Record.Turn, {}, std::string(900000, 'x'), "out", 60s});
    asio::co_spawn(Io, Writer.storeRecord({Record, {}}, steadyNow() + 10s),
                   [&Stored](const std::exception_ptr &,
                             const Expected<QuorumProgramState> &Result) {
                     Stored += Result ? 1 : 0;
                   });
  }
  until([&] {
    BOOST_REQUIRE(Writer.storingBytes() <= Options.MaxStoringBytes);
    return Stored == 8;
  });
  BOOST_TEST(Writer.storingBytes() == 0U);
}

// Guards against long turns that wait with different deadlines and wake each
// other without end.
BOOST_FIXTURE_TEST_CASE(WithoutWorkWhileLongTurnsWait, QuorumFixture) {
  startAll();
  QuorumOptions Options;
  Options.MaxStoringBytes = 1;
  QuorumClient Writer(Io, Options);
  Writer.setView(Views.Current);
  for (const int Number : {1, 2, 3})
    stop(Number);
  int Ended = 0;
  for (int Number = 0; Number < 4; ++Number) {
    TurnRecord Record = turn("long-" + std::to_string(Number));
    Record.Text = std::make_shared<const StoredTurn>(
        StoredTurn{Record.Turn, {}, std::string(100000, 'x'), "out", 60s});
    asio::co_spawn(
        Io,
        Writer.storeRecord({Record, {}}, steadyNow() + 400ms + Number * 50ms),
        [&Ended](const std::exception_ptr &,
                 const Expected<QuorumProgramState> &) { ++Ended; });
  }
  constexpr std::size_t MaxSteps = 1000;
  BOOST_TEST(Io.run_for(300ms) < MaxSteps);
  until([&] { return Ended == 4; });
  BOOST_TEST(Writer.storingBytes() == 0U);
}

BOOST_FIXTURE_TEST_CASE(AtNoMoreMembersThanAQuorumNeeds, QuorumFixture) {
  startAll();
  useCurrentView();
  for (const char *Id : {"a", "b", "c", "d"}) {
    const ProgramId Program(std::string("program-") + Id);
    BOOST_REQUIRE(
        storeRecord({Program, TurnId(Id), {500, false}, nullptr, {}}));
  }
  Io.run_for(200ms);
  std::uint64_t RecordsStored = 0;
  for (const auto &[Number, Node] : Nodes)
    RecordsStored += Node->status().RecordsStored;
  BOOST_TEST(RecordsStored == 8U);
}

BOOST_FIXTURE_TEST_CASE(WhicheverLedgerOfTheQuorumIsDown, QuorumFixture) {
  startAll();
  useCurrentView();
  for (const int Down : {1, 2, 3}) {
    stop(Down);
    for (const char *Id : {"a", "b", "c"}) {
      const ProgramId Program("program-" + std::to_string(Down) + Id);
      BOOST_TEST(
          storeRecord({Program, TurnId(Id), {500, false}, nullptr, {}}, 1s)
              .has_value());
    }
    start(Down);
  }
}

/// A lost connection tells at once what a silent one tells only after the
/// timeout: the records must go to another ledger. A ledger that stays down is
/// tried again now and then, which must not delay records either.
BOOST_FIXTURE_TEST_CASE(WithoutDelayOnceTheConnectionToALedgerIsLost,
                        QuorumFixture) {
  constexpr Duration SilentMemberCost = 80ms;
  startAll();
  useCurrentView();
  storeReservations();
  // A busy machine may delay some of them, so the fastest round counts.
  Duration FastestAtTheStop = Duration::max();
  Duration FastestWhileDown = Duration::max();
  for (const int Down : {1, 2, 3}) {
    stop(Down);
    FastestAtTheStop = std::min(FastestAtTheStop, storeReservations());
    Io.run_for(1100ms);
    FastestWhileDown = std::min(FastestWhileDown, storeReservations());
    start(Down);
    Io.run_for(1100ms);
    storeReservations();
  }
  BOOST_TEST((FastestAtTheStop < SilentMemberCost));
  BOOST_TEST((FastestWhileDown < SilentMemberCost));
}

/// A ledger that stops may have stored records whose replies nobody has read:
/// they are sent again, and must be told as stored and be charged once.
BOOST_FIXTURE_TEST_CASE(OnceAlthoughTheirRepliesAreLostWithALedger,
                        QuorumFixture) {
  constexpr int RecordsPerStop = 20;
  startAll();
  useCurrentView();
  storeReservations();
  int Sent = 0;
  const auto Stored = std::make_shared<int>(0);
  for (const int Down : {1, 2, 3, 1, 2, 3}) {
    for (int Number = 0; Number < RecordsPerStop; ++Number)
      asio::co_spawn(Io,
                     Client.storeRecord({{ProgramId("p"),
                                          TurnId("t" + std::to_string(++Sent)),
                                          {10, false},
                                          nullptr,
                                          {}},
                                         {}},
                                        steadyNow() + 5s),
                     [Stored](const std::exception_ptr &,
                              const Expected<QuorumProgramState> &Result) {
                       *Stored += Result ? 1 : 0;
                     });
    // The ledger gets some of the records before it stops.
    const std::uint64_t Before = Nodes[Down]->status().RecordsStored;
    const TimePoint GiveUpAt = steadyNow() + 100ms;
    while (Nodes[Down]->status().RecordsStored == Before &&
           steadyNow() < GiveUpAt)
      Io.run_one_for(1ms);
    stop(Down);
    until([&] { return *Stored == Sent; });
    start(Down);
    Io.run_for(200ms);
  }
  const auto State =
      storeRecord({ProgramId("p"), TurnId("probe"), {0, false}, nullptr, {}});
  BOOST_REQUIRE(State);
  BOOST_TEST(committedTokens(State->Charges) ==
             static_cast<TokenCount>(10 * Sent));
}

BOOST_FIXTURE_TEST_CASE(NotWhileTwoAreDown, QuorumFixture) {
  startAll();
  useCurrentView();
  stop(2);
  stop(3);
  const auto Result = storeRecord(turn("a"), 500ms);
  BOOST_REQUIRE(!Result);
  BOOST_TEST(Result.error().Kind == ErrorKind::NotEnoughCopies);
}

BOOST_FIXTURE_TEST_CASE(WhileTheStoreIsDown, QuorumFixture) {
  startAll();
  useCurrentView();
  Views.Unavailable = true;
  stop(1);
  BOOST_TEST(storeRecord(turn("a")).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_CASE(
    ReportsToEachEntryTheSumOfWhatTheOthersHaveInFlightAndSent, QuorumFixture) {
  startAll();
  EndpointNews Elsewhere;
  std::vector<std::unique_ptr<QuorumClient>> Entries;
  for (const std::uint32_t Running : {2U, 3U, 0U}) {
    QuorumOptions Options;
    Options.MakeLoadReport = [Running, Number = Entries.size()] {
      return EndpointLoadReport{
          InstanceId("entry-" + std::to_string(Number)),
          {{{EndpointId("e"), Running}},
           {},
           {{EndpointId("e"),
             {Running == 3U ? std::optional(6.5) : std::nullopt, Running,
              10 * Running}}}}};
    };
    Options.OnNewsElsewhere = [&Elsewhere](const EndpointNews &News) {
      Elsewhere = News;
    };
    Entries.push_back(std::make_unique<QuorumClient>(Io, Options));
    Entries.back()->setView(Views.Current);
    BOOST_REQUIRE(
        await(Entries.back()->storeRecord({turn("a"), {}}, steadyNow() + 5s)));
    Io.run_for(50ms);
  }
  BOOST_TEST(Elsewhere.InFlight[EndpointId("e")] == 5U);
  BOOST_TEST((Elsewhere.Rates[EndpointId("e")] == EndpointRate{6.5, 5, 50}));
}

BOOST_FIXTURE_TEST_CASE(
    ReportsToEachEntryTheLoadsOfItsDataCentreAndTheLeastOfOthers,
    QuorumFixture) {
  startAll();
  LoadByEntry Elsewhere;
  std::vector<std::unique_ptr<QuorumClient>> Entries;
  const std::vector<std::pair<std::string, EntryLoad>> Loads = {
      {"a1", {5ms, DataCentreId("a")}},
      {"a2", {9ms, DataCentreId("a"), true, false}},
      {"b1", {1ms, DataCentreId("b"), true, false}},
      {"b2", {3ms, DataCentreId("b")}},
      {"b3", {8ms, DataCentreId("b")}},
      {"a3", {0ms, DataCentreId("a")}}};
  for (const auto &[Name, Load] : Loads) {
    QuorumOptions Options;
    Options.MakeLoadReport = [Name = InstanceId(Name), Load = Load] {
      EndpointNews News;
      News.Entries[Name] = Load;
      return EndpointLoadReport{Name, News};
    };
    Options.OnNewsElsewhere = [&Elsewhere](const EndpointNews &News) {
      Elsewhere = News.Entries;
    };
    Entries.push_back(std::make_unique<QuorumClient>(Io, Options));
    Entries.back()->setView(Views.Current);
    BOOST_REQUIRE(
        await(Entries.back()->storeRecord({turn("a"), {}}, steadyNow() + 5s)));
  }
  Io.run_for(20ms);
  BOOST_TEST((Elsewhere == LoadByEntry{{InstanceId("a1"), Loads[0].second},
                                       {InstanceId("a2"), Loads[1].second},
                                       {InstanceId("b2"), Loads[3].second}}));
}

BOOST_AUTO_TEST_SUITE(FindsChains)

BOOST_FIXTURE_TEST_CASE(OldestFirst, QuorumFixture) {
  startAll();
  useCurrentView();
  BOOST_REQUIRE(storeRecord(turn("a")));
  BOOST_REQUIRE(storeRecord(turn("b", "a")));
  BOOST_TEST(chain("b") == "in a, out a; in b, out b; ");
}

BOOST_FIXTURE_TEST_CASE(WhoseTextsAreOnlyOnTheNearestMembers, QuorumFixture) {
  startAll();
  useCurrentView();
  BOOST_REQUIRE(storeRecord(turn("a")));
  Io.run_for(300ms);
  BOOST_TEST(ledgersWithText().size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(FromPartsOnDifferentMembers, QuorumFixture) {
  startAll();
  useCurrentView();
  BOOST_REQUIRE(storeRecord(turn("a")));
  const std::vector<int> First = ledgersWithText();
  BOOST_REQUIRE(First.size() == 2U);
  stop(First[0]);
  BOOST_REQUIRE(storeRecord(turn("b", "a")));
  start(First[0]);
  stop(First[1]);
  BOOST_TEST(chain("b") == "in a, out a; in b, out b; ");
}

BOOST_FIXTURE_TEST_CASE(NotOfATurnThatReachedOnlyOneMember, QuorumFixture) {
  startAll();
  useCurrentView();
  // The remaining member first gets the record without its text, and then the
  // complete record. That must not count as two copies.
  const std::string Nearest = Views.Current.Members[0].Instance.text();
  const std::string Next = Views.Current.Members[1].Instance.text();
  for (const std::string &Name : {Nearest, Next})
    stop(Name.back() - '0');
  BOOST_TEST(!storeRecord(turn("a"), 800ms));
}

BOOST_FIXTURE_TEST_CASE(AndReportsAnUnknownTurnOnlyWhenAllMembersDo,
                        QuorumFixture) {
  startAll();
  useCurrentView();
  BOOST_TEST(chain("nowhere") == "unknown_program");
  stop(3);
  BOOST_TEST(chain("nowhere", 400ms) == "not_enough_copies");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(LosesNothing)

BOOST_FIXTURE_TEST_CASE(WhenAllAreKilledAndRestarted, QuorumFixture) {
  startAll();
  useCurrentView();
  BOOST_REQUIRE(storeRecord(turn("a")));
  for (const int Number : {1, 2, 3})
    stop(Number);
  Views.Unavailable = true;
  for (const int Number : {1, 2, 3})
    start(Number);
  BOOST_TEST(chain("a") == "in a, out a; ");
}

BOOST_FIXTURE_TEST_CASE(WhenJournalsAreCompactedAndAllAreRestarted,
                        QuorumFixture) {
  CompactAfterBytes = 200;
  startAll();
  useCurrentView();
  std::string Previous;
  std::string Expected;
  for (int Number = 0; Number < 20; ++Number) {
    const std::string Id = "t" + std::to_string(Number);
    BOOST_REQUIRE(storeRecord(turn(Id, Previous)));
    Expected.append("in ").append(Id).append(", out ").append(Id).append("; ");
    Previous = Id;
  }
  const auto OldSegment = [this](int Number) {
    return fs::exists(folder(Number) / "segment-1");
  };
  until([&] { return !OldSegment(1) && !OldSegment(2) && !OldSegment(3); });
  BOOST_TEST(chain(Previous) == Expected);
  for (const int Number : {1, 2, 3}) {
    stop(Number);
    start(Number);
  }
  BOOST_TEST(chain(Previous) == Expected);
  BOOST_TEST(
      committedTokens(
          storeRecord({ProgramId("p"), TurnId("x"), {0, false}, nullptr, {}})
              ->Charges) == 200U);
}

BOOST_FIXTURE_TEST_CASE(WhenOneDiskAfterTheOtherIsEmptied, QuorumFixture) {
  startAll();
  useCurrentView();
  BOOST_REQUIRE(storeRecord(turn("a")));
  BOOST_REQUIRE(storeRecord(turn("b", "a")));
  for (const int Number : {1, 2, 3}) {
    wipe(Number);
    start(Number);
    until([this] { return joinedCount() == 3; });
  }
  useCurrentView();
  BOOST_TEST(chain("b") == "in a, out a; in b, out b; ");
}

BOOST_FIXTURE_TEST_CASE(WhenAMemberIsReplacedByAStandbyLedger, QuorumFixture) {
  startAll();
  useCurrentView();
  BOOST_REQUIRE(storeRecord(turn("a")));
  start(4);
  Io.run_for(300ms);
  BOOST_TEST(!Nodes[4]->status().IsMember);
  stop(1);
  until([this] { return Nodes[4]->status().IsJoined; });
  stop(2);
  start(5);
  until([this] { return Nodes[5]->status().IsJoined; });
  useCurrentView();
  BOOST_TEST(chain("a") == "in a, out a; ");
}

/// Two standby ledgers take the places of two members that are down at the same
/// time, and fetch from the third one only. What the two had stored is then on
/// no member, although both come back with their disks.
BOOST_FIXTURE_TEST_CASE(WhenTwoMembersAreDownWhileTwoLedgersStandBy,
                        QuorumFixture) {
  startAll();
  useCurrentView();
  BOOST_REQUIRE(storeRecord(turn("a")));
  const std::vector<int> Holders = ledgersWithText();
  BOOST_REQUIRE(Holders.size() == 2U);
  stop(Holders[0]);
  stop(Holders[1]);
  // The first standby ledger is a member and has not fetched anything yet.
  const ViewMember Fourth{
      FolderId("folder-4-" + std::to_string(StartCount + 1)),
      InstanceId("ledger-4"), DataCentreId("dc-4"),
      options(4, /*FirstStart=*/false).Address};
  Views.Current =
      *planJoin(Views.Current, Fourth, {folderOf(Holders[0])}, {3, 2}).Next;
  start(4);
  start(5);
  Io.run_for(4s);
  start(Holders[0]);
  start(Holders[1]);
  Io.run_for(3s);
  useCurrentView();
  BOOST_TEST(chain("a") == "in a, out a; ");
}

BOOST_FIXTURE_TEST_CASE(WhenAMemberRetiresAndAnotherLosesItsDisk,
                        QuorumFixture) {
  startAll();
  useCurrentView();
  stop(2);
  BOOST_REQUIRE(storeRecord(turn("a")));
  start(2);
  until([this] { return joinedCount() == 3; });
  BOOST_TEST(await(Nodes[1]->retire()));
  stop(1);
  // Before the retirement, only the retired member and this one had the turn.
  wipe(3);
  useCurrentView();
  until([this] { return Nodes[2]->status().Turns == 1; });
  start(3);
  until([this] { return joinedCount() == 2; });
  useCurrentView();
  BOOST_TEST(chain("a") == "in a, out a; ");
}

/// Guards against a standby ledger that waits for two holders at a place that
/// was free, where the one that is left has every record, and never joins.
BOOST_FIXTURE_TEST_CASE(WhenAMemberIsLostWhileALedgerJoinsAtAFreePlace,
                        QuorumFixture) {
  startAll();
  useCurrentView();
  BOOST_REQUIRE(storeRecord(turn("a")));
  BOOST_TEST(await(Nodes[1]->retire()));
  stop(1);
  start(4);
  until([this] { return Views.Current.Members.size() == 3; });
  wipe(3);
  until([this] { return joinedCount() == 2; });
  useCurrentView();
  BOOST_REQUIRE(storeRecord(turn("b", "a")));
  BOOST_TEST(chain("b") == "in a, out a; in b, out b; ");
}

/// A ledger that comes back with an empty disk answers at the address of a
/// member whose records it does not have. Counted as that member, it lets
/// others join without the records that the member had.
BOOST_FIXTURE_TEST_CASE(WhenAWipedLedgerAnswersInPlaceOfAMember,
                        QuorumFixture) {
  startAll();
  useCurrentView();
  stop(3);
  BOOST_REQUIRE(storeRecord(turn("a")));
  start(3);
  until([this] { return joinedCount() == 3; });
  stop(2);
  wipe(1);
  start(1);
  start(4);
  Io.run_for(5s);
  start(2);
  until([this] { return joinedCount() == 3; });
  useCurrentView();
  BOOST_TEST(chain("a") == "in a, out a; ");
}

BOOST_FIXTURE_TEST_CASE(WhenARetiringMemberHasLostItsDisk, QuorumFixture) {
  startAll();
  useCurrentView();
  BOOST_REQUIRE(storeRecord(turn("a")));
  const int Holder = ledgersWithText().front();
  wipe(Holder);
  start(Holder);
  bool Retired = false;
  until([&] {
    Retired = Retired || await(Nodes[Holder]->retire());
    return Retired;
  });
  BOOST_TEST(Views.Current.Members.size() == 2U);
  for (const auto &[Number, Node] : Nodes)
    BOOST_TEST(Node->status().Turns == 1U, "ledger " << Number);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(LearnsWhatItMissed)

/// A ledger that was down while a turn of a chain ended keeps the turns before
/// it only if it learns of that turn once it is back.
BOOST_FIXTURE_TEST_CASE(FromTheOthersOnceALaterTurnRefersToIt, QuorumFixture) {
  startAll();
  useCurrentView();
  BOOST_REQUIRE(storeRecord(turn("a")));
  stop(3);
  for (const char *Id : {"b", "c", "d"})
    BOOST_REQUIRE(storeRecord(turn(Id, std::string(1, Id[0] - 1))));
  start(3);
  // The connection of the client may not be open again at once.
  std::string Last;
  for (int Number = 0; Nodes[3]->status().RecordsStored == 0; ++Number) {
    Last = "e" + std::to_string(Number);
    BOOST_REQUIRE(storeRecord(turn(Last, "d")));
    Io.run_for(20ms);
  }
  until([this] { return Nodes[3]->status().MissedTurns == 0; });
  const auto Link = LinkClient::make(
      Io, options(3, /*FirstStart=*/false).Address, LinkOptions());
  const Expected<Json> Answer = await(callLink(
      Io, Link, calls::FetchLinks,
      encodeBody(std::vector<TurnId>{TurnId(Last)}), steadyNow() + 2s));
  BOOST_REQUIRE(Answer);
  BOOST_TEST(Answer->get<FetchTurnsResponse>().Frames.size() == 5U);
}

/// An answer that is cut off must not make a turn look as if no ledger had it.
BOOST_FIXTURE_TEST_CASE(AlsoIfItMissedMoreThanOneAnswerHolds, QuorumFixture) {
  constexpr int Chains = 100;
  const auto Name = [](const char *Prefix, int Number) {
    return Prefix + std::to_string(Number);
  };
  startAll();
  useCurrentView();
  for (int Number = 0; Number < Chains; ++Number)
    BOOST_REQUIRE(storeRecord(turn(Name("a", Number))));
  stop(3);
  for (int Number = 0; Number < Chains; ++Number)
    BOOST_REQUIRE(storeRecord(turn(Name("b", Number), Name("a", Number))));
  start(3);
  std::vector<TurnId> Newest;
  for (int Number = 0; Number < Chains; ++Number) {
    Newest.emplace_back(Name("c", Number));
    BOOST_REQUIRE(storeRecord(turn(Newest.back().text(), Name("b", Number))));
  }
  Io.run_for(1s);
  until([this] { return Nodes[3]->status().MissedTurns == 0; });
  const auto Link = LinkClient::make(
      Io, options(3, /*FirstStart=*/false).Address, LinkOptions());
  const Expected<Json> Answer = await(callLink(
      Io, Link, calls::FetchLinks, encodeBody(Newest), steadyNow() + 2s));
  BOOST_REQUIRE(Answer);
  std::set<TurnId> Known;
  for (const std::string &Frame : Answer->get<FetchTurnsResponse>().Frames)
    Known.insert(Json::from_cbor(Frame).get<TurnRecord>().Turn);
  // The ledger may not be connected yet when the first of them are stored.
  int Received = 0;
  for (int Number = 0; Number < Chains; ++Number)
    if (Known.count(TurnId(Name("c", Number))) > 0) {
      ++Received;
      BOOST_TEST(Known.count(TurnId(Name("b", Number))) == 1U);
    }
  BOOST_TEST(Received > 70);
}

// Guards against turns that are dropped while their chain is in use: an empty
// ledger answers where one was that has lost its disk, and knows of no turn.
BOOST_FIXTURE_TEST_CASE(AlsoIfAnEmptyLedgerAnswersInPlaceOfAnother,
                        QuorumFixture) {
  startAll();
  useCurrentView();
  BOOST_REQUIRE(storeRecord(turn("a")));
  stop(3);
  // Ledger 3 does not get it late either.
  constexpr Duration Timeout = 500ms;
  BOOST_REQUIRE(storeRecord(turn("b", "a"), Timeout));
  Io.run_for(Timeout);
  // The one that is asked first.
  const int Lost = Views.Current.Members.front().Folder == folderOf(1) ? 1 : 2;
  stop(Lost);
  int Questions = 0;
  LinkServer Empty(Io, [&](const std::string &Name, const Json &,
                           const LinkServer::Reply &Answer) {
    if (Name == calls::Ping) {
      Answer(Json(PingResponse{FolderId("empty"), Views.Current.Number}));
    } else if (Name == calls::FetchLinks) {
      ++Questions;
      Answer(Json(FetchTurnsResponse()));
    } else {
      Answer(refuse(ErrorKind::Internal, "not part of the test"));
    }
  });
  BOOST_REQUIRE(Empty.listen(options(Lost, /*FirstStart=*/false).Address));
  start(3);
  until([this] { return Nodes[3]->status().IsJoined; });
  BOOST_REQUIRE(storeRecord(turn("c", "b")));
  until([&] { return Questions > 0 && Nodes[3]->status().MissedTurns == 0; });
  const auto Link = LinkClient::make(
      Io, options(3, /*FirstStart=*/false).Address, LinkOptions());
  const Expected<Json> Answer = await(
      callLink(Io, Link, calls::FetchLinks,
               encodeBody(std::vector<TurnId>{TurnId("c")}), steadyNow() + 2s));
  BOOST_REQUIRE(Answer);
  BOOST_TEST(Answer->get<FetchTurnsResponse>().Frames.size() == 3U);
}

BOOST_FIXTURE_TEST_CASE(NotIfNoLedgerHasIt, QuorumFixture) {
  startAll();
  useCurrentView();
  BOOST_REQUIRE(storeRecord(turn("b", "nowhere")));
  until([this] {
    return std::all_of(Nodes.begin(), Nodes.end(), [](const auto &Node) {
      return Node.second->status().MissedTurns == 0;
    });
  });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Retires)

BOOST_FIXTURE_TEST_CASE(ImmediatelyWhenTheLedgerIsOnStandby, QuorumFixture) {
  startAll();
  useCurrentView();
  BOOST_REQUIRE(storeRecord(turn("a")));
  start(4);
  Io.run_for(300ms);
  stop(1);
  BOOST_TEST(await(Nodes[4]->retire()));
  BOOST_TEST(!Nodes[4]->status().IsMember);
}

/// Otherwise a retirement waits for a member that is down, although nothing
/// depends on it.
BOOST_FIXTURE_TEST_CASE(OnceAStandbyLedgerHasItsPlaceWhileAnotherMemberIsDown,
                        QuorumFixture) {
  startAll();
  useCurrentView();
  BOOST_REQUIRE(storeRecord(turn("a")));
  const std::vector<int> Holders = ledgersWithText();
  start(4);
  stop(Holders[1]);
  bool Retired = false;
  until([&] {
    Retired = Retired || await(Nodes[Holders[0]]->retire());
    return Retired;
  });
  BOOST_TEST(Nodes[4]->status().IsJoined);
  stop(Holders[0]);
  useCurrentView();
  BOOST_TEST(chain("a") == "in a, out a; ");
}

/// Guards against a ledger that leaves on a member that is gone: one member is
/// left, and no record can be stored.
BOOST_FIXTURE_TEST_CASE(OnlyWhileEnoughOtherMembersAnswer, QuorumFixture) {
  startAll();
  useCurrentView();
  stop(3);
  BOOST_TEST(!await(Nodes[1]->retire()));
  BOOST_TEST(Nodes[1]->status().IsJoined);
  useCurrentView();
  BOOST_REQUIRE(storeRecord(turn("a")));
  start(3);
  bool Retired = false;
  until([&] {
    Retired = Retired || await(Nodes[1]->retire());
    return Retired;
  });
  BOOST_TEST(Views.Current.Members.size() == 2U);
}

/// Guards against the same when the other member is lost after it began to
/// leave. What it missed meanwhile is on enough others.
BOOST_FIXTURE_TEST_CASE(NotAtAllIfAnotherMemberIsLostMeanwhile, QuorumFixture) {
  startAll();
  Views.Current = withMemberLeaving(Views.Current, folderOf(1));
  tellView();
  useCurrentView();
  BOOST_REQUIRE(storeRecord(turn("a")));
  wipe(3);
  BOOST_TEST(!await(Nodes[1]->retire()));
  BOOST_TEST(Nodes[1]->status().IsJoined);
  useCurrentView();
  BOOST_REQUIRE(storeRecord(turn("b", "a")));
  BOOST_TEST(chain("b") == "in a, out a; in b, out b; ");
}

/// Guards against a ledger that waits for a member which was lost while it was
/// asked to catch up, and accepts no records meanwhile.
BOOST_FIXTURE_TEST_CASE(NotOnceAMemberIsLostThatWasAskedToCatchUp,
                        QuorumFixture) {
  constexpr Duration StayTimeout = 1500ms;
  startAll();
  stop(2);
  // In place of member 2, a ledger that does not answer how far it is.
  const auto Silent = startSilentLedger(*this, 2);
  asio::co_spawn(Io, Nodes[1]->retire(),
                 [](const std::exception_ptr &, bool) {});
  until([&] { return !Nodes[1]->status().IsJoined; });
  Io.run_for(200ms);
  Silent->close();
  const TimePoint LostAt = steadyNow();
  until([&] { return Nodes[1]->status().IsJoined; });
  BOOST_TEST((steadyNow() - LostAt < StayTimeout));
}

/// A call that is answered only after the records were fetched looks like a
/// silent connection, is sent again, and begins the fetch anew.
BOOST_FIXTURE_TEST_CASE(AfterMembersThatAnswerAtOnceWhetherTheyCaughtUp,
                        QuorumFixture) {
  startAll();
  useCurrentView();
  for (int Number = 0; Number < 200; ++Number)
    BOOST_REQUIRE(storeRecord(turn("t" + std::to_string(Number))));
  const Json Body{{"view", Views.Current},
                  {"from", options(1, /*FirstStart=*/false).Address},
                  {"folder", Views.Current.Members.front().Folder}};
  const auto Link = LinkClient::make(
      Io, options(3, /*FirstStart=*/false).Address, LinkOptions());
  const auto AskToCatchUp = [&] {
    const Expected<Json> Answer = await(
        callLink(Io, Link, calls::CatchUp, encodeBody(Body), steadyNow() + 2s));
    BOOST_REQUIRE(Answer);
    return Answer->get<AdoptResponse>().Refusal;
  };
  BOOST_TEST((AskToCatchUp() == LedgerRefusal::InProgress));
  until([&] { return AskToCatchUp() == LedgerRefusal::None; });
  BOOST_TEST(Nodes[3]->status().Turns == 200U);
}

BOOST_AUTO_TEST_SUITE_END()

/// Two ledgers that are stopped one after the other must not be away at the
/// same time, as planned work does not excuse turns that cannot be stored.
BOOST_AUTO_TEST_SUITE(StopsAsPlanned)

/// A ledger that prepares its stop while the loop runs.
struct PlannedStop {
  PlannedStop(QuorumFixture &Fixture, int Number, Duration Limit) {
    asio::co_spawn(Fixture.Io,
                   Fixture.Nodes[Number]->prepareStop(steadyNow() + Limit),
                   [Done = Done](const std::exception_ptr &, bool Outcome) {
                     *Done = Outcome;
                   });
  }
  bool isDone() const { return Done->has_value(); }

  std::shared_ptr<std::optional<bool>> Done =
      std::make_shared<std::optional<bool>>();
};

BOOST_FIXTURE_TEST_CASE(AtOnceWhileTheOthersMakeAQuorum, QuorumFixture) {
  startAll();
  tellView();
  const TimePoint Begun = steadyNow();
  BOOST_TEST(await(Nodes[1]->prepareStop(Begun + 5s)));
  BOOST_TEST((steadyNow() - Begun < 1s));
}

BOOST_FIXTURE_TEST_CASE(AtOnceIfItIsNoMember, QuorumFixture) {
  startAll();
  start(4);
  Io.run_for(300ms);
  stop(1);
  BOOST_TEST(await(Nodes[4]->prepareStop(steadyNow() + 5s)));
}

BOOST_FIXTURE_TEST_CASE(OnceTheOneThatStoppedBeforeIsBack, QuorumFixture) {
  startAll();
  tellView();
  useCurrentView();
  storeReservations();
  stop(1);
  const PlannedStop Second(*this, 2, 8s);
  Io.run_for(600ms);
  BOOST_TEST(!Second.isDone());
  BOOST_TEST((storeReservations() < 1s));
  start(1);
  until([&] { return Second.isDone(); });
  BOOST_TEST(Second.Done->value());
}

BOOST_FIXTURE_TEST_CASE(OneAfterTheOtherIfSeveralAreStoppedAtOnce,
                        QuorumFixture) {
  startAll();
  tellView();
  useCurrentView();
  std::map<int, PlannedStop> Stops;
  for (const int Number : {1, 2, 3})
    Stops.emplace(Number, PlannedStop(*this, Number, 8s));
  std::set<int> Left = {1, 2, 3};
  while (!Left.empty()) {
    const auto IsDone = [&](int Number) { return Stops.at(Number).isDone(); };
    until([&] { return std::any_of(Left.begin(), Left.end(), IsDone); });
    Io.run_for(300ms);
    BOOST_REQUIRE(std::count_if(Left.begin(), Left.end(), IsDone) == 1);
    const int Down = *std::find_if(Left.begin(), Left.end(), IsDone);
    stop(Down);
    Left.erase(Down);
    BOOST_TEST((storeReservations() < 1s));
    start(Down);
  }
}

/// Guards against a ledger that relies on another one, which had been told
/// before that the first one does not stop, and goes as well.
BOOST_FIXTURE_TEST_CASE(OneAfterTheOtherIfOneIsStoppedAMomentLater,
                        QuorumFixture) {
  startAll();
  tellView();
  std::vector<int> Ended;
  const auto BeginStop = [&](int Number) {
    asio::co_spawn(Io, Nodes[Number]->prepareStop(steadyNow() + 8s),
                   [&Ended, this, Number](const std::exception_ptr &, bool) {
                     Ended.push_back(Number);
                     stop(Number);
                   });
  };
  for (const Duration Delay : {1ms, 2ms, 3ms, 4ms})
    for (const auto &[First, Second] : {std::pair(1, 3), std::pair(3, 1)}) {
      BeginStop(First);
      Io.run_for(Delay);
      BeginStop(Second);
      until([&] { return !Ended.empty(); });
      Io.run_for(300ms);
      BOOST_TEST(Ended.size() == 1U);
      start(Ended.front());
      until([&] { return Ended.size() == 2; });
      start(Ended.back());
      Ended.clear();
      until([this] { return joinedCount() == 3; });
      tellView();
    }
}

/// Guards against records that are on enough disks and reported as not stored,
/// because the ledger that leaves takes its replies with it: turns are refused
/// or broken off for them while no other ledger makes a quorum.
BOOST_FIXTURE_TEST_CASE(AfterItsRepliesToTheRecordsThatItHasReceived,
                        QuorumFixture) {
  constexpr std::uint64_t RecordsInFlight = 20;
  startAll();
  tellView();
  useCurrentView();
  stop(1);
  storeReservations();
  Io.run_for(100ms);
  const std::uint64_t ReceivedBefore = Nodes[2]->status().RecordsStored;
  const PlannedStop Leaving(*this, 2, 300ms);
  std::uint64_t Sent = 0;
  const auto Stored = std::make_shared<std::uint64_t>(0);
  while (!Leaving.isDone()) {
    while (Sent - *Stored < RecordsInFlight)
      asio::co_spawn(Io,
                     Client.storeRecord({{ProgramId("p"),
                                          TurnId("t" + std::to_string(++Sent)),
                                          {10, false},
                                          nullptr,
                                          {}},
                                         {}},
                                        steadyNow() + 2s),
                     [Stored](const std::exception_ptr &,
                              const Expected<QuorumProgramState> &Result) {
                       *Stored += Result ? 1 : 0;
                     });
    Io.run_one_for(1ms);
  }
  const std::uint64_t Received =
      Nodes[2]->status().RecordsStored - ReceivedBefore;
  stop(2);
  Io.run_for(1s);
  BOOST_TEST(Received > 0U);
  BOOST_TEST(*Stored == Received);
}

BOOST_FIXTURE_TEST_CASE(AtTheLimitIfTheOthersStayAway, QuorumFixture) {
  startAll();
  tellView();
  stop(1);
  const PlannedStop Second(*this, 2, 300ms);
  until([&] { return Second.isDone(); });
  BOOST_TEST(!Second.Done->value());
}

BOOST_AUTO_TEST_SUITE_END()

/// An entry that takes members which accept no records for a quorum goes on
/// taking turns that it cannot store, in place of sending callers elsewhere.
BOOST_FIXTURE_TEST_CASE(IsOutOfReachIfOnlyMembersAnswerThatHaveNotJoined,
                        QuorumFixture) {
  startAll();
  useCurrentView();
  storeReservations();
  BOOST_REQUIRE(Client.isReachable());
  View Next = Views.Current;
  // Two joined members are left, of which one is down.
  Views.Unavailable = true;
  Next.Number += 1;
  Next.Members.back().Joined = false;
  for (const int Number : {1, 2, 3})
    if (options(Number, /*FirstStart=*/false).Instance ==
        Next.Members.front().Instance)
      stop(Number);
  Client.setView(Next);
  BOOST_TEST(!storeRecord(turn("a"), 300ms));
  until([this] { return !Client.isReachable(); });
  until([this] { return Client.isCutOff(); });
}

BOOST_AUTO_TEST_SUITE(ChangesItsView)

BOOST_FIXTURE_TEST_CASE(NotWhileAnUnresponsiveMemberKeepsItsConnections,
                        QuorumFixture) {
  startAll();
  useCurrentView();
  // Simulates a busy process, which accepts connections but does not answer.
  stop(1);
  Tcp::acceptor BusyListener =
      std::move(*listenOn(Io, options(1, /*FirstStart=*/false).Address));
  std::vector<Tcp::socket> Accepted;
  spawn(Io, acceptLoop(BusyListener, [&Accepted](Tcp::socket Socket) {
          Accepted.push_back(std::move(Socket));
        }));
  const View Before = Views.Current;
  start(4);
  Io.run_for(4s);
  BOOST_TEST((Views.Current == Before));
  BusyListener.close();
  Accepted.clear();
  until([this] { return Nodes[4]->status().IsJoined; });
}

BOOST_FIXTURE_TEST_CASE(AndUpdatesAClientThatHasAnOlderOne, QuorumFixture) {
  startAll();
  useCurrentView();
  wipe(1);
  start(1);
  until([this] { return joinedCount() == 3; });
  BOOST_TEST(storeRecord(turn("a")).has_value());
  BOOST_TEST(Client.view().Number == Views.Current.Number);
}

BOOST_FIXTURE_TEST_CASE(AndAdoptsANewerOneFromAClient, QuorumFixture) {
  startAll();
  Views.Current.Number += 1;
  useCurrentView();
  BOOST_TEST(storeRecord(turn("a")).has_value());
  until([this] {
    return Nodes[3]->status().Current.Number == Views.Current.Number;
  });
}

BOOST_FIXTURE_TEST_CASE(NotWhileTheStoreIsDown, QuorumFixture) {
  startAll();
  const View Before = Views.Current;
  Views.Unavailable = true;
  wipe(1);
  start(1);
  Io.run_for(500ms);
  BOOST_TEST(!Nodes[1]->status().IsMember);
  Views.Unavailable = false;
  until([this] { return joinedCount() == 3; });
  BOOST_TEST(Views.Current.Number > Before.Number);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
