#include "StreamRelay.h"

#include <ostream>

namespace tamarack {
namespace internal {
namespace {

std::string contentOf(const Json &Message) {
  const auto Found = Message.find("content");
  return Found != Message.end() && Found->is_string()
             ? Found->get<std::string>()
             : std::string();
}

Json chunkWith(const Json &Like, const Json &Completion, const Json &Delta,
               const Json &FinishReason) {
  Json Chunk = Like;
  Chunk["id"] = Completion.value("id", std::string());
  Chunk["object"] = "chat.completion.chunk";
  Chunk["model"] = Completion.value("model", std::string());
  Chunk["choices"] = Json::array(
      {{{"index", 0}, {"delta", Delta}, {"finish_reason", FinishReason}}});
  return Chunk;
}

} // namespace

void StreamRelay::setHeader(const std::string &Name, const std::string &Value) {
  if (!isOpen())
    Response.set(Name, Value);
}

void StreamRelay::open() {
  if (isOpen())
    return;
  Response.setContentType("text/event-stream");
  Response.set("Cache-Control", "no-store");
  Response.setChunkedTransferEncoding(true);
  Out = &Response.send();
}

void StreamRelay::event(const std::string &Data) {
  open();
  *Out << "data: " << Data << "\n\n" << std::flush;
}

void StreamRelay::part(const CallPart &Part) {
  LastChunk = Json::parse(Part.Chunk, nullptr, false);
  if (LastChunk.is_object() && LastChunk.contains("choices"))
    Emitted += contentOf(LastChunk["choices"][0].value("delta", Json()));
  event(Part.Chunk);
}

void StreamRelay::finish(const CallReply &Reply) {
  const Json Completion = Json::parse(Reply.Answer, nullptr, false);
  const Json &Choice = Completion.at("choices").at(0);
  const Json &Message = Choice.at("message");
  const std::string Whole = contentOf(Message);
  if (Whole.compare(0, Emitted.size(), Emitted) != 0) {
    fail({ErrorKind::EndpointFailed,
          "the answer was begun again; repeat the call for the stored one",
          NotRun::Unproved,
          {}});
    return;
  }
  const Json Like = LastChunk.is_object() ? LastChunk : Json::object();
  Json Rest = Json::object();
  if (Whole.size() > Emitted.size())
    Rest["content"] = Whole.substr(Emitted.size());
  if (Message.contains("tool_calls"))
    Rest["tool_calls"] = Message["tool_calls"];
  if (!Rest.empty())
    event(chunkWith(Like, Completion, Rest, nullptr).dump());
  Json Last = chunkWith(Like, Completion, Json::object(),
                        Choice.value("finish_reason", "stop"));
  Last["usage"] = Completion.value("usage", Json::object());
  event(Last.dump());
  event("[DONE]");
}

void StreamRelay::fail(const Error &Why) { event(errorBody(Why).dump()); }

} // namespace internal
} // namespace tamarack
