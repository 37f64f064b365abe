/// What operators decide for the whole fleet: defaults, and a short list of
/// exceptions, each with its reason.
///
/// One document per revision. A change makes a new document, which is
/// validated whole before it is proposed (Revisions.h):
///
///   Expected<OperatorDocument> Next = withException(Current, Slower);
///   ...
///   const EffectiveDefaults Rules =
///       effective(Current, {CustomerId("clinic"), {}, ModelId("planner")},
///                 Clock.calendarNow());
///
/// Of the exceptions that match, the one with most fields in its scope wins;
/// among equals the one that stands later in the document.
#ifndef TAMARACK_CONFIG_OPERATORDOCUMENT_H
#define TAMARACK_CONFIG_OPERATORDOCUMENT_H

#include "tamarack/base/Clock.h"
#include "tamarack/base/Compare.h"
#include "tamarack/base/Error.h"
#include "tamarack/base/Ids.h"
#include "tamarack/config/OperatorSettings.h"
#include "tamarack/config/Settings.h"

#include <map>

namespace tamarack {

/// The number of an accepted document; zero for the built-in defaults.
using Revision = std::uint64_t;
using CalendarTime = std::chrono::system_clock::time_point;

/// What a question is about, or what an exception covers. An empty field of
/// an exception covers everything.
struct Scope {
  CustomerId Customer;
  WorkspaceId Workspace;
  ModelId Model;
  EndpointId Endpoint;
  ServiceId Service;

  auto tied() const {
    return std::tie(Customer, Workspace, Model, Endpoint, Service);
  }
};

struct OperatorException {
  std::string Id;
  Scope Covers;
  OperatorSetting Setting = OperatorSetting::Class;
  SettingValue Value;
  /// Why; never empty.
  std::string Reason;
  std::string Author;
  /// From here on the exception no longer holds.
  std::optional<CalendarTime> Until;

  auto tied() const {
    return std::tie(Id, Covers, Setting, Value, Reason, Author, Until);
  }
};

/// One past acceptance, kept in the document that follows it.
struct RevisionNote {
  Revision Number = 0;
  std::string Author;
  /// Unique to the change, so that its writer recognises it.
  std::string Token;
  std::string Comment;

  auto tied() const { return std::tie(Number, Author, Token, Comment); }
};

struct OperatorDocument {
  /// Who made this revision, and with which token.
  RevisionNote Made;
  std::map<OperatorSetting, SettingValue> Defaults;
  std::vector<OperatorException> Exceptions;
  /// Earlier revisions, newest first, bounded.
  std::vector<RevisionNote> History;

  auto tied() const { return std::tie(Made, Defaults, Exceptions, History); }
};

/// Bounds that keep the document far below the platform's largest value of a
/// megabyte, with its history and as sent to peers.
constexpr std::size_t MaxDocumentBytes = 262'144;
constexpr std::size_t MaxExceptions = 500;
constexpr std::size_t MaxHistory = 100;
constexpr std::size_t MaxTextLength = 500;

/// What holds for one scope at one time.
struct EffectiveDefaults {
  CallClass Class = CallClass::Normal;
  TokenCount BudgetTokens = 0;
  std::uint32_t MaxTurns = 0;
  Duration MaxWallTime{0};
  Duration CallDeadline{0};
  Duration SequenceWait{0};
  Duration ToolTimeout{0};
  Duration HistoryRetention{0};
  CacheRetentionPolicy CacheRetention = CacheRetentionPolicy::KeepNothing;
  Duration CacheTimeToLive{0};
  std::uint32_t QueueLimit = 0;
  double HighClassShare = 0;
  double LowClassFloor = 0;
  double RetryFraction = 0;
  double MaxEjectedShare = 0;
  double MoveMargin = 0;
  std::uint64_t SlowLinkBytesPerSecond = 0;
  /// The ids of the exceptions that decided anything, sorted.
  std::vector<std::string> Applied;

  auto tied() const {
    return std::tie(Class, BudgetTokens, MaxTurns, MaxWallTime, CallDeadline,
                    SequenceWait, ToolTimeout, HistoryRetention, CacheRetention,
                    CacheTimeToLive, QueueLimit, HighClassShare, LowClassFloor,
                    RetryFraction, MaxEjectedShare, MoveMargin,
                    SlowLinkBytesPerSecond, Applied);
  }
};

EffectiveDefaults effective(const OperatorDocument &Document,
                            const Scope &Asked, CalendarTime Now);

/// Whether \p Exception covers \p Asked and has not ended at \p Now.
bool applies(const OperatorException &Exception, const Scope &Asked,
             CalendarTime Now);

/// Every mistake in \p Value as a document; empty when it is valid. Revision
/// and token are the system's to set and may be left out.
std::vector<SettingsMistake> checkOperatorDocument(const Json &Value);

/// The document in \p Value, or InvalidConfiguration naming every mistake.
Expected<OperatorDocument> operatorDocumentFrom(const Json &Value);

/// The exception in \p Value, checked like one in a document.
Expected<OperatorException> operatorExceptionFrom(const Json &Value);

/// Refused with InvalidConfiguration when the id is taken or the list full.
Expected<OperatorDocument> withException(const OperatorDocument &Document,
                                         const OperatorException &Added);

/// Refused with InvalidConfiguration when there is no such exception.
Expected<OperatorDocument> withoutException(const OperatorDocument &Document,
                                            const std::string &Id);

/// \p Content as the revision after \p Current, whose note goes into the
/// history.
OperatorDocument nextRevision(const OperatorDocument &Current,
                              OperatorDocument Content, RevisionNote Made);

/// Whether \p Document or one of its predecessors was made with \p Token.
bool wasMadeWith(const OperatorDocument &Document, const std::string &Token);

/// UTC in the form 2026-12-24T18:00:00Z.
std::string calendarText(CalendarTime Time);
std::optional<CalendarTime> calendarTimeFrom(const std::string &Text);

void to_json(Json &Value, const Scope &Covers);
void to_json(Json &Value, const OperatorException &Exception);
void to_json(Json &Value, const RevisionNote &Note);
void to_json(Json &Value, const OperatorDocument &Document);
void to_json(Json &Value, const EffectiveDefaults &Rules);
/// Throws Json::exception on a document that checkOperatorDocument refuses.
void from_json(const Json &Value, OperatorDocument &Document);

} // namespace tamarack

#endif // TAMARACK_CONFIG_OPERATORDOCUMENT_H
