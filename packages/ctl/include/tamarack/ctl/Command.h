/// The command line of tamarackctl as one typed request.
///
///   const Expected<CtlRequest> Request =
///       parseCommand({"exception", "remove", "night-shift"}, Options);
///
/// A mistake in the command line is an error of kind MalformedRequest whose
/// message says what to write instead.
#ifndef TAMARACK_CTL_COMMAND_H
#define TAMARACK_CTL_COMMAND_H

#include "tamarack/base/Error.h"

#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/// The flags, as text where the value is checked by parseCommand.
struct CtlOptions {
  std::string Entry = "127.0.0.1:7102";
  std::string KeyFile;
  std::string Author;
  std::string Reason;
  std::string Until;
  std::string Id;
  std::string Customer;
  std::string Workspace;
  std::string Model;
  std::string Endpoint;
  std::string Service;
  std::string Program;
  std::string ExpectedRevision;
  std::string TimeoutMs = "10000";
  bool Json = false;
};

/// How the answer is written for people.
enum class CtlView {
  Status,
  Config,
  History,
  Exceptions,
  Accepted,
  Program,
  Drain,
  Explanation,
};

struct CtlRequest {
  std::string Method;
  /// With every name percent-encoded.
  std::string Path;
  /// Null where the request has no body.
  Json Body;
  CtlView View = CtlView::Status;
};

/// Reads no file but that of "config set FILE".
Expected<CtlRequest> parseCommand(const std::vector<std::string> &Words,
                                  const CtlOptions &Options);

/// The help that --help prints.
std::string helpText();

} // namespace tamarack

#endif // TAMARACK_CTL_COMMAND_H
