#include "tamarack/relay/EventStream.h"

namespace tamarack {
namespace {

/// The length of the first event including the empty line that ends it, or npos
/// if the event is incomplete.
std::size_t eventLength(std::string_view Text) {
  for (std::size_t Pos = Text.find('\n'); Pos != std::string_view::npos;
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

void EventSplitter::feed(std::string_view Bytes) { Buffer += Bytes; }

std::optional<StreamEvent> EventSplitter::next() {
  const std::size_t Length = eventLength(Buffer);
  if (Length == std::string_view::npos)
    return std::nullopt;
  StreamEvent Result = parseEvent(std::string_view(Buffer).substr(0, Length));
  Buffer.erase(0, Length);
  return Result;
}

} // namespace tamarack
