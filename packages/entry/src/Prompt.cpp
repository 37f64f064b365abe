#include "Prompt.h"

namespace tamarack {
namespace internal {
namespace {

constexpr const char *NoMessages = "[]";

std::string digestOf(const SubmitCallRequest &Order) {
  const std::string Whole =
      Order.Target + '\n' + Order.Path + '\n' + Order.Body;
  return std::to_string(stableHash(Whole)) + '-' +
         std::to_string(stableHash(Whole, 1));
}

TokenCount tokensAtMost(std::size_t Bytes) { return Bytes / BytesPerToken + 1; }

Expected<Json> parseBody(const SubmitCallRequest &Order) {
  Json Body = Json::parse(Order.Body, nullptr, false);
  if (Body.is_discarded() || !Body.is_object())
    return refuse(ErrorKind::MalformedRequest, "the body is no JSON object",
                  NotRun::Proved);
  if (Order.Kind == CallKind::Chat &&
      (!Body.contains("messages") || !Body["messages"].is_array() ||
       Body["messages"].empty()))
    return refuse(ErrorKind::MalformedRequest,
                  "messages must be an array with at least one message",
                  NotRun::Proved);
  return Body;
}

} // namespace

TokenCount maxTokensOf(const SubmitCallRequest &Order) {
  if (Order.Kind == CallKind::Service)
    return 0;
  const Json Body = Json::parse(Order.Body, nullptr, false);
  if (!Body.is_object())
    return DefaultMaxTokens;
  for (const char *Field : {"max_completion_tokens", "max_tokens"})
    if (Body.contains(Field) && Body[Field].is_number_unsigned())
      return Body[Field].get<TokenCount>();
  return DefaultMaxTokens;
}

Expected<CallRequest> requestOf(const SubmitCallRequest &Order,
                                const CallId &Call, std::int64_t NowMs) {
  const Expected<Json> Body = parseBody(Order);
  if (!Body)
    return tl::make_unexpected(Body.error());
  CallRequest Request;
  Request.Program = Order.Program;
  Request.Sequence = Order.Sequence;
  Request.IdempotencyKey = Order.IdempotencyKey;
  Request.Digest = digestOf(Order);
  Request.Repeatable = Order.Repeatable;
  Request.MayBegin = Order.MayBegin;
  Request.Call = Call;
  Request.NewMessages = Order.Kind == CallKind::Chat
                            ? Body->at("messages").dump()
                            : std::string(NoMessages);
  if (Order.Kind == CallKind::Chat)
    Request.WorstCase =
        tokensAtMost(Request.NewMessages.size()) + maxTokensOf(Order);
  Request.IfNew = ProgramStart{Order.Customer,
                               Order.Workspace,
                               ModelId(Order.Target),
                               "",
                               Order.Budget,
                               Order.Bounds,
                               NowMs};
  return Request;
}

TokenCount historyTokens(const ProgramTree &Now, const ProgramId &Program) {
  const auto Found = Now.Programs.find(Program);
  if (Found == Now.Programs.end())
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

void addHistory(CallRequest &Request, const ProgramTree &Now) {
  if (Request.WorstCase != 0)
    Request.WorstCase += historyTokens(Now, Request.Program);
}

std::string endpointBody(const SubmitCallRequest &Order,
                         const ProgramState *State) {
  Json Body = Json::parse(Order.Body, nullptr, false);
  if (Order.Kind == CallKind::Service)
    return Order.Body;
  Json Messages = Json::array();
  if (State != nullptr)
    for (const std::string &Message : State->History)
      Messages.push_back(Json::parse(Message, nullptr, false));
  for (const Json &Message : Body["messages"])
    Messages.push_back(Message);
  Body["messages"] = std::move(Messages);
  Body["stream"] = true;
  Body["stream_options"] = {{"include_usage", true}};
  Body["cache_key"] = Order.Program.text();
  if (!Body.contains("max_tokens") && !Body.contains("max_completion_tokens"))
    Body["max_tokens"] = DefaultMaxTokens;
  return Body.dump();
}

Expected<CallReply> replyOf(const AttemptResult &Done) {
  const Json Answer = Json::parse(Done.Answer, nullptr, false);
  try {
    if (Done.How == Outcome::Completed)
      return Answer.get<CallReply>();
    return tl::make_unexpected(Answer.get<Error>());
  } catch (const Json::exception &) {
    return refuse(ErrorKind::Internal, "the stored answer cannot be read");
  }
}

} // namespace internal
} // namespace tamarack
