/// tamarackctl without its main: parses, sends, writes, and returns the exit
/// code.
///
///   return static_cast<int>(runCtl(Words, Options, std::cout, std::cerr));
#ifndef TAMARACK_CTL_CTL_H
#define TAMARACK_CTL_CTL_H

#include "tamarack/ctl/Command.h"

#include <ostream>

namespace tamarack {

enum class ExitCode {
  Ok = 0,
  /// The system refused the request.
  Refused = 1,
  /// The command line is wrong; nothing was sent.
  Usage = 2,
  /// There was no answer.
  Unreachable = 3,
  /// The key is missing or wrong.
  Unauthorized = 4,
  /// Another change was accepted first.
  Conflict = 5,
};

ExitCode exitCodeOf(const Error &Failure);

/// With --json the answer or error goes to \p Out as one JSON value.
ExitCode runCtl(const std::vector<std::string> &Words,
                const CtlOptions &Options, std::ostream &Out,
                std::ostream &Err);

} // namespace tamarack

#endif // TAMARACK_CTL_CTL_H
