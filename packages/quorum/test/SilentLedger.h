/// A stand-in for a member that is there and does none of its work, for tests
/// in which such a member is lost later.
#ifndef TAMARACK_QUORUM_TEST_SILENTLEDGER_H
#define TAMARACK_QUORUM_TEST_SILENTLEDGER_H

#include "QuorumFixture.h"

namespace tamarack::testing {

/// Answers pings, and no other call, in the place of member \p Number of
/// \p Quorum, whose ledger must be stopped.
inline std::unique_ptr<LinkServer> startSilentLedger(QuorumFixture &Quorum,
                                                     int Number) {
  auto Result = std::make_unique<LinkServer>(
      Quorum.Io, [&Quorum, Folder = Quorum.folderOf(Number)](
                     const std::string &Call, const Json &,
                     const LinkServer::Reply &Answer) {
        if (Call == calls::Ping)
          Answer(Json(PingResponse{Folder, Quorum.Views.Current.Number}));
      });
  BOOST_REQUIRE(
      Result->listen(Quorum.options(Number, /*FirstStart=*/false).Address));
  return Result;
}

} // namespace tamarack::testing

#endif // TAMARACK_QUORUM_TEST_SILENTLEDGER_H
