#include "tamarack/base/Error.h"

#include <algorithm>
#include <ostream>

namespace tamarack {
namespace {

using std::chrono::seconds;

const std::vector<ErrorAnswer> Table = {
    {ErrorKind::MalformedRequest, "malformed_request", 400, seconds(0)},
    {ErrorKind::BodyTooLarge, "body_too_large", 413, seconds(0)},
    {ErrorKind::Unauthorized, "unauthorized", 401, seconds(0)},
    {ErrorKind::UnknownModel, "unknown_model", 404, seconds(0)},
    {ErrorKind::UnknownService, "unknown_service", 404, seconds(0)},
    {ErrorKind::UnknownProgram, "unknown_program", 404, seconds(0)},
    {ErrorKind::WrongSequence, "wrong_sequence", 409, seconds(0)},
    {ErrorKind::KeyRequired, "key_required", 400, seconds(0)},
    {ErrorKind::KeyReused, "key_reused", 422, seconds(0)},
    {ErrorKind::BudgetExceeded, "budget_exceeded", 402, seconds(0)},
    {ErrorKind::LimitReached, "limit_reached", 409, seconds(0)},
    {ErrorKind::RateLimited, "rate_limited", 429, seconds(1)},
    {ErrorKind::ProgramEnded, "program_ended", 410, seconds(0)},
    {ErrorKind::Overloaded, "overloaded", 503, seconds(2)},
    {ErrorKind::DeadlineUnreachable, "deadline_unreachable", 503, seconds(5)},
    {ErrorKind::NotEnoughCopies, "not_enough_copies", 503, seconds(2)},
    {ErrorKind::OwnerUnavailable, "owner_unavailable", 503, seconds(2)},
    {ErrorKind::PlatformUnavailable, "platform_unavailable", 503, seconds(5)},
    {ErrorKind::EndpointUnavailable, "endpoint_unavailable", 503, seconds(2)},
    {ErrorKind::EndpointFailed, "endpoint_failed", 502, seconds(0)},
    {ErrorKind::OutcomeUnknown, "outcome_unknown", 502, seconds(0)},
    {ErrorKind::CrashesEndpoints, "crashes_endpoints", 500, seconds(0)},
    {ErrorKind::UnknownStream, "unknown_stream", 503, seconds(0)},
    {ErrorKind::VersionUnavailable, "version_unavailable", 503, seconds(0)},
    {ErrorKind::Leaving, "leaving", 503, seconds(1)},
    {ErrorKind::EntryBusy, "entry_busy", 503, seconds(1)},
    {ErrorKind::Fenced, "fenced", 503, seconds(1)},
    {ErrorKind::RevisionConflict, "revision_conflict", 409, seconds(0)},
    {ErrorKind::InvalidConfiguration, "invalid_configuration", 422, seconds(0)},
    {ErrorKind::LinkLost, "link_lost", 503, seconds(1)},
    {ErrorKind::Timeout, "timeout", 504, seconds(1)},
    {ErrorKind::Internal, "internal", 500, seconds(0)},
};

} // namespace

const std::vector<ErrorAnswer> &errorTable() { return Table; }

const ErrorAnswer &answerOf(ErrorKind Kind) {
  const auto Row =
      std::find_if(Table.begin(), Table.end(),
                   [Kind](const ErrorAnswer &Row) { return Row.Kind == Kind; });
  return Row == Table.end() ? Table.back() : *Row;
}

ErrorKind errorKindOf(const std::string &Name) {
  const auto Row =
      std::find_if(Table.begin(), Table.end(), [&Name](const ErrorAnswer &Row) {
        return Name == Row.Name;
      });
  return Row == Table.end() ? ErrorKind::Internal : Row->Kind;
}

tl::unexpected<Error> refuse(ErrorKind Kind, std::string Message,
                             NotRun Proof) {
  return tl::make_unexpected(Error{Kind, std::move(Message), Proof, {}});
}

Json errorBody(const Error &Failure) {
  return {{"error",
           {{"kind", answerOf(Failure.Kind).Name},
            {"message", Failure.Message},
            {"not_run", Failure.Proof == NotRun::Proved}}}};
}

std::chrono::seconds retryAfterOf(const Error &Failure) {
  return Failure.RetryAfter.value_or(answerOf(Failure.Kind).RetryAfter);
}

void to_json(Json &Value, const Error &Failure) {
  Value = {{"kind", answerOf(Failure.Kind).Name},
           {"message", Failure.Message},
           {"not_run", Failure.Proof == NotRun::Proved},
           {"retry_after_s", retryAfterOf(Failure).count()}};
}

void from_json(const Json &Value, Error &Failure) {
  Failure.Kind = errorKindOf(Value.at("kind").get<std::string>());
  Failure.Message = Value.at("message").get<std::string>();
  Failure.Proof =
      Value.at("not_run").get<bool>() ? NotRun::Proved : NotRun::Unproved;
  Failure.RetryAfter = seconds(Value.at("retry_after_s").get<std::int64_t>());
}

std::ostream &operator<<(std::ostream &Out, ErrorKind Kind) {
  return Out << answerOf(Kind).Name;
}

std::ostream &operator<<(std::ostream &Out, const Error &Failure) {
  return Out << Failure.Kind << ": " << Failure.Message
             << (Failure.Proof == NotRun::Proved ? " (not run)" : "");
}

} // namespace tamarack
