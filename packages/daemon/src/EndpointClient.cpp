#include "EndpointClient.h"

#include "ChatAnswer.h"

#include <Poco/URI.h>
#include <spdlog/spdlog.h>

namespace tamarack {
namespace internal {
namespace {

/// Longest time without a byte from an engine before the stream is resumed.
constexpr Duration EngineSilence = std::chrono::seconds(5);
/// Connections that may be spent on one stream.
constexpr int MaxConnections = 4;
constexpr Duration ShortLimit = std::chrono::seconds(2);
constexpr int HttpOk = 200;
constexpr int HttpBadRequest = 400;
constexpr int HttpNotFound = 404;
constexpr int HttpServerError = 500;

std::string encoded(const std::string &Text) {
  std::string Out;
  Poco::URI::encode(Text, "/:?#&+%", Out);
  return Out;
}

std::string streamIdOf(const AttemptId &Id) {
  return encoded(Id.Program.text()) + "." + Id.Call.text() + "." +
         std::to_string(Id.Attempt);
}

Error engineError(const StreamEnd &End) {
  const bool Refused =
      End.Status >= HttpBadRequest && End.Status < HttpServerError;
  return {Refused ? ErrorKind::MalformedRequest : ErrorKind::EndpointFailed,
          "the engine answered " + std::to_string(End.Status) + ": " + End.Body,
          Refused ? NotRun::Proved : NotRun::Unproved,
          {}};
}

Expected<ExecuteReply> replyOf(const ChatAnswer &Answer) {
  ExecuteReply Reply;
  Reply.Answer = completionOf(Answer).dump();
  Reply.AnswerMessage = messageOf(Answer).dump();
  Reply.Use = Answer.Use;
  return Reply;
}

} // namespace

EndpointClient::EndpointClient(EndpointSettings Endpoint, const Clock &Time)
    : Endpoint(std::move(Endpoint)), Time(Time) {}

Expected<ExecuteReply> EndpointClient::runChat(const ExecuteRequest &Order,
                                               const EngineProgress &Progress) {
  ChatAnswer Answer;
  TimePoint Last{Duration(0)};
  std::uint64_t Tokens = 0;
  const auto OnEvent = [&](const std::string &Data) {
    const Json Chunk = Json::parse(Data, nullptr, false);
    if (!addChunk(Answer, Chunk))
      return true;
    const TimePoint Now = Time.now();
    if (Tokens++ == 0)
      Progress.FirstToken();
    else
      Progress.TokenTime(Now - Last);
    Last = Now;
    Progress.Part({Data});
    return true;
  };
  const std::string Stream = streamIdOf(Order.Id);
  HttpRequest Request{
      "POST", "/v1/chat/completions", Order.Body, {{"X-Stream-Id", Stream}}};
  Error Lost;
  for (int Connection = 0; Connection < MaxConnections; ++Connection) {
    const auto End = httpStream(Endpoint.At, Request, EngineSilence, OnEvent);
    if (End && End->Finished)
      return replyOf(Answer);
    if (End && End->Status == HttpNotFound && Connection > 0)
      return refuse(ErrorKind::EndpointFailed,
                    "the engine does not know the stream any more");
    if (End && End->Status != HttpOk)
      return tl::make_unexpected(engineError(*End));
    if (!End && End.error().Proof == NotRun::Proved && Connection == 0)
      return refuse(ErrorKind::EndpointUnavailable, End.error().Message,
                    NotRun::Proved);
    Lost = End ? Error{ErrorKind::LinkLost, "the stream broke off", {}, {}}
               : End.error();
    spdlog::warn("endpoint: stream {} is resumed at {}: {}", Stream, Tokens,
                 Lost.Message);
    Request = {"GET",
               "/v1/streams/" + Stream + "?offset=" + std::to_string(Tokens),
               "",
               {}};
  }
  return refuse(ErrorKind::EndpointFailed,
                "the engine went silent: " + Lost.Message);
}

Expected<ExecuteReply> EndpointClient::runService(const ExecuteRequest &Order) {
  const auto Answer = httpCall(Endpoint.At,
                               {"POST",
                                "/v1/run/" + Order.Path,
                                Order.Body,
                                {{"Idempotency-Key", Order.IdempotencyKey}}},
                               Order.Remaining);
  if (!Answer) {
    const bool Sent = Answer.error().Proof != NotRun::Proved;
    return refuse(Sent ? ErrorKind::OutcomeUnknown
                       : ErrorKind::EndpointUnavailable,
                  Answer.error().Message, Answer.error().Proof);
  }
  ExecuteReply Reply;
  Reply.Status = Answer->Status;
  Reply.Answer = Answer->Body;
  return Reply;
}

void EndpointClient::cancel(const AttemptId &Id) {
  const auto Done =
      httpCall(Endpoint.At, {"DELETE", "/v1/streams/" + streamIdOf(Id), "", {}},
               ShortLimit);
  if (!Done)
    spdlog::warn("endpoint: cancel failed: {}", Done.error().Message);
}

Expected<void> EndpointClient::releaseCache(const ProgramId &Program) {
  return httpCall(Endpoint.At,
                  {"DELETE", "/v1/cache/" + encoded(Program.text()), "", {}},
                  ShortLimit)
      .map([](const HttpAnswer &) {});
}

Expected<std::map<ProgramId, TokenCount>> EndpointClient::listCache() {
  const auto Answer =
      httpCall(Endpoint.At, {"GET", "/v1/cache", "", {}}, ShortLimit);
  if (!Answer)
    return tl::make_unexpected(Answer.error());
  std::map<ProgramId, TokenCount> Held;
  const Json Body = Json::parse(Answer->Body, nullptr, false);
  if (!Body.is_object() || !Body.contains("entries"))
    return refuse(ErrorKind::EndpointFailed, "unexpected cache listing");
  for (const Json &Entry : Body["entries"])
    Held[ProgramId(Entry.value("key", std::string()))] +=
        Entry.value("tokens", TokenCount{0});
  return Held;
}

} // namespace internal
} // namespace tamarack
