#include "tamarack/ctl/Ctl.h"

#include "tamarack/ctl/Client.h"
#include "tamarack/ctl/Render.h"

namespace tamarack {
namespace {

/// What is needed to send a request.
struct Connection {
  Address Entry;
  Key OperatorKey;
  Duration Timeout;
};

Expected<Duration> timeoutFrom(const std::string &Text) {
  const bool IsNumber =
      !Text.empty() && Text.size() < 9 &&
      Text.find_first_not_of("0123456789") == std::string::npos;
  if (!IsNumber || std::stoul(Text) == 0)
    return refuse(ErrorKind::MalformedRequest,
                  "--timeout_ms " + Text + ": expected milliseconds",
                  NotRun::Proved);
  return Duration(std::chrono::milliseconds(std::stoul(Text)));
}

Expected<Key> operatorKey(const CtlOptions &Options) {
  if (Options.KeyFile.empty())
    return refuse(ErrorKind::MalformedRequest,
                  "the operators' key is needed: --key_file FILE",
                  NotRun::Proved);
  Expected<Key> Own = loadKey(Options.KeyFile);
  if (!Own)
    return refuse(ErrorKind::MalformedRequest, Own.error().Message,
                  NotRun::Proved);
  return Own;
}

Expected<Connection> connectionFrom(const CtlOptions &Options) {
  const Expected<Address> Entry = addressFrom(Options.Entry);
  if (!Entry)
    return tl::make_unexpected(Entry.error());
  const Expected<Key> Own = operatorKey(Options);
  if (!Own)
    return tl::make_unexpected(Own.error());
  const Expected<Duration> Timeout = timeoutFrom(Options.TimeoutMs);
  if (!Timeout)
    return tl::make_unexpected(Timeout.error());
  return Connection{*Entry, *Own, *Timeout};
}

ExitCode report(const Error &Failure, ExitCode Code, const CtlOptions &Options,
                std::ostream &Out, std::ostream &Err) {
  if (Options.Json)
    Out << errorBody(Failure).dump() << '\n';
  else
    Err << "tamarackctl: " << Failure << '\n';
  return Code;
}

} // namespace

ExitCode exitCodeOf(const Error &Failure) {
  switch (Failure.Kind) {
  case ErrorKind::Unauthorized:
    return ExitCode::Unauthorized;
  case ErrorKind::RevisionConflict:
    return ExitCode::Conflict;
  case ErrorKind::LinkLost:
    return ExitCode::Unreachable;
  default:
    return ExitCode::Refused;
  }
}

ExitCode runCtl(const std::vector<std::string> &Words,
                const CtlOptions &Options, std::ostream &Out,
                std::ostream &Err) {
  const Expected<CtlRequest> Request = parseCommand(Words, Options);
  if (!Request)
    return report(Request.error(), ExitCode::Usage, Options, Out, Err);
  const Expected<Connection> To = connectionFrom(Options);
  if (!To)
    return report(To.error(), ExitCode::Usage, Options, Out, Err);
  const Expected<Json> Answer =
      sendRequest(To->Entry, To->OperatorKey, *Request, To->Timeout);
  if (!Answer)
    return report(Answer.error(), exitCodeOf(Answer.error()), Options, Out,
                  Err);
  Out << (Options.Json ? Answer->dump() + "\n"
                       : render(Request->View, *Answer));
  return ExitCode::Ok;
}

} // namespace tamarack
