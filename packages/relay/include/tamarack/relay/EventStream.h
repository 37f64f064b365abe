/// Splits a text/event-stream into complete events.
///
///   EventSplitter Splitter;
///   Splitter.feed(Bytes);
///   while (std::optional<StreamEvent> Event = Splitter.next()) ...
#ifndef TAMARACK_RELAY_EVENTSTREAM_H
#define TAMARACK_RELAY_EVENTSTREAM_H

#include <optional>
#include <string>
#include <string_view>

namespace tamarack {

struct StreamEvent {
  /// The bytes of the event as received, with the empty line that ends it.
  std::string Text;
  /// Empty if the event has none.
  std::string Id;
  /// The values of its data lines, joined by line feeds.
  std::string Data;
  /// False for comments and other blocks without data lines.
  bool HasData = false;
};

class EventSplitter {
public:
  void feed(std::string_view Bytes);
  /// Removes and returns the next complete event, if there is one.
  std::optional<StreamEvent> next();
  /// Whether bytes of an incomplete event are buffered.
  bool hasPartialEvent() const { return partialBytes() > 0; }
  /// The bytes of the incomplete event, once next() has returned nothing.
  std::size_t partialBytes() const { return Buffer.size() - Used; }
  /// The memory that is reserved for events.
  std::size_t bufferBytes() const { return Buffer.capacity(); }

private:
  std::string Buffer;
  /// The bytes of events that were returned.
  std::size_t Used = 0;
  /// Up to where no event ends.
  std::size_t Searched = 0;
};

} // namespace tamarack

#endif // TAMARACK_RELAY_EVENTSTREAM_H
