/// Where a request would go now, and why, without sending it.
///
///   Expected<ExplainedRequest> Request = parseExplainedRequest(Body);
///   Explanation Result = RequestRelay.explain(*Request);
///   std::string Text = renderTable(Json(Result));
///
/// An explanation comes from the same decisions as for requests that callers
/// send. It reserves nothing, counts nothing, and names workspaces, not keys.
#ifndef TAMARACK_RELAY_EXPLANATION_H
#define TAMARACK_RELAY_EXPLANATION_H

#include "tamarack/base/Clock.h"
#include "tamarack/base/Error.h"
#include "tamarack/relay/EndpointTable.h"

#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/// The request in question.
struct ExplainedRequest {
  std::string Host;
  /// The path, with or without a query.
  std::string Target;
  /// The workspace whose key the caller would present; empty if none.
  WorkspaceId Workspace;
  /// Empty if the request belongs to no program.
  ProgramId Program;
  /// Where the last turn of the program ran; empty for a first turn.
  EndpointId LastEndpoint;
  /// Empty for plain requests.
  std::vector<PromptPart> Prompt;

  friend bool operator==(const ExplainedRequest &,
                         const ExplainedRequest &) = default;
};

/// What is left of the limits of a workspace.
struct WorkspaceAllowance {
  /// As configured; zero if not limited.
  double RequestsPerSecond = 0;
  double Burst = 0;
  /// The requests that the limit allows in its window, and those that are known
  /// of all entries.
  double Allowed = 0;
  double Used = 0;

  friend bool operator==(const WorkspaceAllowance &,
                         const WorkspaceAllowance &) = default;
};

struct Explanation {
  std::uint64_t CatalogVersion = 0;
  /// The time since the configuration was confirmed; empty if it never was.
  std::optional<Duration> CatalogAge = {};
  /// The age of what other entries report; empty if nothing was heard.
  std::optional<Duration> NewsAge = {};
  /// Set if the request would be refused.
  std::optional<ErrorKind> Refusal = {};
  std::string RefusalReason = {};
  /// When a refused caller would be told to come back.
  std::optional<Duration> RetryAfter = {};
  /// Empty if no route matches.
  std::string Route = {};
  ServiceId Service = {};
  WorkspaceId Workspace = {};
  /// Empty if the workspace is not limited.
  std::optional<WorkspaceAllowance> Allowance = {};
  /// How late this entry runs what is due.
  Duration Behind{0};
  bool ReachesLedgers = false;
  /// The cheapest first; the request would go to the first one.
  std::vector<EndpointCandidate> Endpoints = {};
};

/// Reads the JSON object of a request. MalformedRequest, with the name of the
/// field, if one is unknown, missing or has another type.
Expected<ExplainedRequest> parseExplainedRequest(const std::string &Text);
void to_json(Json &Value, const ExplainedRequest &From);
void to_json(Json &Value, const Explanation &From);

/// Renders an explanation, as to_json() writes it, for people.
std::string renderTable(const Json &Explained);

} // namespace tamarack

#endif // TAMARACK_RELAY_EXPLANATION_H
