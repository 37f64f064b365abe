#include "tamarack/relay/Explanation.h"

#include <cstdarg>
#include <cstdio>
#include <set>

namespace tamarack {
namespace {

double millisOf(Duration Span) {
  return std::chrono::duration<double, std::milli>(Span).count();
}

Json millisOrNull(const std::optional<Duration> &Span) {
  return Span ? Json(millisOf(*Span)) : Json();
}

Json costOf(const EndpointCost &Cost) {
  return {{"total_ms", Cost.totalMs()},        {"batch_ms", Cost.BatchMs},
          {"prefill_ms", Cost.PrefillMs},      {"queue_ms", Cost.QueueMs},
          {"distance_ms", Cost.DistanceMs},    {"back_off_ms", Cost.BackoffMs},
          {"suspect_ms", Cost.SuspectMs},      {"outlier_ms", Cost.OutlierMs},
          {"preference_ms", Cost.PreferenceMs}};
}

Json candidateOf(const EndpointCandidate &From) {
  return {{"endpoint", From.Entry.Endpoint},
          {"data_centre", From.Entry.DataCentre},
          {"version", From.Entry.Version},
          {"slots", From.Entry.Slots},
          {"running", From.Running},
          {"running_elsewhere", From.RunningElsewhere},
          {"rate_limit", From.RateLimit ? Json(*From.RateLimit) : Json()},
          {"cost", costOf(From.Cost)}};
}

std::vector<PromptPart> promptOf(const Json &Parts) {
  std::vector<PromptPart> Result;
  for (const Json &Part : Parts)
    Result.push_back({Part.at("id").get<std::string>(),
                      Part.at("tokens").get<TokenCount>()});
  return Result;
}

[[gnu::format(printf, 2, 3)]] void appendFormatted(std::string &Out,
                                                   const char *Format, ...) {
  char Line[256];
  va_list Arguments;
  va_start(Arguments, Format);
  std::vsnprintf(Line, sizeof Line, Format, Arguments);
  va_end(Arguments);
  Out += Line;
}

std::string formatMillis(const Json &Value) {
  std::string Result;
  if (Value.is_null())
    return "unknown";
  appendFormatted(Result, "%.0f ms", Value.get<double>());
  return Result;
}

void appendPair(std::string &Out, const char *Name, const std::string &Value) {
  appendFormatted(Out, "%-14s ", Name);
  Out += Value + "\n";
}

} // namespace

Expected<ExplainedRequest> parseExplainedRequest(const std::string &Text) {
  static const std::set<std::string> Known = {
      "host", "target", "workspace", "program", "last_endpoint", "prompt"};
  const auto Malformed = [](const std::string &Message) {
    return refuse(ErrorKind::MalformedRequest, Message, NotRun::Proved);
  };
  const Json Object = Json::parse(Text, nullptr, false);
  if (!Object.is_object())
    return Malformed("the body is no JSON object");
  for (const auto &[Name, Value] : Object.items())
    if (Known.count(Name) == 0)
      return Malformed("the field '" + Name + "' is unknown");
  ExplainedRequest Result;
  const char *Field = "";
  const auto Read = [&](const char *Name) {
    Field = Name;
    return Object.value(Name, std::string());
  };
  try {
    Result.Host = Read("host");
    Result.Target = Read("target");
    Result.Workspace = WorkspaceId(Read("workspace"));
    Result.Program = ProgramId(Read("program"));
    Result.LastEndpoint = EndpointId(Read("last_endpoint"));
    Field = "prompt";
    Result.Prompt = promptOf(Object.value("prompt", Json::array()));
  } catch (const Json::exception &) {
    return Malformed(std::string("the field '") + Field +
                     "' has another type than expected");
  }
  if (Result.Host.empty() || Result.Target.empty())
    return Malformed("the fields 'host' and 'target' are required");
  return Result;
}

void to_json(Json &Value, const ExplainedRequest &From) {
  Json Prompt = Json::array();
  for (const PromptPart &Part : From.Prompt)
    Prompt.push_back({{"id", Part.Id}, {"tokens", Part.Tokens}});
  Value = {{"host", From.Host},
           {"target", From.Target},
           {"workspace", From.Workspace},
           {"program", From.Program},
           {"last_endpoint", From.LastEndpoint},
           {"prompt", std::move(Prompt)}};
}

void to_json(Json &Value, const Explanation &From) {
  Json Endpoints = Json::array();
  for (const EndpointCandidate &Each : From.Endpoints)
    Endpoints.push_back(candidateOf(Each));
  Json Refusal;
  if (From.Refusal)
    Refusal = {{"kind", answerOf(*From.Refusal).Name},
               {"status", answerOf(*From.Refusal).HttpStatus},
               {"reason", From.RefusalReason},
               {"retry_after_ms", millisOrNull(From.RetryAfter)}};
  Json Allowance;
  if (From.Allowance)
    Allowance = {{"requests_per_second", From.Allowance->RequestsPerSecond},
                 {"burst", From.Allowance->Burst},
                 {"allowed", From.Allowance->Allowed},
                 {"used", From.Allowance->Used}};
  Value = {{"catalog_version", From.CatalogVersion},
           {"catalog_age_ms", millisOrNull(From.CatalogAge)},
           {"news_age_ms", millisOrNull(From.NewsAge)},
           {"refusal", std::move(Refusal)},
           {"route", From.Route},
           {"service", From.Service},
           {"workspace", From.Workspace},
           {"allowance", std::move(Allowance)},
           {"behind_ms", millisOf(From.Behind)},
           {"reaches_ledgers", From.ReachesLedgers},
           {"endpoints", std::move(Endpoints)}};
}

std::string renderTable(const Json &Explained) {
  std::string Out;
  const Json &Refusal = Explained.at("refusal");
  const Json &Endpoints = Explained.at("endpoints");
  if (!Refusal.is_null()) {
    appendPair(Out, "decision",
               "refused, " + Refusal.at("kind").get<std::string>() + " (" +
                   std::to_string(Refusal.at("status").get<int>()) + ")");
    appendPair(Out, "reason", Refusal.at("reason").get<std::string>());
    appendPair(Out, "retry after", formatMillis(Refusal.at("retry_after_ms")));
  } else if (!Endpoints.empty()) {
    appendPair(Out, "decision",
               "sent to " + Endpoints[0].at("endpoint").get<std::string>());
  }
  appendPair(Out, "route", Explained.at("route").get<std::string>());
  appendPair(Out, "service", Explained.at("service").get<std::string>());
  appendPair(Out, "workspace", Explained.at("workspace").get<std::string>());
  if (const Json &Allowance = Explained.at("allowance"); !Allowance.is_null()) {
    std::string Text;
    appendFormatted(Text, "%.1f a second, burst %.0f; %.0f of %.0f used",
                    Allowance.at("requests_per_second").get<double>(),
                    Allowance.at("burst").get<double>(),
                    Allowance.at("used").get<double>(),
                    Allowance.at("allowed").get<double>());
    appendPair(Out, "limit", Text);
  }
  appendPair(
      Out, "configuration",
      "version " +
          std::to_string(Explained.at("catalog_version").get<std::uint64_t>()) +
          ", confirmed " + formatMillis(Explained.at("catalog_age_ms")) +
          " ago");
  appendPair(Out, "news", formatMillis(Explained.at("news_age_ms")) + " old");
  appendPair(Out, "entry",
             formatMillis(Explained.at("behind_ms")) + " behind, " +
                 (Explained.at("reaches_ledgers").get<bool>()
                      ? "reaches the ledgers"
                      : "cut off from the ledgers"));
  if (Endpoints.empty())
    return Out;
  appendFormatted(Out, "\n%-16s %8s %8s %8s %8s %8s %8s %8s %8s %9s\n",
                  "endpoint", "total", "batch", "prefill", "queue", "distance",
                  "back-off", "suspect", "outlier", "running");
  for (const Json &Each : Endpoints) {
    const Json &Cost = Each.at("cost");
    const auto Part = [&Cost](const char *Name) {
      return Cost.at(Name).get<double>();
    };
    appendFormatted(Out,
                    "%-16s %8.1f %8.1f %8.1f %8.1f %8.1f %8.0f %8.0f %8.0f "
                    "%4u/%u\n",
                    Each.at("endpoint").get<std::string>().c_str(),
                    Part("total_ms"), Part("batch_ms"), Part("prefill_ms"),
                    Part("queue_ms"), Part("distance_ms"), Part("back_off_ms"),
                    Part("suspect_ms"), Part("outlier_ms"),
                    Each.at("running").get<unsigned>() +
                        Each.at("running_elsewhere").get<unsigned>(),
                    Each.at("slots").get<unsigned>());
  }
  return Out;
}

} // namespace tamarack
