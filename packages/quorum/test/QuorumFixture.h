/// A fixture that runs ledgers on loopback with an in-memory view store, for
/// tests of ledgers and of their clients.
#ifndef TAMARACK_QUORUM_TEST_QUORUMFIXTURE_H
#define TAMARACK_QUORUM_TEST_QUORUMFIXTURE_H

#include "tamarack/quorum/LedgerNode.h"

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <map>
#include <unistd.h>

namespace tamarack::testing {

using namespace std::chrono_literals;
namespace fs = std::filesystem;

/// Stands in for the platform's store.
class InMemoryViewStore : public ViewStore {
public:
  Task<Expected<View>> readView() override {
    if (Unavailable)
      co_return refuse(ErrorKind::PlatformUnavailable, "down");
    co_return Current;
  }
  Task<Expected<bool>> replaceView(View Before, View Next) override {
    if (Unavailable)
      co_return refuse(ErrorKind::PlatformUnavailable, "down");
    if (!(Before == Current))
      co_return false;
    Current = Next;
    co_return true;
  }

  View Current;
  bool Unavailable = false;
};

/// Ledgers on loopback with a folder each.
struct QuorumFixture {
  QuorumFixture() {
    std::string Name = "/tmp/tamarack-quorum-XXXXXX";
    Root = ::mkdtemp(Name.data());
  }
  ~QuorumFixture() {
    Nodes.clear();
    fs::remove_all(Root);
  }

  LedgerOptions options(int Number, bool FirstStart) const {
    LedgerOptions Result;
    Result.Instance = InstanceId("ledger-" + std::to_string(Number));
    Result.DataCentre = DataCentreId("dc-" + std::to_string(Number));
    Result.Address = "127.0.0.1:" + std::to_string(19700 + Number);
    Result.Folder = folder(Number);
    Result.FreshFolder = FolderId("folder-" + std::to_string(Number) + "-" +
                                  std::to_string(StartCount));
    Result.FirstStart = FirstStart;
    Result.CompactAfterBytes = CompactAfterBytes;
    Result.HolderTimeout = HolderTimeout;
    Result.IncompletePeriod = IncompletePeriod;
    Result.EndpointListAge = [this] { return LedgerListAge; };
    return Result;
  }
  fs::path folder(int Number) const { return Root / std::to_string(Number); }

  void start(int Number, bool FirstStart = false) {
    ++StartCount;
    auto Node =
        std::make_unique<LedgerNode>(Io, options(Number, FirstStart), Views);
    BOOST_REQUIRE(Node->start());
    Nodes[Number] = std::move(Node);
  }
  void startAll() {
    for (const int Number : {1, 2, 3})
      start(Number, true);
    until([this] { return joinedCount() == 3; });
  }
  void stop(int Number) {
    Nodes[Number]->stop();
    Nodes.erase(Number);
  }
  void wipe(int Number) {
    stop(Number);
    fs::remove_all(folder(Number));
  }

  std::size_t joinedCount() const {
    return std::count_if(Nodes.begin(), Nodes.end(), [](const auto &Node) {
      return Node.second->status().IsJoined;
    });
  }

  /// Returns the folder of a member of the current view.
  FolderId folderOf(int Number) const {
    for (const ViewMember &Member : Views.Current.Members)
      if (Member.Instance == options(Number, /*FirstStart=*/false).Instance)
        return Member.Folder;
    return {};
  }

  /// Returns the numbers of the ledgers that store the text of a turn.
  std::vector<int> ledgersWithText() const {
    std::vector<int> Result;
    for (const auto &[Number, Node] : Nodes)
      if (Node->status().Turns > 0)
        Result.push_back(Number);
    return Result;
  }

  /// Runs the loop until \p Done returns true; fails the test after 10 s.
  void until(const std::function<bool()> &Done) {
    const TimePoint Deadline = steadyNow() + 10s;
    while (!Done() && steadyNow() < Deadline)
      Io.run_for(5ms);
    BOOST_REQUIRE_MESSAGE(Done(),
                          "the condition did not become true within 10 s");
  }

  template <typename T> T await(Task<T> Work) {
    std::optional<T> Result;
    asio::co_spawn(Io, std::move(Work),
                   [&](const std::exception_ptr &, T Value) {
                     Result.emplace(std::move(Value));
                   });
    until([&] { return Result.has_value(); });
    return std::move(*Result);
  }

  TurnRecord turn(const std::string &Id, const std::string &Previous = "") {
    return {ProgramId("p"),
            TurnId(Id),
            {10, true},
            std::make_shared<const StoredTurn>(StoredTurn{
                TurnId(Id), TurnId(Previous), "in " + Id, "out " + Id, 60s}),
            {}};
  }
  Expected<QuorumProgramState> storeRecord(const TurnRecord &Record,
                                           Duration Timeout = 5s) {
    return await(Client.storeRecord({Record, {}}, steadyNow() + Timeout));
  }
  /// Stores reservations of several programs at once, which have different
  /// nearest ledgers. Returns how long it took until all were stored.
  Duration storeReservations() {
    constexpr int Programs = 8;
    const TimePoint Begun = steadyNow();
    const auto Stored = std::make_shared<int>(0);
    for (int Number = 0; Number < Programs; ++Number) {
      TurnRecord Record{
          ProgramId("program-" + std::to_string(Number)),
          TurnId("reservation-" + std::to_string(ReservationCount++)),
          {10, false},
          nullptr,
          {}};
      asio::co_spawn(Io,
                     Client.storeRecord({std::move(Record), {}}, Begun + 5s),
                     [Stored](const std::exception_ptr &,
                              const Expected<QuorumProgramState> &Result) {
                       *Stored += Result ? 1 : 0;
                     });
    }
    until([&] { return *Stored == Programs; });
    return steadyNow() - Begun;
  }
  std::string chain(const std::string &Id, Duration Timeout = 5s) {
    const Expected<TurnChain> Chain =
        await(Client.chain(TurnId(Id), steadyNow() + Timeout));
    if (!Chain)
      return answerOf(Chain.error().Kind).Name;
    std::string Result;
    for (const auto &Turn : *Chain)
      Result += Turn->Input + ", " + Turn->Output + "; ";
    return Result;
  }
  void useCurrentView() { Client.setView(Views.Current); }
  /// Tells all ledgers the current view, as a watch on the store does.
  void tellView() {
    for (const auto &[Number, Node] : Nodes)
      Node->viewChanged(Views.Current);
  }

  fs::path Root;
  Loop Io{1};
  InMemoryViewStore Views;
  std::map<int, std::unique_ptr<LedgerNode>> Nodes;
  QuorumClient Client{Io, {}};
  int StartCount = 0;
  int ReservationCount = 0;
  /// How old the ledgers' lists of endpoints are.
  std::optional<Duration> LedgerListAge;
  std::uint64_t CompactAfterBytes = 96U << 20U;
  Duration HolderTimeout = LedgerOptions().HolderTimeout;
  Duration IncompletePeriod = LedgerOptions().IncompletePeriod;
};

} // namespace tamarack::testing

#endif // TAMARACK_QUORUM_TEST_QUORUMFIXTURE_H
