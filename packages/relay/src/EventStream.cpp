#include "tamarack/relay/EventStream.h"

#include <algorithm>

namespace tamarack {
namespace {

/// The length of the longest end of an event: a line feed and an empty line.
constexpr std::size_t MaxEventEndBytes = 3;

/// The position behind the empty line that ends the first event which ends
/// behind \p From, or npos if it is incomplete.
std::size_t eventEnd(std::string_view Text, std::size_t From) {
  for (std::size_t Pos = Text.find('\n', From); Pos != std::string_view::npos;
       Pos = Text.find('\n', Pos + 1)) {
    if (Text.compare(Pos + 1, 1, "\n") == 0)
      return Pos + 2;
    if (Text.compare(Pos + 1, 2, "\r\n") == 0)
      return Pos + 3;
  }
  return std::string_view::npos;
}

/// The value of a field line: the text after the colon and an optional space.
std::string_view valueOf(std::string_view Line, std::size_t Colon) {
  std::string_view Value = Line.substr(Colon + 1);
  if (!Value.empty() && Value.front() == ' ')
    Value.remove_prefix(1);
  return Value;
}

StreamEvent parseEvent(std::string_view Text) {
  StreamEvent Result;
  Result.Text = Text;
  while (!Text.empty()) {
    const std::size_t End = Text.find('\n');
    std::string_view Line = Text.substr(0, End);
    Text.remove_prefix(End == std::string_view::npos ? Text.size() : End + 1);
    if (!Line.empty() && Line.back() == '\r')
      Line.remove_suffix(1);
    const std::size_t Colon = Line.find(':');
    const std::string_view Name = Line.substr(0, Colon);
    if (Name == "id" && Colon != std::string_view::npos) {
      Result.Id = valueOf(Line, Colon);
    } else if (Name == "data" && Colon != std::string_view::npos) {
      if (Result.HasData)
        Result.Data += '\n';
      Result.Data += valueOf(Line, Colon);
      Result.HasData = true;
    }
  }
  return Result;
}

} // namespace

void EventSplitter::feed(std::string_view Bytes) {
  Buffer.erase(0, Used);
  Searched -= Used;
  Used = 0;
  Buffer += Bytes;
}

std::optional<StreamEvent> EventSplitter::next() {
  const std::size_t End = eventEnd(Buffer, Searched);
  if (End == std::string::npos) {
    // The last bytes may belong to the line end before an empty line.
    Searched = std::max(
        Used, Buffer.size() - std::min(Buffer.size(), MaxEventEndBytes - 1));
    return std::nullopt;
  }
  StreamEvent Result =
      parseEvent(std::string_view(Buffer).substr(Used, End - Used));
  Used = End;
  Searched = End;
  return Result;
}

} // namespace tamarack
