#include "StrictJson.h"

#include <set>

namespace tamarack::internal {
namespace {

/// Follows the parser's events and remembers the keys of open objects.
class KeyTracker {
public:
  explicit KeyTracker(std::vector<std::string> &Repeated)
      : Repeated(Repeated) {}

  bool operator()(int, Json::parse_event_t Event, Json &Parsed) {
    switch (Event) {
    case Json::parse_event_t::object_start:
      Open.emplace_back();
      break;
    case Json::parse_event_t::object_end:
      Open.pop_back();
      break;
    case Json::parse_event_t::key:
      note(Parsed.get<std::string>());
      break;
    default:
      break;
    }
    return true;
  }

private:
  struct OpenObject {
    std::set<std::string> Keys;
    std::string Current;
  };

  void note(const std::string &Key) {
    Open.back().Current = Key;
    if (!Open.back().Keys.insert(Key).second)
      Repeated.push_back(pointer());
  }

  std::string pointer() const {
    Json::json_pointer Result;
    for (const OpenObject &Object : Open)
      Result.push_back(Object.Current);
    return Result.to_string();
  }

  std::vector<std::string> &Repeated;
  std::vector<OpenObject> Open;
};

} // namespace

StrictJson parseStrictJson(const std::string &Text) {
  StrictJson Result;
  KeyTracker Tracker(Result.RepeatedKeys);
  try {
    Result.Value = Json::parse(
        Text, [&Tracker](int Depth, Json::parse_event_t Event, Json &Parsed) {
          return Tracker(Depth, Event, Parsed);
        });
  } catch (const Json::exception &Failure) {
    Result.Failure = Failure.what();
  }
  return Result;
}

} // namespace tamarack::internal
