/// The requests under which endpoints crashed, so that a request which crashes
/// each endpoint that runs it does not reach one after the other.
///
///   CrashRecords Records(Limits, "entry-1/17");
///   Records.onCrash(Digest, Endpoint, SentAt, Now);
///   if (Records.isBlocked(Digest, Now)) ...
///   Records.onAnswered(Digest, Now);
///
/// Many innocent requests run beside the one that crashes an endpoint, and
/// nobody can tell them apart. A request is thus only suspect after one crash,
/// and blocked after several. A complete answer clears it, and a crash at which
/// a blocked request was running counts against no other.
///
/// Programs that send their whole history send the request that crashes with
/// another body in each turn. Requests of the same target are thus blocked
/// together, for some time, if several endpoints crashed under them and none of
/// them was ever answered.
///
/// Records are kept in memory only, by entries and by ledgers, which exchange
/// them: merge() is idempotent, and newsAfter() and observedAfter() return what
/// changed.
#ifndef TAMARACK_TURNS_CRASHRECORDS_H
#define TAMARACK_TURNS_CRASHRECORDS_H

#include "tamarack/base/Clock.h"
#include "tamarack/base/Ids.h"
#include "tamarack/base/Json.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace tamarack {

/// Identifies what a caller sent, whatever the id of the attempt: 16
/// hexadecimal digits of the target, followed by 16 of the body.
using RequestDigest = Id<struct RequestDigestTag>;

/// Returns the digest of a request. \p Body is the body as the caller sent it.
RequestDigest digestOf(std::string_view Method, std::string_view Host,
                       std::string_view Target, std::string_view Body);

struct CrashLimits {
  /// The number of crashes after which a request is blocked.
  std::size_t MaxCrashes = 3;
  /// How long a record is kept after the last crash or refusal.
  Duration Lifetime = std::chrono::minutes(10);
  /// How long the requests of a target are blocked after the last crash.
  Duration TargetBlockTime = std::chrono::minutes(1);
  /// The number of answered targets that are remembered at least.
  std::size_t MaxAnsweredTargets = 4000;
  /// The number of requests whose records are kept. About half a megabyte.
  std::size_t MaxRequests = 2000;
  /// Reports of crashes of one endpoint that differ by less are of the same
  /// crash. Exceeds the delay of a report, and is less than a restart takes.
  Duration SameCrashWindow = std::chrono::seconds(1);
};

/// The record of one request as it is sent to other processes. Times are given
/// as the time that has passed since, as processes have different clocks.
struct CrashRecord {
  struct Crash {
    EndpointId Endpoint;
    Duration Age{0};

    friend bool operator==(const Crash &, const Crash &) = default;
  };

  RequestDigest Digest;
  std::vector<Crash> Crashes;
  /// Since the request was last answered completely; empty if it never was.
  std::optional<Duration> SinceAnswer;
  /// Since the last crash or refusal.
  Duration SinceSeen{0};

  friend bool operator==(const CrashRecord &, const CrashRecord &) = default;
};

/// How much of the changes of a process another one has received.
struct CrashPosition {
  /// Identifies the process; a restarted one has another identity.
  std::string Source;
  std::uint64_t Number = 0;

  friend bool operator==(const CrashPosition &,
                         const CrashPosition &) = default;
};

/// What one process tells another.
struct CrashNews {
  CrashPosition Position;
  std::vector<CrashRecord> Records;

  friend bool operator==(const CrashNews &, const CrashNews &) = default;
};

/// A question to a process, with what the asking one has observed.
struct CrashRequest {
  /// What the asking process has received from this one.
  CrashPosition After;
  std::vector<CrashRecord> Observed;
};

void to_json(Json &Value, const CrashRecord &From);
void from_json(const Json &Value, CrashRecord &To);
void to_json(Json &Value, const CrashPosition &From);
void from_json(const Json &Value, CrashPosition &To);
void to_json(Json &Value, const CrashNews &From);
void from_json(const Json &Value, CrashNews &To);
void to_json(Json &Value, const CrashRequest &From);
void from_json(const Json &Value, CrashRequest &To);

class CrashRecords {
public:
  /// \p Source must differ between processes and between their starts.
  CrashRecords(CrashLimits Limits, std::string Source);

  /// Records that \p Endpoint ended while it ran the request, which was sent to
  /// it at \p SentAt. Returns the number of crashes of the request.
  std::size_t onCrash(const RequestDigest &Digest, const EndpointId &Endpoint,
                      TimePoint SentAt, TimePoint Now);
  /// Records a complete answer to the request.
  void onAnswered(const RequestDigest &Digest, TimePoint Now);
  /// Records that the request came again and was refused.
  void onRefused(const RequestDigest &Digest, TimePoint Now);

  std::size_t crashes(const RequestDigest &Digest, TimePoint Now) const;
  bool isSuspect(const RequestDigest &Digest, TimePoint Now) const {
    return crashes(Digest, Now) > 0;
  }
  /// Whether so many endpoints crashed under the request that it is not to be
  /// sent to another one.
  bool isBlocked(const RequestDigest &Digest, TimePoint Now) const {
    return crashes(Digest, Now) >= Limits.MaxCrashes ||
           isTargetBlocked(targetOf(Digest), Now);
  }

  /// Returns what changed after \p Position, or all records if the position is
  /// one of another process.
  CrashNews newsAfter(const CrashPosition &Position, TimePoint Now) const;
  /// Returns the records that this process itself changed after the change
  /// \p Number, as opposed to those that it got from others.
  CrashNews observedAfter(std::uint64_t Number, TimePoint Now) const;
  /// Adds what other processes know.
  void merge(const std::vector<CrashRecord> &Records, TimePoint Now);
  std::size_t size() const { return Entries.size(); }

private:
  /// The part of a digest that identifies the target; also the key of an entry
  /// that tells when the target was answered.
  static RequestDigest targetOf(const RequestDigest &Digest);
  bool isTargetBlocked(const RequestDigest &Target, TimePoint Now) const;
  bool isTargetAnswered(const RequestDigest &Target, TimePoint Now) const;
  void rememberAnswered(const RequestDigest &Target);
  struct Crash {
    EndpointId Endpoint;
    TimePoint At;
    /// The request was running there from then on at the latest.
    TimePoint RunningSince;
  };
  struct Entry {
    std::vector<Crash> Crashes;
    std::optional<TimePoint> AnsweredAt;
    TimePoint SeenAt;
    /// The number of its last change, and of the last one that this process
    /// observed itself.
    std::uint64_t Number = 0;
    std::uint64_t ObservedNumber = 0;
  };

  /// Returns the entry of \p Digest, for which it makes room if it is new.
  Entry &entryOf(const RequestDigest &Digest, TimePoint Now);
  void makeRoom(TimePoint Now);
  bool isExpired(const Entry &Known, TimePoint Now) const;
  /// Drops the crashes up to \p AnsweredAt. Returns whether that is a change.
  bool clear(Entry &Known, TimePoint AnsweredAt) const;
  /// Adds a crash unless a blocked request explains it.
  bool add(Entry &Known, const Crash &Next);
  bool isBlocked(const Entry &Known) const {
    return Known.Crashes.size() >= Limits.MaxCrashes;
  }
  /// Whether \p Known holds the same crash as \p Other.
  bool holds(const Entry &Known, const Crash &Other) const;
  /// Drops the crashes of the blocked request from all others.
  void dropExplainedBy(const Entry &Blocked);
  void noteObserved(Entry &Known) {
    Known.Number = Known.ObservedNumber = ++LastNumber;
  }
  CrashNews recordsAfter(std::uint64_t Number, std::uint64_t Entry::*NumberOf,
                         TimePoint Now) const;

  const CrashLimits Limits;
  const std::string Source;
  std::map<RequestDigest, Entry> Entries;
  /// Targets that were answered lately. Older ones are dropped as a whole.
  std::unordered_set<std::string> AnsweredTargets;
  std::unordered_set<std::string> AnsweredBefore;
  std::uint64_t LastNumber = 0;
};

} // namespace tamarack

#endif // TAMARACK_TURNS_CRASHRECORDS_H
