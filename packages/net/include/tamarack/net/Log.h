/// Structured log lines on standard output.
///
///   LogLine("entry.answer").with("request", Id).with("status", 200);
///
/// prints `entry.answer request=9c41 status=200`, preceded by the time in
/// milliseconds since the epoch and the process name. Lines are buffered and
/// passed to the logger's thread in batches. If lines arrive faster than they
/// can be written, the excess is dropped and counted; the event loop never
/// blocks. Values with a space, a quote or a line break are quoted as in JSON.
#ifndef TAMARACK_NET_LOG_H
#define TAMARACK_NET_LOG_H

#include "tamarack/base/Ids.h"
#include "tamarack/net/Loop.h"

#include <concepts>
#include <string>
#include <string_view>

namespace tamarack {

/// Starts logging for the process named \p Process. \p Io runs the periodic
/// flush.
void startLog(Loop &Io, std::string Process);
/// Flushes the buffered lines and waits until they are written.
void stopLog();
/// Number of lines dropped since the process started.
std::uint64_t droppedLogLines();

/// One log line, written when the object is destroyed.
class LogLine {
public:
  explicit LogLine(std::string_view Event);
  ~LogLine();
  LogLine(const LogLine &) = delete;
  LogLine &operator=(const LogLine &) = delete;

  /// Appends ` Name=Value`.
  LogLine &with(std::string_view Name, std::string_view Value);
  LogLine &with(std::string_view Name, const char *Value) {
    return with(Name, std::string_view(Value));
  }
  template <std::integral Number>
  LogLine &with(std::string_view Name, Number Value) {
    return with(Name, std::string_view(std::to_string(Value)));
  }
  template <typename Tag>
  LogLine &with(std::string_view Name, const Id<Tag> &Value) {
    return with(Name, std::string_view(Value.text()));
  }
  /// Appends \p Value in whole milliseconds.
  LogLine &with(std::string_view Name, Duration Value);

private:
  std::string Text;
};

} // namespace tamarack

#endif // TAMARACK_NET_LOG_H
