/// tamarackctl: the operators' command line.
#include "Flags.h"
#include "tamarack/ctl/Ctl.h"

#include <cstdlib>
#include <iostream>

namespace tamarack {
namespace {

ExitCode runMain(const std::vector<std::string> &Words) {
  Expected<CommandLine> Line = readCommandLine(Words);
  if (!Line) {
    std::cerr << "tamarackctl: " << Line.error() << '\n';
    return ExitCode::Usage;
  }
  if (Line->IsHelpAsked) {
    std::cout << helpText();
    return ExitCode::Ok;
  }
  const char *User = std::getenv("USER");
  if (Line->Options.Author.empty() && User)
    Line->Options.Author = User;
  return runCtl(Line->Words, Line->Options, std::cout, std::cerr);
}

} // namespace
} // namespace tamarack

int main(int Count, char **Given) {
  return static_cast<int>(tamarack::runMain({Given + 1, Given + Count}));
}
