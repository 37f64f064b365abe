/// One request on its way, and the parts that handle it.
#ifndef TAMARACK_RELAY_RELAYIMPL_H
#define TAMARACK_RELAY_RELAYIMPL_H

#include "tamarack/net/Log.h"
#include "tamarack/relay/ChainCache.h"
#include "tamarack/relay/EventStream.h"
#include "tamarack/relay/Relay.h"

#include <optional>
#include <set>

namespace tamarack {

namespace internal {

/// A request from its last byte to the end of its answer.
struct Passage {
  explicit Passage(HttpExchange &Caller) : Caller(Caller) {}

  HttpExchange &Caller;
  RequestMetadata Facts;
  Route Via;
  ServiceId Service;
  /// When nobody waits any more: the caller's deadline or the route's timeout.
  TimePoint Deadline;
  std::string Body;
  std::set<EndpointId> Tried;
  /// Where a turn of the program last ran, as the ledgers know.
  EndpointId LastRanAt;
  /// Where this turn was sent last.
  EndpointId SentTo;
  /// Endpoints that may have run it.
  std::uint32_t Runs = 0;
  bool CallerLeft = false;
  bool Expired = false;
  /// The call under way, to be aborted when nobody waits any more.
  std::shared_ptr<HttpCall> Current;

  bool isOver() const { return CallerLeft || Expired; }
  void stopCall() {
    if (Current)
      Current->abort();
  }
};

/// How an attempt at one endpoint ended.
enum class AttemptEnd {
  /// The endpoint's whole answer is there.
  Answered,
  /// The endpoint states that it did not run it, or no byte was sent.
  NotRun,
  /// It may have run.
  Broken,
};

struct Attempt {
  AttemptEnd End = AttemptEnd::Broken;
  HttpResponse Response;
  std::string Problem;
};

/// How an attempt to stream from one endpoint ended.
enum class StreamEnd {
  /// All events were relayed.
  Finished,
  /// The endpoint answered with a failure, which was passed on.
  Passed,
  /// The endpoint did not run it.
  NotRun,
  /// It may have run.
  Broken,
};

/// A stream that is being relayed.
struct Relaying {
  EventSplitter Splitter;
  std::string Output;
  std::uint64_t Events = 0;
  std::uint64_t LastId = 0;
};

} // namespace internal

struct Relay::Impl {
  Impl(Loop &Io, RelayOptions Options, const Dialect &Wire,
       QuorumClient &Ledgers, ConnectionPool &Pool, RelayMetrics &Metrics)
      : Io(Io), Wire(Wire), Ledgers(Ledgers), Pool(Pool), Metrics(Metrics),
        Endpoints(Options.Endpoints), Chains(Options.ChainCacheBytes) {}

  Loop &Io;
  const Dialect &Wire;
  QuorumClient &Ledgers;
  ConnectionPool &Pool;
  RelayMetrics &Metrics;
  EndpointTable Endpoints;
  ChainCache Chains;
  Catalog Current;
  bool TakesNoMore = false;

  // Relay.cpp: route, deadline, refusals.
  Task<void> serve(HttpExchange &Caller);
  std::optional<Error> prepare(internal::Passage &Way);
  Task<void> refuseRequest(internal::Passage &Way, Error Failure);
  Task<void> servePlain(internal::Passage &Way);
  /// Gives the caller an endpoint's whole answer.
  Task<void> passOn(internal::Passage &Way, EndpointId From,
                    HttpResponse Response);

  // Attempts.cpp: choice of an endpoint, one attempt.
  std::optional<EndpointEntry> chooseNext(internal::Passage &Way);
  HttpRequest attemptRequest(const internal::Passage &Way,
                             const EndpointEntry &To) const;
  /// Opens a connection and sends the request; nothing where that failed
  /// before a byte was sent.
  Task<std::shared_ptr<HttpCall>> sendTo(internal::Passage &Way,
                                         EndpointEntry To);
  /// The head of the answer to this request; skips one that is not.
  Task<Expected<HttpHead>> readOwnHead(internal::Passage &Way, HttpCall &Call);
  Task<internal::Attempt> attemptPlain(internal::Passage &Way,
                                       EndpointEntry To);
  Task<Expected<std::string>> readBody(HttpCall &Call);
  /// Whether the answer of an endpoint may be given to the caller.
  bool isSound(const HttpHead &Head) const;
  void noteNotRun(internal::Passage &Way, const EndpointEntry &To,
                  const HttpHead &Head);

  // Turns.cpp: budget, history and streams.
  Task<void> serveTurn(internal::Passage &Way);
  Task<std::optional<Error>> reserve(internal::Passage &Way);
  Task<std::optional<Error>> prependChain(internal::Passage &Way);
  void settle(const internal::Passage &Way, TokenCount Tokens);
  Task<internal::StreamEnd> streamFrom(internal::Passage &Way,
                                       internal::Relaying &State,
                                       EndpointEntry To);
  Task<internal::StreamEnd> relayAnswer(internal::Passage &Way,
                                        internal::Relaying &State,
                                        HttpCall &Call, EndpointId From,
                                        HttpHead Head);
  /// What is left to do for a turn that did not finish.
  Task<void> giveUp(internal::Passage &Way, const internal::Relaying &State,
                    std::optional<Error> Failure);
  Task<bool> relayEvents(internal::Passage &Way, internal::Relaying &State,
                         HttpCall &Call);
  Task<bool> finishTurn(internal::Passage &Way, internal::Relaying &State);
  TokenCount tokensOf(const internal::Passage &Way,
                      const internal::Relaying &State) const;
};

} // namespace tamarack

#endif // TAMARACK_RELAY_RELAYIMPL_H
