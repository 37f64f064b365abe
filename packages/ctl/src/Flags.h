/// The flags of tamarackctl, read by gflags.
#ifndef TAMARACK_CTL_FLAGS_H
#define TAMARACK_CTL_FLAGS_H

#include "tamarack/ctl/Command.h"

namespace tamarack {

struct CommandLine {
  /// What is left when the flags are taken out.
  std::vector<std::string> Words;
  CtlOptions Options;
  bool IsHelpAsked = false;
};

/// \p Words are those after the program's name. An unknown flag or a wrong
/// value is refused here, as gflags itself would end the process with the
/// exit code of a refusal.
Expected<CommandLine> readCommandLine(const std::vector<std::string> &Words);

} // namespace tamarack

#endif // TAMARACK_CTL_FLAGS_H
