/// tamarack-load: measures programs through an entry, an engine, or both.
///
///   tamarack-load --entry=127.0.0.1:8080 --key=secret
///     --direct=127.0.0.1:9000 --concurrency=32 --programs=200 --turns=5
///
/// Prints one JSON object: "direct" and "entry" as far as they were given, and
/// with both of them "ratio", the entry's latencies over the direct ones.
#include "LoadDriver.h"

#include <Poco/Exception.h>
#include <Poco/Process.h>
#include <Poco/URI.h>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(entry, "", "entries as host:port, by comma");
DEFINE_string(direct, "", "engines as host:port, by comma");
DEFINE_string(key, "", "the caller's key for the entry");
DEFINE_string(model, "asistente", "the model asked for");
DEFINE_string(run, "", "begins program ids; by default made of the process id");
DEFINE_uint32(concurrency, 8, "programs at a time");
DEFINE_uint32(programs, 8, "programs altogether");
DEFINE_uint32(turns, 4, "calls of each program");
DEFINE_uint32(words, 50, "new words in each turn");
DEFINE_uint64(max_tokens, 16, "words of each answer");
DEFINE_int64(tool_pause_ms, 0, "pause between two turns");
DEFINE_uint32(retries, 0, "how often a failed call is repeated");
DEFINE_int64(timeout_ms, 30'000, "how long a silent connection is awaited");

namespace {

using namespace tamarack;
using namespace tamarack::internal;

HttpTarget parseTarget(const std::string &Text) {
  bool HasScheme = Text.find("://") != std::string::npos;
  Poco::URI Uri(HasScheme ? Text : "http://" + Text);
  HttpTarget Target(Uri.getHost(), Uri.getPort());
  Target.Timeout = std::chrono::milliseconds(FLAGS_timeout_ms);
  return Target;
}

std::vector<HttpTarget> parseTargets(const std::string &Text) {
  std::vector<HttpTarget> Targets;
  std::istringstream In(Text);
  std::string Part;
  while (std::getline(In, Part, ','))
    Targets.push_back(parseTarget(Part));
  return Targets;
}

LoadPlan planOf(const std::string &Targets, bool Direct) {
  LoadPlan Plan;
  Plan.Targets = parseTargets(Targets);
  Plan.Direct = Direct;
  Plan.Key = FLAGS_key;
  Plan.Model = FLAGS_model;
  Plan.Run = FLAGS_run.empty() ? "load-" + std::to_string(Poco::Process::id())
                               : FLAGS_run;
  Plan.Run += Direct ? "-direct" : "-entry";
  Plan.Concurrency = FLAGS_concurrency;
  Plan.Programs = FLAGS_programs;
  Plan.Turns = FLAGS_turns;
  Plan.WordsPerTurn = FLAGS_words;
  Plan.MaxTokens = FLAGS_max_tokens;
  Plan.ToolPause = std::chrono::milliseconds(FLAGS_tool_pause_ms);
  Plan.Retries = FLAGS_retries;
  return Plan;
}

int run() {
  SystemClock Time;
  Json Report = Json::object();
  if (!FLAGS_direct.empty())
    Report["direct"] = reportOf(runLoad(planOf(FLAGS_direct, true), Time));
  if (!FLAGS_entry.empty())
    Report["entry"] = reportOf(runLoad(planOf(FLAGS_entry, false), Time));
  if (Report.size() == 2)
    Report["ratio"] = ratioOf(Report["entry"], Report["direct"]);
  std::cout << Report.dump(2) << "\n";
  return Report.empty() ? 2 : 0;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  try {
    return run();
  } catch (const Poco::Exception &Failure) {
    std::cerr << "load: " << Failure.displayText() << "\n";
    return 2;
  }
}
