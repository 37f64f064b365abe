#include "tamarack/net/Log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>

namespace tamarack {
namespace {

/// Period of passing lines to the logger's thread. Each flush wakes that
/// thread.
constexpr Duration FlushInterval = std::chrono::milliseconds(100);
/// About 600 lines per flush interval, twice the rate of a busy entry process.
constexpr std::size_t MaxBufferedBytes = 96U << 10U;
/// Maximum number of batches that wait for the logger's thread.
constexpr std::size_t MaxQueuedBatches = 32;

struct LogState {
  std::shared_ptr<spdlog::details::thread_pool> Pool;
  std::shared_ptr<spdlog::async_logger> Logger;
  std::string Process;
  std::string Buffered;
  std::uint64_t Dropped = 0;
  std::uint64_t ReportedDropped = 0;
};

LogState &state() {
  static LogState Only;
  return Only;
}

void flushBuffer() {
  LogState &Log = state();
  if (!Log.Logger || Log.Buffered.empty())
    return;
  if (Log.Dropped != Log.ReportedDropped) {
    Log.ReportedDropped = Log.Dropped;
    Log.Buffered += "log.dropped lines=" + std::to_string(Log.Dropped) + "\n";
  }
  Log.Buffered.pop_back(); // The logger adds the last line break.
  Log.Logger->info("{}", Log.Buffered);
  Log.Buffered.clear();
}

} // namespace

void startLog(Loop &Io, std::string Process) {
  LogState &Log = state();
  Log.Process = std::move(Process);
  Log.Pool =
      std::make_shared<spdlog::details::thread_pool>(MaxQueuedBatches, 1);
  Log.Logger = std::make_shared<spdlog::async_logger>(
      "log", std::make_shared<spdlog::sinks::stdout_sink_st>(), Log.Pool,
      spdlog::async_overflow_policy::overrun_oldest);
  Log.Logger->set_pattern("%v", spdlog::pattern_time_type::utc);
  Log.Logger->flush_on(spdlog::level::info);
  spawn(Io, [](Loop &Io) -> Task<void> {
    while (state().Logger) {
      co_await pause(Io, FlushInterval);
      flushBuffer();
    }
  }(Io));
}

void stopLog() {
  flushBuffer();
  LogState &Log = state();
  Log.Logger.reset();
  Log.Pool.reset();
}

std::uint64_t droppedLogLines() { return state().Dropped; }

LogLine::LogLine(std::string_view Event) {
  const auto Now = std::chrono::time_point_cast<std::chrono::milliseconds>(
                       std::chrono::system_clock::now())
                       .time_since_epoch()
                       .count();
  Text.reserve(200);
  Text += std::to_string(Now);
  Text += ' ';
  Text += state().Process;
  Text += ' ';
  Text += Event;
}

LogLine::~LogLine() {
  LogState &Log = state();
  if (!Log.Logger)
    return;
  if (Log.Buffered.size() + Text.size() > MaxBufferedBytes) {
    ++Log.Dropped;
    return;
  }
  Log.Buffered += Text;
  Log.Buffered += '\n';
}

LogLine &LogLine::with(std::string_view Name, std::string_view Value) {
  Text += ' ';
  Text += Name;
  Text += '=';
  if (Value.find_first_of(" \"\n") == std::string_view::npos)
    Text += Value;
  else
    Text += Json(std::string(Value))
                .dump(-1, ' ', false, Json::error_handler_t::replace);
  return *this;
}

LogLine &LogLine::with(std::string_view Name, Duration Value) {
  return with(
      Name,
      std::chrono::duration_cast<std::chrono::milliseconds>(Value).count());
}

} // namespace tamarack
