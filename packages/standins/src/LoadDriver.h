/// Drives programs of several turns against an entry or an engine.
///
///   LoadPlan Plan;
///   Plan.Targets = {HttpTarget(8080)};
///   Plan.Programs = 100;
///   LoadSamples Samples = runLoad(Plan, Clock);
///
/// Towards an entry a turn sends its new message only, with the program's id
/// and the turn's sequence number; towards an engine it sends the whole
/// conversation. Each answer is checked against the stand-in engine's.
#ifndef TAMARACK_STANDINS_LOADDRIVER_H
#define TAMARACK_STANDINS_LOADDRIVER_H

#include "LoadReport.h"

#include "tamarack/base/Clock.h"
#include "tamarack/base/Ids.h"
#include "tamarack/standins/HttpJson.h"

#include <string>
#include <vector>

namespace tamarack::internal {

struct LoadPlan {
  /// Entries, or engines when Direct; a program stays with one of them.
  std::vector<HttpTarget> Targets = {};
  bool Direct = false;
  /// The caller's key for an entry.
  std::string Key = {};
  std::string Model = "asistente";
  /// Begins every program's id; must be new for each run against an entry.
  std::string Run = "load";
  std::uint32_t Concurrency = 8;
  std::uint32_t Programs = 8;
  std::uint32_t Turns = 4;
  std::uint32_t WordsPerTurn = 50;
  TokenCount MaxTokens = 16;
  /// The tool's time between two turns.
  Duration ToolPause{0};
  /// How often a failed call is repeated under its sequence number.
  std::uint32_t Retries = 0;
};

LoadSamples runLoad(const LoadPlan &Plan, const Clock &Time);

} // namespace tamarack::internal

#endif // TAMARACK_STANDINS_LOADDRIVER_H
