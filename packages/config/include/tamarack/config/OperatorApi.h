/// What the operators' HTTP interface answers, as the daemon writes it and
/// tamarackctl reads it.
///
///   GET    /v1/status              StatusReport
///   GET    /v1/config              OperatorDocument
///   GET    /v1/config/history      {"history": [RevisionNote, ...]}
///   PUT    /v1/config              {"document", "expected_revision"}
///                                  -> {"revision"}
///   POST   /v1/exceptions          OperatorException -> {"revision"}
///   DELETE /v1/exceptions/{id}     -> {"revision"}
///   GET    /v1/programs/{id}       any JSON object
///   DELETE /v1/programs/{id}       any JSON object
///   POST   /v1/drain               {"instance"} -> any JSON object
///   GET    /v1/explain/{call}      Explanation; ?program= narrows it
///
/// Names in paths are percent-encoded, slashes too. Every request carries
/// "Authorization: Bearer KEY". Errors are errorBody() of base/Error.h.
#ifndef TAMARACK_CONFIG_OPERATORAPI_H
#define TAMARACK_CONFIG_OPERATORAPI_H

#include "tamarack/config/OperatorDocument.h"

#include <map>

namespace tamarack {

/// One process as the answering one sees it.
struct InstanceStatus {
  InstanceId Instance;
  /// "entry" or "endpoint".
  std::string Role;
  RegionId Region;
  DataCentreId DataCentre;
  /// "live", "suspected", "leaving" or "gone".
  std::string State;
  /// The configuration in force there, as last heard.
  Revision InForce = 0;
  /// Shards that an entry owns, calls that run at an endpoint.
  std::uint64_t Load = 0;

  auto tied() const {
    return std::tie(Instance, Role, Region, DataCentre, State, InForce, Load);
  }
};

struct StatusReport {
  InstanceId Instance;
  Revision InForce = 0;
  /// "up", "slow" or "down".
  std::string Platform;
  bool IsServing = false;
  std::vector<InstanceStatus> Instances;
  /// Counters of note by name, such as refusals by kind.
  std::map<std::string, std::uint64_t> Counters;

  auto tied() const {
    return std::tie(Instance, InForce, Platform, IsServing, Instances,
                    Counters);
  }
};

/// An endpoint that was weighed for a call, with its cost in time.
struct Candidate {
  EndpointId Endpoint;
  Duration Wait{0};
  Duration Prefill{0};
  Duration Network{0};
  TokenCount CachedTokens = 0;
  bool IsChosen = false;
  /// Why it was or was not chosen, in a few words.
  std::string Reason;

  auto tied() const {
    return std::tie(Endpoint, Wait, Prefill, Network, CachedTokens, IsChosen,
                    Reason);
  }
};

/// One time that a call was sent, or was to be sent.
struct AttemptReport {
  std::uint32_t Number = 0;
  EndpointId Endpoint;
  /// What came of it: "answered", "running" or the kind of its error.
  std::string Outcome;

  auto tied() const { return std::tie(Number, Endpoint, Outcome); }
};

/// Why a call went where it did, or was refused.
struct Explanation {
  CallId Call;
  ProgramId Program;
  CustomerId Customer;
  /// The entry that owns the program.
  InstanceId Owner;
  CallClass Class = CallClass::Normal;
  /// "answered", "running" or "refused".
  std::string Outcome;
  /// The kind of the error where it was refused, else empty.
  std::string Refusal;
  /// One sentence.
  std::string Reason;
  /// The configuration that decided, and its exceptions that applied.
  Revision InForce = 0;
  std::vector<std::string> Applied;
  std::vector<Candidate> Candidates;
  std::vector<AttemptReport> Attempts;

  auto tied() const {
    return std::tie(Call, Program, Customer, Owner, Class, Outcome, Refusal,
                    Reason, InForce, Applied, Candidates, Attempts);
  }
};

void to_json(Json &Value, const StatusReport &Report);
void to_json(Json &Value, const Explanation &Report);
/// Fields that are missing keep their defaults, so that a tool may be older
/// or newer than the daemon. Throws Json::exception on a wrong type.
void from_json(const Json &Value, StatusReport &Report);
void from_json(const Json &Value, Explanation &Report);
void from_json(const Json &Value, RevisionNote &Note);

} // namespace tamarack

#endif // TAMARACK_CONFIG_OPERATORAPI_H
