#include "ChatAnswer.h"

namespace tamarack {
namespace internal {
namespace {

std::string textOf(const Json &From, const char *Field) {
  const auto Found = From.find(Field);
  return Found != From.end() && Found->is_string() ? Found->get<std::string>()
                                                   : std::string();
}

TokenCount countOf(const Json &From, const char *Field) {
  const auto Found = From.find(Field);
  return Found != From.end() && Found->is_number_unsigned()
             ? Found->get<TokenCount>()
             : 0;
}

void addUse(ChatAnswer &Answer, const Json &Usage) {
  Answer.Use.Prompt = countOf(Usage, "prompt_tokens");
  Answer.Use.Completion = countOf(Usage, "completion_tokens");
  const auto Details = Usage.find("prompt_tokens_details");
  if (Details != Usage.end() && Details->is_object())
    Answer.Use.Cached = countOf(*Details, "cached_tokens");
}

bool addChoice(ChatAnswer &Answer, const Json &Choice) {
  const std::string Finish = textOf(Choice, "finish_reason");
  if (!Finish.empty())
    Answer.FinishReason = Finish;
  const auto Delta = Choice.find("delta");
  if (Delta == Choice.end() || !Delta->is_object())
    return false;
  const std::string Content = textOf(*Delta, "content");
  Answer.Content += Content;
  const auto Calls = Delta->find("tool_calls");
  if (Calls != Delta->end() && Calls->is_array())
    for (const Json &Call : *Calls)
      Answer.ToolCalls.push_back(Call);
  return Finish.empty() && !Content.empty();
}

} // namespace

bool addChunk(ChatAnswer &Answer, const Json &Chunk) {
  if (!Chunk.is_object())
    return false;
  ++Answer.Chunks;
  if (Answer.Id.empty())
    Answer.Id = textOf(Chunk, "id");
  if (Answer.Model.empty())
    Answer.Model = textOf(Chunk, "model");
  const auto Usage = Chunk.find("usage");
  if (Usage != Chunk.end() && Usage->is_object())
    addUse(Answer, *Usage);
  const auto Choices = Chunk.find("choices");
  if (Choices == Chunk.end() || !Choices->is_array() || Choices->empty())
    return false;
  return addChoice(Answer, Choices->front());
}

Json messageOf(const ChatAnswer &Answer) {
  Json Message{{"role", "assistant"}, {"content", Answer.Content}};
  if (!Answer.ToolCalls.empty())
    Message["tool_calls"] = Answer.ToolCalls;
  return Message;
}

Json completionOf(const ChatAnswer &Answer) {
  return {
      {"id", Answer.Id},
      {"object", "chat.completion"},
      {"model", Answer.Model},
      {"choices",
       {{{"index", 0},
         {"message", messageOf(Answer)},
         {"finish_reason",
          Answer.FinishReason.empty() ? "stop" : Answer.FinishReason}}}},
      {"usage",
       {{"prompt_tokens", Answer.Use.Prompt},
        {"completion_tokens", Answer.Use.Completion},
        {"total_tokens", Answer.Use.Prompt + Answer.Use.Completion},
        {"prompt_tokens_details", {{"cached_tokens", Answer.Use.Cached}}}}}};
}

} // namespace internal
} // namespace tamarack
