#include "CallersHttp.h"

#include "StreamRelay.h"

#include <Poco/URI.h>
#include <algorithm>

namespace tamarack {
namespace internal {
namespace {

constexpr const char *ChatPath = "/v1/chat/completions";
constexpr const char *ServicesPrefix = "/v1/services/";
constexpr const char *ProgramsPrefix = "/v1/programs/";
/// Ids longer than this, or with other signs than these, are refused.
constexpr std::size_t MaxIdLength = 200;

bool isPlainId(const std::string &Text) {
  return !Text.empty() && Text.size() <= MaxIdLength &&
         std::all_of(Text.begin(), Text.end(), [](unsigned char Sign) {
           return std::isalnum(Sign) != 0 || Sign == '-' || Sign == '_' ||
                  Sign == '.' || Sign == ':' || Sign == '/';
         });
}

/// Programs of different customers never share an id.
ProgramId internalId(const CustomerId &Customer, const std::string &Id) {
  return ProgramId(Customer.text() + "~" + Id);
}

std::string callersId(const ProgramId &Program) {
  return Program.text().substr(Program.text().find('~') + 1);
}

tl::unexpected<Error> malformed(const std::string &Why) {
  return refuse(ErrorKind::MalformedRequest, Why, NotRun::Proved);
}

Expected<std::optional<std::uint64_t>> numberIn(const std::string &Text,
                                                const char *Header) {
  if (Text.empty())
    return std::optional<std::uint64_t>();
  const bool Digits =
      Text.size() <= 18 &&
      std::all_of(Text.begin(), Text.end(),
                  [](unsigned char Sign) { return std::isdigit(Sign) != 0; });
  if (!Digits || std::stoull(Text) == 0)
    return malformed(std::string(Header) + " must be a whole number above 0");
  return std::optional<std::uint64_t>(std::stoull(Text));
}

Expected<CallClass> classIn(const std::string &Text, CallClass Otherwise) {
  if (Text.empty())
    return Otherwise;
  if (const auto Class = callClassOf(Text))
    return *Class;
  return malformed("Tamarack-Class must be high, normal or low");
}

} // namespace

CallersHttp::CallersHttp(CallersSettings Settings, Router &Requests,
                         Peers &Network, const ConfigKeeper &Config,
                         Metrics &Measured, const Clock &Time,
                         std::function<std::string()> Fresh)
    : Settings(std::move(Settings)), Requests(Requests), Network(Network),
      Config(Config), Measured(Measured), Time(Time), Fresh(std::move(Fresh)) {}

Expected<void> CallersHttp::start() {
  auto Started =
      HttpServe::start(Settings.Host, Settings.Port,
                       [this](Poco::Net::HTTPServerRequest &Request,
                              Poco::Net::HTTPServerResponse &Response) {
                         serve(Request, Response);
                       });
  if (!Started)
    return tl::make_unexpected(Started.error());
  Server = std::move(*Started);
  return {};
}

void CallersHttp::stop() {
  if (Server)
    Server->stop();
}

Expected<CustomerId>
CallersHttp::customerOf(const Poco::Net::HTTPServerRequest &Request) const {
  if (const auto Known =
          tamarack::customerOf(Settings.Keys, bearerKey(Request)))
    return *Known;
  return refuse(ErrorKind::Unauthorized, "the caller's key is not known",
                NotRun::Proved);
}

void CallersHttp::refuseHere(Poco::Net::HTTPServerResponse &Response,
                             const Error &Why) {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    ++Refused[Why.Kind];
  }
  sendError(Response, Why);
}

std::map<ErrorKind, std::uint64_t> CallersHttp::refused() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return Refused;
}

void CallersHttp::serve(Poco::Net::HTTPServerRequest &Request,
                        Poco::Net::HTTPServerResponse &Response) {
  const std::string Path = Poco::URI(Request.getURI()).getPath();
  const std::string &Method = Request.getMethod();
  if (Network.isLeaving())
    Response.setKeepAlive(false);
  const auto Customer = customerOf(Request);
  if (!Customer) {
    ++WrongKeys;
    return refuseHere(Response, Customer.error());
  }
  if (Network.isLeaving() && Method == "POST")
    // An earlier sending of the same request may run at another entry.
    return refuseHere(
        Response,
        {ErrorKind::Leaving, "this instance is leaving", NotRun::Unproved, {}});
  if (Method == "POST" && Path == ChatPath)
    return chat(*Customer, Request, Response);
  if (Method == "POST" && Path.rfind(ServicesPrefix, 0) == 0)
    return service(*Customer, Path.substr(std::string(ServicesPrefix).size()),
                   Request, Response);
  if ((Method == "GET" || Method == "DELETE") &&
      Path.rfind(ProgramsPrefix, 0) == 0)
    return program(*Customer, Path.substr(std::string(ProgramsPrefix).size()),
                   Request, Response);
  refuseHere(Response, {ErrorKind::MalformedRequest,
                        "no such path: " + Method + " " + Path,
                        NotRun::Proved,
                        {}});
}

Expected<SubmitCallRequest>
CallersHttp::orderOf(const CustomerId &Customer,
                     const Poco::Net::HTTPServerRequest &Request,
                     const std::string &Target, CallKind Kind) {
  SubmitCallRequest Order;
  Order.Kind = Kind;
  Order.Target = Target;
  Order.Customer = Customer;
  Order.Workspace = WorkspaceId(Request.get("Tamarack-Workspace", ""));
  Order.IdempotencyKey = Request.get("Idempotency-Key", "");
  Scope Asked;
  Asked.Customer = Customer;
  Asked.Workspace = Order.Workspace;
  if (Kind == CallKind::Chat)
    Asked.Model = ModelId(Target);
  else
    Asked.Service = ServiceId(Target);
  const EffectiveDefaults Rules = Config.rulesFor(Asked);
  Order.Budget = Rules.BudgetTokens;
  Order.Bounds = {Rules.MaxTurns, Rules.MaxWallTime};
  Order.Remaining =
      Kind == CallKind::Chat ? Rules.CallDeadline : Rules.ToolTimeout;
  const auto Deadline =
      numberIn(Request.get("Tamarack-Deadline-Ms", ""), "Tamarack-Deadline-Ms");
  const auto Sequence =
      numberIn(Request.get("Tamarack-Sequence", ""), "Tamarack-Sequence");
  const auto Class = classIn(Request.get("Tamarack-Class", ""), Rules.Class);
  const auto Budget =
      numberIn(Request.get("Tamarack-Budget", ""), "Tamarack-Budget");
  for (const auto *Number : {&Deadline, &Sequence, &Budget})
    if (!*Number)
      return tl::make_unexpected(Number->error());
  if (!Class)
    return tl::make_unexpected(Class.error());
  if (*Deadline)
    Order.Remaining = std::min<Duration>(Order.Remaining,
                                         std::chrono::milliseconds(**Deadline));
  if (*Budget)
    Order.Budget = std::min<TokenCount>(**Budget, Rules.BudgetTokens);
  Order.Sequence = *Sequence;
  // A caller may lower its class, not raise it above what operators allow.
  Order.Class = std::max(*Class, Rules.Class);
  return Order;
}

bool CallersHttp::isServed(const std::string &Target) const {
  const MemberTable Known = Network.members();
  return std::any_of(
      Known.Members.begin(), Known.Members.end(), [&Target](const auto &Row) {
        const auto &Serves = Row.second.Known.Serves;
        return std::find(Serves.begin(), Serves.end(), Target) != Serves.end();
      });
}

void CallersHttp::chat(const CustomerId &Customer,
                       Poco::Net::HTTPServerRequest &Request,
                       Poco::Net::HTTPServerResponse &Response) {
  const TimePoint Started = Time.now();
  auto Body = readBody(Request, Settings.MaxBodyBytes);
  if (!Body) {
    // What is left of the body is not read.
    Response.setKeepAlive(false);
    return refuseHere(Response, Body.error());
  }
  const Json Parsed = Json::parse(*Body, nullptr, false);
  if (!Parsed.is_object())
    return refuseHere(Response,
                      malformed("the body is no JSON object").value());
  if (!Parsed.contains("model") || !Parsed["model"].is_string())
    return refuseHere(Response, malformed("model must be a text").value());
  auto Order = orderOf(Customer, Request, Parsed["model"].get<std::string>(),
                       CallKind::Chat);
  if (!Order)
    return refuseHere(Response, Order.error());
  Order->Body = std::move(*Body);
  if (!isServed(Order->Target))
    return refuseHere(Response, {ErrorKind::UnknownModel,
                                 "no endpoint serves " + Order->Target,
                                 NotRun::Proved,
                                 {}});
  const std::string Given = Request.get("Tamarack-Program", "");
  if (!Given.empty() && !isPlainId(Given))
    return refuseHere(Response, malformed("Tamarack-Program holds letters, "
                                          "digits and -_.:/ only")
                                    .value());
  const std::string Id =
      Given.empty() ? Settings.Region.text() + ":" + Fresh() : Given;
  Order->Program = internalId(Customer, Id);
  Order->MayBegin = Given.empty() || Order->Sequence == 1U;
  if (Order->IdempotencyKey.empty() && !Order->Sequence)
    // Lets the request be recognised on a second way to the owner.
    Order->IdempotencyKey = "request-" + Fresh();
  Order->KeyIsFresh = Request.get("Idempotency-Key", "").empty();

  StreamRelay Relay(Response);
  const bool Streams = Parsed.value("stream", false);
  Relay.setHeader("Tamarack-Program", Id);
  std::optional<TimePoint> LastPart;
  const auto Reply = Requests.call(*Order, [&](const CallPart &Part) {
    const TimePoint Now = Time.now();
    Measured.observe(LastPart ? Timing::TokenInterval : Timing::FirstToken,
                     Now - LastPart.value_or(Started));
    LastPart = Now;
    if (Streams)
      Relay.part(Part);
  });
  if (!Reply)
    return Relay.isOpen() ? Relay.fail(Reply.error())
                          : sendError(Response, Reply.error());
  Measured.observe(Timing::Call, Time.now() - Started);
  Relay.setHeader("Tamarack-Sequence", std::to_string(Reply->Sequence));
  Relay.setHeader("Tamarack-Endpoint", Reply->ServedBy.text());
  Relay.setHeader("Tamarack-Stored", Reply->Stored ? "true" : "false");
  if (Streams)
    return Relay.finish(*Reply);
  sendJson(Response, Reply->Status, Reply->Answer);
}

void CallersHttp::service(const CustomerId &Customer, const std::string &Path,
                          Poco::Net::HTTPServerRequest &Request,
                          Poco::Net::HTTPServerResponse &Response) {
  auto Body = readBody(Request, Settings.MaxBodyBytes);
  if (!Body) {
    // What is left of the body is not read.
    Response.setKeepAlive(false);
    return refuseHere(Response, Body.error());
  }
  const auto Slash = Path.find('/');
  auto Order =
      orderOf(Customer, Request, Path.substr(0, Slash), CallKind::Service);
  if (!Order)
    return refuseHere(Response, Order.error());
  Order->Path = Slash == std::string::npos ? "" : Path.substr(Slash + 1);
  Order->Body = Body->empty() ? "{}" : std::move(*Body);
  Order->Repeatable = false;
  if (!isServed(Order->Target))
    return refuseHere(Response, {ErrorKind::UnknownService,
                                 "no endpoint serves " + Order->Target,
                                 NotRun::Proved,
                                 {}});
  if (Order->IdempotencyKey.empty())
    return refuseHere(Response,
                      {ErrorKind::KeyRequired,
                       "calls of this service need an Idempotency-Key",
                       NotRun::Proved,
                       {}});
  if (!isPlainId(Order->IdempotencyKey))
    return refuseHere(Response, malformed("Idempotency-Key holds letters, "
                                          "digits and -_.:/ only")
                                    .value());
  // A call of a service is a program of one call under its key.
  Order->Program = internalId(
      Customer, "service:" + Order->Target + ":" +
                    std::to_string(stableHash(Order->IdempotencyKey)) + ":" +
                    std::to_string(stableHash(Order->IdempotencyKey, 1)));
  Order->Sequence = 1;
  Order->MayBegin = true;
  const auto Reply = Requests.call(*Order, [](const CallPart &) {});
  if (!Reply)
    return sendError(Response, Reply.error());
  Response.set("Tamarack-Endpoint", Reply->ServedBy.text());
  Response.set("Tamarack-Stored", Reply->Stored ? "true" : "false");
  sendJson(Response, Reply->Status, Reply->Answer);
}

void CallersHttp::program(const CustomerId &Customer, const std::string &Id,
                          Poco::Net::HTTPServerRequest &Request,
                          Poco::Net::HTTPServerResponse &Response) {
  if (!isPlainId(Id))
    return refuseHere(Response, malformed("no such program id").value());
  const bool End = Request.getMethod() == "DELETE";
  const auto Report =
      Requests.program({internalId(Customer, Id), Customer, End, 0});
  if (!Report)
    return sendError(Response, Report.error());
  if (Report->Took)
    Measured.observe(Timing::Program, *Report->Took);
  Json History = Json::array();
  for (const std::string &Message : Report->History)
    History.push_back(Json::parse(Message, nullptr, false));
  Json SubAgents = Json::array();
  for (const ProgramId &SubAgent : Report->SubAgents)
    SubAgents.push_back(callersId(SubAgent));
  sendJson(Response, 200,
           Json{{"program", callersId(Report->Program)},
                {"turns", Report->Turns},
                {"next_sequence", Report->NextSequence},
                {"ended", Report->Ended},
                {"budget",
                 {{"tokens", Report->Budget},
                  {"spent", Report->Settled},
                  {"reserved", Report->Reserved}}},
                {"last_endpoint", Report->LastEndpoint},
                {"sub_agents", SubAgents},
                {"history", History}}
               .dump());
}

} // namespace internal
} // namespace tamarack
