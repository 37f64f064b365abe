/// Where streams began, so that a stream which a caller resumes goes on at the
/// software version that generated its first events.
///
/// The entry that serves a turn writes the origin of its stream with the turn's
/// reservation, before an endpoint gets the turn. The ledgers that answer a
/// later reservation thus include one that has it:
///
///   std::optional<StreamOrigin> Known;
///   for (const RecordResponse &Answer : Answers)
///     mergeOrigin(Known, Answer.ResumedOrigin);
#ifndef TAMARACK_TURNS_STREAMORIGIN_H
#define TAMARACK_TURNS_STREAMORIGIN_H

#include "tamarack/base/Clock.h"
#include "tamarack/base/Ids.h"

#include <cstdint>
#include <optional>
#include <tuple>

namespace tamarack {

/// A software version of a service.
struct ServiceVersion {
  ServiceId Service;
  SoftwareVersion Version;

  friend bool operator==(const ServiceVersion &,
                         const ServiceVersion &) = default;
  friend bool operator<(const ServiceVersion &Left,
                        const ServiceVersion &Right) {
    return std::tie(Left.Service, Left.Version) <
           std::tie(Right.Service, Right.Version);
  }
};

/// One process of an endpoint, whose id may come back with another version.
struct EndpointProcess {
  EndpointId Endpoint;
  /// As in the endpoint's entry; zero if it publishes none.
  std::uint64_t StartedAt = 0;
  ServiceVersion Runs;

  friend bool operator==(const EndpointProcess &,
                         const EndpointProcess &) = default;
  friend bool operator<(const EndpointProcess &Left,
                        const EndpointProcess &Right) {
    return std::tie(Left.Endpoint, Left.StartedAt, Left.Runs) <
           std::tie(Right.Endpoint, Right.StartedAt, Right.Runs);
  }
};

struct StreamOrigin {
  /// Counts the origins that were written for one turn, from 1. Only the last
  /// one may have generated events.
  std::uint32_t Attempt = 1;
  /// How long the stream may be resumed.
  Duration Lifetime{0};
  /// Empty if it is not known which process generated the events.
  std::optional<EndpointProcess> Process;

  friend bool operator==(const StreamOrigin &, const StreamOrigin &) = default;
};

/// Merges \p Update into \p Target: the later attempt counts. Two processes for
/// the same attempt make the process unknown.
void mergeOrigin(std::optional<StreamOrigin> &Target,
                 const std::optional<StreamOrigin> &Update);

void to_json(Json &Value, const ServiceVersion &From);
void from_json(const Json &Value, ServiceVersion &To);
void to_json(Json &Value, const StreamOrigin &From);
void from_json(const Json &Value, StreamOrigin &To);

} // namespace tamarack

#endif // TAMARACK_TURNS_STREAMORIGIN_H
