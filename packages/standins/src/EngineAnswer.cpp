#include "tamarack/standins/EngineAnswer.h"

#include "EngineBatch.h"

namespace tamarack {

std::string renderedPrompt(const Json &Messages) {
  std::string Text;
  for (const auto &Each : Messages) {
    const Json &Content = Each.at("content");
    Text += Each.at("role").get<std::string>() + ": ";
    Text += Content.is_string() ? Content.get<std::string>() : Content.dump();
    Text += "\n";
  }
  return Text;
}

std::string engineAnswer(const Json &Messages, TokenCount MaxTokens) {
  auto Prompt = internal::tokensOf(renderedPrompt(Messages));
  std::string Text;
  for (TokenCount I = 0; I < MaxTokens; ++I) {
    if (I > 0)
      Text += " ";
    Text += internal::answerWord(Prompt, I);
  }
  return Text;
}

} // namespace tamarack
