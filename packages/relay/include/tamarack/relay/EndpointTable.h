/// Which endpoints there are, how busy this entry keeps them, and which one a
/// request should go to.
///
///   Endpoints.replace(Entries, Now);
///   std::optional<EndpointEntry> Chosen = Endpoints.choose(Needs, Now);
///   Endpoints.started(Chosen->Endpoint);
///
/// Choice is by cost in time, to the request and to those that run beside it:
/// the part of the prompt that is not kept there has to be read, which holds up
/// the whole batch; each request in a batch slows the others; a full endpoint
/// queues. Work that was just sent counts at once, what other entries run
/// counts as they last told.
#ifndef TAMARACK_RELAY_ENDPOINTTABLE_H
#define TAMARACK_RELAY_ENDPOINTTABLE_H

#include "tamarack/relay/Catalog.h"
#include "tamarack/relay/PromptCache.h"
#include "tamarack/turns/Messages.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace tamarack {

struct EndpointNeeds {
  ServiceId Service;
  /// Orders endpoints of equal cost, the same at every entry; empty for single
  /// requests.
  std::string AffinityKey;
  /// What an endpoint has to read; empty for single requests.
  std::vector<PromptPart> Prompt;
  /// Where the program's last turn ran, if that is known.
  EndpointId LastEndpoint;
  /// Endpoints that this request was tried on.
  std::set<EndpointId> Exclude;
};

struct EndpointTableOptions {
  /// 0 in the own data centre, 1 in the own region, 2 elsewhere.
  std::function<int(const DataCentreId &)> Distance;
};

class EndpointTable {
public:
  explicit EndpointTable(EndpointTableOptions Options);

  /// Takes the list in force. Returns the addresses that are gone or have
  /// another owner: connections to them must not be used again.
  std::vector<std::string> replace(std::vector<EndpointEntry> Entries);

  std::optional<EndpointEntry> choose(const EndpointNeeds &Needs,
                                      TimePoint Now) const;

  /// A request was sent; its prompt is kept there from now on.
  void started(const EndpointId &Endpoint,
               const std::vector<PromptPart> &Prompt = {},
               TokenCount MemoryTokens = 0);
  void ended(const EndpointId &Endpoint);
  /// It answered properly.
  void succeeded(const EndpointId &Endpoint);
  /// No connection, a broken answer or none: it is avoided for a growing time.
  void failed(const EndpointId &Endpoint, TimePoint Now);
  /// It said that it is full.
  void full(const EndpointId &Endpoint, TimePoint Now);

  /// What this entry runs now, for the others.
  EndpointLoad load() const;
  /// What all other entries run together.
  void setRemoteLoad(EndpointLoad Elsewhere, TimePoint Now);

  std::size_t size() const { return Known.size(); }
  std::uint32_t runningAt(const EndpointId &Endpoint) const;

private:
  struct Held {
    EndpointEntry Entry;
    std::uint32_t Running = 0;
    std::uint32_t Failures = 0;
    TimePoint AvoidUntil;
    PromptCache Prompts;
  };

  std::uint32_t runningElsewhere(const EndpointId &Endpoint,
                                 TimePoint Now) const;
  static double readingMs(const Held &Candidate, const EndpointNeeds &Needs);
  double costOf(const Held &Candidate, const EndpointNeeds &Needs,
                TimePoint Now) const;

  const EndpointTableOptions Options;
  std::map<EndpointId, Held> Known;
  EndpointLoad Elsewhere;
  TimePoint ElsewhereAt;
};

} // namespace tamarack

#endif // TAMARACK_RELAY_ENDPOINTTABLE_H
