#include "OperatorsHttp.h"

#include <Poco/URI.h>

namespace tamarack {
namespace internal {
namespace {

constexpr std::size_t MaxBodyBytes = 1U << 20U;
constexpr int HttpOk = 200;
const CallLimits DrainLimits{std::chrono::seconds(2), std::chrono::seconds(2)};

std::string decoded(const std::string &Text) {
  std::string Out;
  Poco::URI::decode(Text, Out);
  return Out;
}

/// The rest of \p Path behind \p Prefix, decoded; nothing if it has another.
std::optional<std::string> behind(const std::string &Path,
                                  const std::string &Prefix) {
  if (Path.rfind(Prefix, 0) != 0 || Path.size() == Prefix.size())
    return std::nullopt;
  return decoded(Path.substr(Prefix.size()));
}

Expected<Json> bodyOf(Poco::Net::HTTPServerRequest &Asked) {
  const auto Text = readBody(Asked, MaxBodyBytes);
  if (!Text)
    return tl::make_unexpected(Text.error());
  Json Body = Json::parse(*Text, nullptr, false);
  if (!Body.is_object())
    return refuse(ErrorKind::MalformedRequest, "the body is no JSON object",
                  NotRun::Proved);
  return Body;
}

std::string queryOf(const Poco::Net::HTTPServerRequest &Asked,
                    const std::string &Name) {
  for (const auto &[Key, Value] :
       Poco::URI(Asked.getURI()).getQueryParameters())
    if (Key == Name)
      return Value;
  return {};
}

InstanceStatus statusOf(const Member &Known,
                        const std::optional<PeerState> &Last) {
  InstanceStatus Row;
  Row.Instance = Known.Instance;
  Row.Role = nameOf(Known.Kind);
  Row.Region = Known.Region;
  Row.DataCentre = Known.DataCentre;
  Row.State = nameOf(Known.State);
  if (!Last)
    return Row;
  Row.InForce = Last->ConfigRevision;
  Row.Load = Last->Load ? Last->Load->Running : Last->Shards;
  return Row;
}

} // namespace

OperatorsHttp::OperatorsHttp(std::string Host, std::uint16_t Port, Key Secret,
                             OperatedParts Parts)
    : Host(std::move(Host)), Port(Port), Secret(std::move(Secret)),
      Parts(std::move(Parts)) {}

Expected<void> OperatorsHttp::start() {
  auto Started =
      HttpServe::start(Host, Port, [this](Request &Asked, Response &Answer) {
        serve(Asked, Answer);
      });
  if (!Started)
    return tl::make_unexpected(Started.error());
  Server = std::move(*Started);
  return {};
}

void OperatorsHttp::stop() {
  if (Server)
    Server->stop();
}

void OperatorsHttp::serve(Request &Asked, Response &Answer) {
  const std::string Path = Poco::URI(Asked.getURI()).getPath();
  if (Path == "/metrics") {
    const std::string Text = Parts.Measured.text();
    Answer.setContentType("text/plain; version=0.0.4");
    Answer.sendBuffer(Text.data(), Text.size());
    return;
  }
  if (Path == "/healthz")
    return sendJson(Answer, HttpOk, R"({"ok":true})");
  if (!matches(Secret, bearerKey(Asked))) {
    ++WrongKeys;
    return sendError(Answer, {ErrorKind::Unauthorized,
                              "the operators' key is wrong",
                              NotRun::Proved,
                              {}});
  }
  route(Asked, Answer);
}

void OperatorsHttp::route(Request &Asked, Response &Answer) {
  const std::string Path = Poco::URI(Asked.getURI()).getPath();
  const std::string &Method = Asked.getMethod();
  if (Method == "GET" && Path == "/v1/status")
    return sendJson(Answer, HttpOk, status().dump());
  if (Method == "GET" && Path == "/v1/config")
    return sendJson(Answer, HttpOk, Json(Parts.Config.current()).dump());
  if (Method == "GET" && Path == "/v1/config/history") {
    const OperatorDocument Held = Parts.Config.current();
    Json Notes = Json::array({Held.Made});
    for (const RevisionNote &Note : Held.History)
      Notes.push_back(Note);
    return sendJson(Answer, HttpOk, Json{{"history", Notes}}.dump());
  }
  if (Method == "PUT" && Path == "/v1/config")
    return putConfig(Asked, Answer);
  if (Method == "POST" && Path == "/v1/exceptions")
    return addException(Asked, Answer);
  if (Method == "POST" && Path == "/v1/drain")
    return drain(Asked, Answer);
  if (const auto Id = behind(Path, "/v1/exceptions/"); Id && Method == "DELETE")
    return removeException(*Id, Asked, Answer);
  if (const auto Id = behind(Path, "/v1/programs/");
      Id && (Method == "GET" || Method == "DELETE"))
    return program(*Id, Asked, Answer);
  if (const auto Call = behind(Path, "/v1/explain/"); Call && Method == "GET")
    return explain(*Call, Asked, Answer);
  sendError(Answer, {ErrorKind::MalformedRequest,
                     "no such path: " + Method + " " + Path,
                     NotRun::Proved,
                     {}});
}

Json OperatorsHttp::status() const {
  StatusReport Report;
  const Member Self = Parts.Network.self();
  Report.Instance = Self.Instance;
  Report.InForce = Parts.Config.inForce();
  Report.IsServing = Self.State == MemberState::Live;
  Report.Platform = Parts.Service.isUp() ? "up" : "down";
  for (const auto &[Instance, View] : Parts.Network.members().Members) {
    auto Row = statusOf(View.Known, Parts.Network.lastState(Instance));
    if (Instance == Self.Instance) {
      Row.InForce = Report.InForce;
      Row.Load = Parts.Shards ? Parts.Shards->owned().size() : 0;
    }
    Report.Instances.push_back(Row);
  }
  if (Parts.Programs)
    for (const auto &[Kind, Count] : Parts.Programs->counts().Refused)
      Report.Counters[std::string("refused_") + answerOf(Kind).Name] = Count;
  return Report;
}

void OperatorsHttp::change(const Expected<OperatorDocument> &Next,
                           Revision Expected, const std::string &Author,
                           const std::string &Comment, Response &Answer) {
  if (!Next)
    return sendError(Answer, Next.error());
  const auto Accepted = Parts.Config.change(*Next, Expected, Author, Comment);
  if (!Accepted)
    return sendError(Answer, Accepted.error());
  sendJson(Answer, HttpOk, Json{{"revision", *Accepted}}.dump());
}

void OperatorsHttp::putConfig(Request &Asked, Response &Answer) {
  const auto Body = bodyOf(Asked);
  if (!Body)
    return sendError(Answer, Body.error());
  const auto Given = Body->find("expected_revision");
  if (Given == Body->end() || !Given->is_number_unsigned())
    return sendError(Answer, {ErrorKind::MalformedRequest,
                              "expected_revision must be a whole number",
                              NotRun::Proved,
                              {}});
  const auto Document = operatorDocumentFrom(Body->value("document", Json()));
  const std::string Author = Document ? Document->Made.Author : std::string();
  change(Document, Given->get<Revision>(), Author,
         Document ? Document->Made.Comment : std::string(), Answer);
}

void OperatorsHttp::addException(Request &Asked, Response &Answer) {
  const auto Body = bodyOf(Asked);
  if (!Body)
    return sendError(Answer, Body.error());
  const auto Added = operatorExceptionFrom(*Body);
  if (!Added)
    return sendError(Answer, Added.error());
  const OperatorDocument Now = Parts.Config.current();
  change(withException(Now, *Added), Now.Made.Number, Added->Author,
         "added exception " + Added->Id, Answer);
}

void OperatorsHttp::removeException(const std::string &Id, Request &Asked,
                                    Response &Answer) {
  const OperatorDocument Now = Parts.Config.current();
  change(withoutException(Now, Id), Now.Made.Number, queryOf(Asked, "author"),
         "removed exception " + Id, Answer);
}

void OperatorsHttp::program(const std::string &Id, Request &Asked,
                            Response &Answer) {
  if (!Parts.Requests)
    return sendError(Answer, {ErrorKind::UnknownProgram,
                              "ask an entry for programs",
                              NotRun::Proved,
                              {}});
  // Operators name a program as CUSTOMER~ID, as the log does.
  const CustomerId Customer(Id.substr(0, Id.find('~')));
  const auto Report = Parts.Requests->program(
      {ProgramId(Id), Customer, Asked.getMethod() == "DELETE", 0});
  if (!Report)
    return sendError(Answer, Report.error());
  Json Body = *Report;
  Body.erase("History");
  Body["Messages"] = Report->History.size();
  sendJson(Answer, HttpOk, Body.dump());
}

void OperatorsHttp::drain(Request &Asked, Response &Answer) {
  const auto Body = bodyOf(Asked);
  if (!Body)
    return sendError(Answer, Body.error());
  const InstanceId Instance(Body->value("instance", std::string()));
  if (Instance == Parts.Network.self().Instance) {
    Parts.Drain();
    return sendJson(Answer, HttpOk, Json{{"draining", Instance}}.dump());
  }
  const auto Link = Parts.Network.link(Instance);
  if (!Link)
    return sendError(Answer, {ErrorKind::MalformedRequest,
                              "no instance " + Instance.text(),
                              NotRun::Proved,
                              {}});
  const auto Done = Link->call(DrainRequest{Instance}, DrainLimits);
  if (!Done)
    return sendError(Answer, Done.error());
  sendJson(Answer, HttpOk, Json{{"draining", Instance}}.dump());
}

void OperatorsHttp::explain(const std::string &Call, Request &Asked,
                            Response &Answer) {
  const auto Found =
      Parts.Programs ? Parts.Programs->trace(
                           CallId(Call), ProgramId(queryOf(Asked, "program")))
                     : std::nullopt;
  if (!Found)
    return sendError(Answer, {ErrorKind::UnknownProgram,
                              "this entry does not remember call " + Call,
                              NotRun::Proved,
                              {}});
  Explanation Told;
  Told.Call = Found->Call;
  Told.Program = Found->Program;
  Told.Customer = Found->Customer;
  Told.Owner = Parts.Network.self().Instance;
  Told.Class = Found->Class;
  Told.Outcome = Found->Refusal ? "refused" : "answered";
  Told.Refusal = Found->Refusal ? answerOf(Found->Refusal->Kind).Name : "";
  Told.Reason = Found->Refusal ? Found->Refusal->Message : Found->Reason;
  Told.InForce = Parts.Config.inForce();
  for (const TracedAttempt &Tried : Found->Attempts)
    Told.Attempts.push_back({Tried.Number, Tried.Endpoint, Tried.Outcome});
  for (const TracedCandidate &Weighed : Found->Candidates)
    Told.Candidates.push_back({Weighed.Endpoint, Weighed.Wait, Duration(0),
                               Weighed.Cost - Weighed.Wait, Weighed.Cached,
                               Weighed.Chosen, Weighed.Reason});
  sendJson(Answer, HttpOk, Json(Told).dump());
}

} // namespace internal
} // namespace tamarack
