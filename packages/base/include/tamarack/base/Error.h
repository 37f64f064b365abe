/// All error kinds, and the table of the HTTP answer to each kind.
///
///   return refuse(ErrorKind::Overloaded, "queue is full", NotRun::Proved);
///
/// A function that can fail returns Expected<T>; no exception leaves the
/// library that it was thrown in.
#ifndef TAMARACK_BASE_ERROR_H
#define TAMARACK_BASE_ERROR_H

#include "tamarack/base/Compare.h"
#include "tamarack/base/Json.h"

#include <chrono>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace tamarack {

enum class ErrorKind {
  MalformedRequest,
  BodyTooLarge,
  Unauthorized,
  UnknownModel,
  UnknownService,
  UnknownProgram,
  WrongSequence,
  KeyRequired,
  KeyReused,
  BudgetExceeded,
  LimitReached,
  RateLimited,
  ProgramEnded,
  Overloaded,
  DeadlineUnreachable,
  NotEnoughCopies,
  OwnerUnavailable,
  PlatformUnavailable,
  EndpointUnavailable,
  EndpointFailed,
  OutcomeUnknown,
  CrashesEndpoints,
  UnknownStream,
  VersionUnavailable,
  Leaving,
  EntryBusy,
  Fenced,
  RevisionConflict,
  InvalidConfiguration,
  LinkLost,
  Timeout,
  Internal,
};

/// A table row: how an error kind is reported to callers and operators.
struct ErrorAnswer {
  ErrorKind Kind;
  const char *Name;
  int HttpStatus;
  /// When the caller may retry; zero if a retry does not help.
  std::chrono::seconds RetryAfter;
};

/// Whether it is proved that no part of the request was executed.
enum class NotRun { Unproved, Proved };

struct Error {
  ErrorKind Kind = ErrorKind::Internal;
  std::string Message;
  NotRun Proof = NotRun::Unproved;
  /// Overrides ErrorAnswer::RetryAfter of the kind.
  std::optional<std::chrono::seconds> RetryAfter;

  auto tied() const { return std::tie(Kind, Message, Proof, RetryAfter); }
};

template <typename T> using Expected = tl::expected<T, Error>;

const ErrorAnswer &answerOf(ErrorKind Kind);
const std::vector<ErrorAnswer> &errorTable();
/// Returns the kind named \p Name, or Internal if there is none.
ErrorKind errorKindOf(const std::string &Name);

tl::unexpected<Error> refuse(ErrorKind Kind, std::string Message,
                             NotRun Proof = NotRun::Unproved);

/// Body of an error response: {"error": {"kind", "message", "not_run"}}.
Json errorBody(const Error &Failure);
/// The retry delay set in \p Failure, or else that of its kind.
std::chrono::seconds retryAfterOf(const Error &Failure);

void to_json(Json &Value, const Error &Failure);
void from_json(const Json &Value, Error &Failure);

std::ostream &operator<<(std::ostream &Out, ErrorKind Kind);
std::ostream &operator<<(std::ostream &Out, const Error &Failure);

} // namespace tamarack

#endif // TAMARACK_BASE_ERROR_H
