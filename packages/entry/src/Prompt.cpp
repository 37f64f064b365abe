#include "Prompt.h"

namespace tamarack {
namespace internal {
namespace {

constexpr const char *NoMessages = "[]";

std::string digestOf(const SubmitCallRequest &Incoming) {
  const std::string Whole =
      Incoming.Target + '\n' + Incoming.Path + '\n' + Incoming.Body;
  return std::to_string(stableHash(Whole)) + '-' +
         std::to_string(stableHash(Whole, 1));
}

TokenCount tokenUpperBound(std::size_t Bytes) {
  return Bytes / BytesPerToken + 1;
}

Expected<Json> parseBody(const SubmitCallRequest &Incoming) {
  Json Body = Json::parse(Incoming.Body, nullptr, false);
  if (Body.is_discarded() || !Body.is_object())
    return refuse(ErrorKind::MalformedRequest, "the body is not a JSON object",
                  NotRun::Proved);
  if (Incoming.Kind == CallKind::Chat &&
      (!Body.contains("messages") || !Body["messages"].is_array() ||
       Body["messages"].empty()))
    return refuse(ErrorKind::MalformedRequest,
                  "messages must be an array with at least one message",
                  NotRun::Proved);
  return Body;
}

} // namespace

TokenCount maxTokensOf(const SubmitCallRequest &Incoming) {
  if (Incoming.Kind == CallKind::Service)
    return 0;
  const Json Body = Json::parse(Incoming.Body, nullptr, false);
  if (!Body.is_object())
    return DefaultMaxTokens;
  for (const char *Field : {"max_completion_tokens", "max_tokens"})
    if (Body.contains(Field) && Body[Field].is_number_unsigned())
      return Body[Field].get<TokenCount>();
  return DefaultMaxTokens;
}

Expected<CallRequest> makeCallRequest(const SubmitCallRequest &Incoming,
                                      const CallId &Call, std::int64_t NowMs) {
  const Expected<Json> Body = parseBody(Incoming);
  if (!Body)
    return tl::make_unexpected(Body.error());
  CallRequest Request;
  Request.Program = Incoming.Program;
  Request.Sequence = Incoming.Sequence;
  Request.IdempotencyKey = Incoming.IdempotencyKey;
  Request.Digest = digestOf(Incoming);
  Request.Repeatable = Incoming.Repeatable;
  Request.MayBegin = Incoming.MayBegin;
  Request.Call = Call;
  Request.NewMessages = Incoming.Kind == CallKind::Chat
                            ? Body->at("messages").dump()
                            : std::string(NoMessages);
  if (Incoming.Kind == CallKind::Chat)
    Request.WorstCase =
        tokenUpperBound(Request.NewMessages.size()) + maxTokensOf(Incoming);
  Request.IfNew = ProgramStart{Incoming.Customer,
                               Incoming.Workspace,
                               ModelId(Incoming.Target),
                               "",
                               Incoming.Budget,
                               Incoming.Bounds,
                               NowMs};
  return Request;
}

TokenCount historyTokens(const ProgramTree &Tree, const ProgramId &Program) {
  const auto Found = Tree.Programs.find(Program);
  if (Found == Tree.Programs.end())
    return 0;
  const ProgramState &State = Found->second;
  for (auto Call = State.CallBySequence.rbegin();
       Call != State.CallBySequence.rend(); ++Call) {
    const CallState &Last = State.Calls.at(Call->second);
    if (Last.Done && Last.Done->How == Outcome::Completed &&
        !Last.Done->AnswerMessage.empty())
      return Last.Done->Used;
  }
  return 0;
}

void addHistoryTokens(CallRequest &Request, const ProgramTree &Tree) {
  if (Request.WorstCase != 0)
    Request.WorstCase += historyTokens(Tree, Request.Program);
}

std::string endpointBody(const SubmitCallRequest &Incoming,
                         const ProgramState *State) {
  Json Body = Json::parse(Incoming.Body, nullptr, false);
  if (Incoming.Kind == CallKind::Service)
    return Incoming.Body;
  Json Messages = Json::array();
  if (State != nullptr)
    for (const std::string &Message : State->History)
      Messages.push_back(Json::parse(Message, nullptr, false));
  for (const Json &Message : Body["messages"])
    Messages.push_back(Message);
  Body["messages"] = std::move(Messages);
  Body["stream"] = true;
  Body["stream_options"] = {{"include_usage", true}};
  Body["cache_key"] = Incoming.Program.text();
  if (!Body.contains("max_tokens") && !Body.contains("max_completion_tokens"))
    Body["max_tokens"] = DefaultMaxTokens;
  return Body.dump();
}

Expected<CallReply> toReply(const AttemptResult &Done) {
  const Json Answer = Json::parse(Done.Answer, nullptr, false);
  try {
    if (Done.How == Outcome::Completed)
      return Answer.get<CallReply>();
    return tl::make_unexpected(Answer.get<Error>());
  } catch (const Json::exception &) {
    return refuse(ErrorKind::Internal, "the stored answer cannot be parsed");
  }
}

} // namespace internal
} // namespace tamarack
